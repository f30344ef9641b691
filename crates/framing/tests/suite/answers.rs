use hollowsail_framing::{AnswerReader, Fault};
use proptest::prelude::*;

use crate::grammar::{self, Rest};

fn read(answer: &[u8], is_to_head: bool) -> Result<AnswerReader, Fault> {
    let mut reader = AnswerReader::default();
    reader.expect_answer(is_to_head);
    reader.read(answer)?;
    Ok(reader)
}

fn fault_of(answer: &str) -> Option<Fault> {
    read(answer.as_bytes(), false).err()
}

#[test]
fn sound_answers_are_accepted() {
    for answer in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
        "HTTP/1.1 200\r\ncontent-length:3\r\n\r\nabc",
        "HTTP/1.1 200 \r\nContent-Length: \t3 \r\n\r\nabc",
        "HTTP/1.1 599 a\u{e9}\r\nX-Empty:\r\nX-A: b\tc\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0A;x=\"y\"\r\n0123456789\r\n00\r\nX: y\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nmore",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nConnection: X, Close\r\n\r\nabc\ndef\r",
        "HTTP/1.0 200 OK\r\n\r\nabc\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
    ] {
        assert_eq!(fault_of(answer), None, "{answer:?}");
    }
    for answer in [
        "Content-Length: 3\r\n",
        "Transfer-Encoding: chunked\r\n",
        "",
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n{answer}\r\n");
        assert!(read(answer.as_bytes(), true).is_ok(), "{answer:?}");
    }
}

#[test]
fn each_rule_is_named() {
    for (answer, fault) in [
        ("HTTP/1.1 200 OK\n", Fault::BareLineFeed),
        ("HTTP/1.1 200 OK\r\nX: a\n\r\n", Fault::BareLineFeed),
        ("HTTP/1.1 200 OK\r\nX: a\r\n\n", Fault::BareLineFeed),
        ("HTTP/1.1 200 OK\r\nX: a\rb\r\n", Fault::BareCarriageReturn),
        ("\r\nHTTP/1.1 200 OK\r\n", Fault::StatusLine),
        ("HTTP/1.2 200 OK\r\n", Fault::StatusLine),
        ("HTTP/1.1  200 OK\r\n", Fault::StatusLine),
        ("HTTP/1.1 20 OK\r\n", Fault::StatusLine),
        ("HTTP/1.1 2000 OK\r\n", Fault::StatusLine),
        ("HTTP/1.1 20x OK\r\n", Fault::StatusLine),
        ("HTTP/1.1 000 OK\r\n", Fault::StatusLine),
        ("HTTP/1.1 099 OK\r\n", Fault::StatusLine),
        ("HTTP/1.1 600 OK\r\n", Fault::StatusLine),
        ("HTTP/1.1 200 a\u{1}b\r\n", Fault::StatusLine),
        ("HTTP/1.1 200 OK\r\nX\r\n", Fault::FieldName),
        ("HTTP/1.1 200 OK\r\nX Y: a\r\n", Fault::FieldName),
        ("HTTP/1.1 200 OK\r\nX : a\r\n", Fault::FieldName),
        ("HTTP/1.1 200 OK\r\nX\u{1}: a\r\n", Fault::FieldName),
        ("HTTP/1.1 200 OK\r\n: a\r\n", Fault::FieldName),
        ("HTTP/1.1 200 OK\r\nX: a\r\n b: c\r\n", Fault::FieldName),
        ("HTTP/1.1 200 OK\r\nX: a\0b\r\n", Fault::FieldValue),
        ("HTTP/1.1 200 OK\r\nX: \u{c}\r\n", Fault::FieldValue),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n",
            Fault::ContentLength,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n",
            Fault::ContentLength,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length:\r\n",
            Fault::ContentLength,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n",
            Fault::ContentLength,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551616\r\n",
            Fault::ContentLength,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
            Fault::TransferEncoding,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n",
            Fault::TransferEncoding,
        ),
        (
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            Fault::TransferEncoding,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
            Fault::TwoLengths,
        ),
        ("HTTP/1.1 200 OK\r\n\r\n", Fault::NoLength),
        (
            "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\n",
            Fault::NoLength,
        ),
        ("HTTP/1.1 101 Switching\r\n\r\n", Fault::ProtocolSwitch),
        (
            "HTTP/1.1 100 OK\r\nContent-Length: 3\r\n\r\n",
            Fault::UnexpectedBody,
        ),
        (
            "HTTP/1.1 204 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            Fault::UnexpectedBody,
        ),
        (
            "HTTP/1.1 304 OK\r\nContent-Length: 3\r\n\r\nabc",
            Fault::Surplus,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabc",
            Fault::Surplus,
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTx",
            Fault::Surplus,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
            Fault::Chunk,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\r\n",
            Fault::Chunk,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc",
            Fault::Chunk,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nid: 1\ndata: a\n\n\r\n",
            Fault::BareLineFeed,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 3\r\n",
            Fault::Chunk,
        ),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1000000000000000\r\n",
            Fault::Chunk,
        ),
    ] {
        assert_eq!(fault_of(answer), Some(fault), "{answer:?}");
    }
}

#[test]
fn part_of_another_answer_is_surplus_unless_more_of_it_comes() {
    let mut reader =
        read(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false).expect("it is sound");
    assert_eq!(reader.check_surplus(), Ok(()));
    assert_eq!(reader.read(b"HTTP/"), Ok(()));
    assert_eq!(reader.check_surplus(), Err(Fault::Surplus));
    assert_eq!(reader.read(b"1.1 200 OK\r\n"), Ok(()));
    assert_eq!(reader.check_surplus(), Ok(()));
}

#[test]
fn answers_on_one_connection_are_told_apart() {
    let mut reader = AnswerReader::default();
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    for _ in 0..3 {
        // The library decides on what comes while nothing is awaited.
        assert_eq!(reader.read(b"\n"), Ok(()));
        reader.expect_answer(false);
        assert_eq!(reader.read(answer), Ok(()));
        assert!(reader.is_complete());
        reader.end();
    }
}

/// Sound heads, and two that state the length twice.
const HEADS: [&str; 8] = [
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Before: abc\r\nContent-Length: 14\r\nX-After: abc\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Before: abc\r\nTransfer-Encoding: chunked\r\nX-After: abc\r\n\r\n",
    "HTTP/1.1 500 Failed\r\nConnection: close, X\r\n\r\n",
    "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 3\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
    "HTTP/1.1 100 Continue\r\nX: a\r\n\r\n",
];

/// Bytes that mean something in a head, and all others.
fn byte() -> impl Strategy<Value = u8> {
    let known = prop::sample::select(b"\r\n\t\0 :,;+-0123456789abxHTP/.\x7f\x80".to_vec());
    prop_oneof![4 => known, 1 => any::<u8>()]
}

/// A change at a place, which is a share of the length: puts in, takes out, or replaces.
fn change() -> impl Strategy<Value = (f64, u8, u8)> {
    (0.0..1.0, byte(), 0..3u8)
}

fn apply(head: &str, changes: &[(f64, u8, u8)]) -> Vec<u8> {
    let mut bytes = head.as_bytes().to_vec();
    for (place, byte, kind) in changes {
        let at = (place * bytes.len() as f64) as usize;
        match kind {
            0 => bytes[at] = *byte,
            1 => bytes.insert(at, *byte),
            _ => drop(bytes.remove(at)),
        }
    }
    bytes
}

fn cases() -> u32 {
    let cases = std::env::var("HOLLOWSAIL_CASES").ok();
    cases.and_then(|text| text.parse().ok()).unwrap_or(4_000)
}

/// What comes before the first empty line, and that line.
fn first_head(bytes: &[u8]) -> Option<&[u8]> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(&bytes[..end + 4])
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    // Guards against a head that is accepted though the grammar reads it in another way.
    #[test]
    fn accepted_heads_are_those_of_the_grammar(
        head in prop::sample::select(HEADS.to_vec()),
        changes in prop::collection::vec(change(), 0..=3),
        is_to_head in any::<bool>(),
    ) {
        let bytes = apply(head, &changes);
        if let Some(head) = first_head(&bytes) {
            let read = read(head, is_to_head);
            let expected = grammar::answer_head(head, is_to_head);
            prop_assert_eq!(read.is_ok(), expected.is_some(), "{:?}", String::from_utf8_lossy(head));
            if let (Ok(mut reader), Some(expected)) = (read, expected) {
                prop_assert_eq!(reader.is_complete(), expected == Rest::Length(0));
                let after = match expected {
                    Rest::AfterInterim => "HTTP/1.1 200 OK\r\n".to_string(),
                    Rest::Length(length) if length < 100 => "a".repeat(length as usize),
                    Rest::Chunks => "1\r\na\r\n0\r\n\r\n".to_string(),
                    Rest::Length(_) | Rest::UntilClose => "a\n\r\0".to_string(),
                };
                prop_assert_eq!(reader.read(after.as_bytes()), Ok(()));
                if let Rest::Length(0..100) = expected {
                    prop_assert!(reader.is_complete());
                    prop_assert_eq!(reader.read(b"a"), Err(Fault::Surplus));
                }
            }
        }
    }

    // Guards against a verdict that depends on how the network cuts an answer.
    #[test]
    fn pieces_of_an_answer_are_read_like_the_whole(
        head in prop::sample::select(HEADS.to_vec()),
        changes in prop::collection::vec(change(), 0..=3),
        body in prop::sample::select(vec!["the whole body", "e\r\nthe whole body\r\n0\r\n\r\n", ""]),
        len in 1..9usize,
    ) {
        let mut bytes = apply(head, &changes);
        bytes.extend_from_slice(body.as_bytes());
        let whole = read(&bytes, false).map(|reader| reader.is_complete());
        let mut reader = AnswerReader::default();
        reader.expect_answer(false);
        let in_pieces = bytes.chunks(len).try_for_each(|piece| reader.read(piece));
        let in_pieces = in_pieces.map(|()| reader.is_complete());
        prop_assert_eq!(whole, in_pieces, "{:?}", String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn no_bytes_panic(bytes in prop::collection::vec(byte(), 0..200), len in 1..20usize) {
        let mut reader = AnswerReader::default();
        reader.expect_answer(false);
        let _fault = bytes.chunks(len).try_for_each(|piece| reader.read(piece));
    }
}
