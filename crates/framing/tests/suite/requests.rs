use hollowsail_framing::{Fault, Malformed, RequestReader};
use proptest::prelude::*;

fn read(bytes: &[u8]) -> Result<(), Malformed> {
    RequestReader::default().read(bytes)
}

fn fault_of(request: &str) -> Option<Fault> {
    read(request.as_bytes())
        .err()
        .map(|malformed| malformed.fault)
}

const GET: &str = "GET /a?b HTTP/1.1\r\nHost: x\r\n\r\n";
const POST: &str = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na\nb";
const CHUNKED: &str =
    "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n";

#[test]
fn sound_requests_are_accepted() {
    for requests in [
        GET.to_string(),
        [GET, POST, CHUNKED, POST, GET].concat(),
        format!("\r\n\r\n{GET}\r\n{POST}"),
        GET.replace("1.1", "1.0"),
        // The library rejects the chunk.
        CHUNKED.replace("abc", "abcd") + "\n",
    ] {
        assert_eq!(fault_of(&requests), None, "{requests:?}");
    }
}

#[test]
fn each_rule_is_named() {
    for (lines, fault) in [
        ("GET /a HTTP/1.1\n", Fault::BareLineFeed),
        ("GET  /a HTTP/1.1\r\n", Fault::RequestLine),
        ("GET /a b HTTP/1.1\r\n", Fault::RequestLine),
        ("GET /a\tb HTTP/1.1\r\n", Fault::RequestLine),
        ("GET /\u{1} HTTP/1.1\r\n", Fault::RequestLine),
        ("G@T /a HTTP/1.1\r\n", Fault::RequestLine),
        ("GET /a HTTP/2.0\r\n", Fault::RequestLine),
        ("GET /a\r\n", Fault::RequestLine),
        ("GET /a HTTP/1.1\r\nHost: x\r\nHost: x\r\n", Fault::Host),
        ("GET /a HTTP/1.1\r\nX: a\r\n b\r\n", Fault::FieldName),
        (
            "GET /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            Fault::TwoLengths,
        ),
        (
            "GET /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
            Fault::TransferEncoding,
        ),
        (
            "GET /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n",
            Fault::TransferEncoding,
        ),
    ] {
        assert_eq!(fault_of(lines), Some(fault), "{lines:?}");
    }
}

#[test]
fn requests_before_a_malformed_one_are_sound() {
    for before in [
        GET.to_string(),
        [POST, CHUNKED].concat(),
        format!("{GET}\r\n"),
    ] {
        let all = format!("{before}GET /a HTTP/1.1\r\nX: a\n\r\n{GET}");
        let expected = Malformed {
            fault: Fault::BareLineFeed,
            sound_bytes: before.len(),
        };
        assert_eq!(read(all.as_bytes()), Err(expected), "{all:?}");
        let mut reader = RequestReader::default();
        let (first, last) = all.as_bytes().split_at(before.len() + 5);
        assert_eq!(reader.read(first), Ok(()));
        let expected = Malformed {
            sound_bytes: 0,
            ..expected
        };
        assert_eq!(reader.read(last), Err(expected));
    }
}

proptest! {
    // Guards against a verdict that depends on how the network cuts a request.
    #[test]
    fn pieces_of_requests_are_read_like_the_whole(
        at in 0..200usize, byte in prop::sample::select(b"\r\n\0 :,09ax".to_vec()), len in 1..9usize,
    ) {
        let mut bytes = [GET, POST, CHUNKED, GET].concat().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        let whole = read(&bytes).map_err(|malformed| malformed.fault);
        let mut reader = RequestReader::default();
        let in_pieces = bytes.chunks(len).try_for_each(|piece| reader.read(piece));
        prop_assert_eq!(whole, in_pieces.map_err(|malformed| malformed.fault));
    }

    #[test]
    fn no_bytes_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), len in 1..20usize) {
        let mut reader = RequestReader::default();
        let _fault = bytes.chunks(len).try_for_each(|piece| reader.read(piece));
    }
}
