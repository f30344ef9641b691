//! Text from outside in lines and fields.

use hollowsail_observe::text::{cut, is_unprintable, Field, OneLine, Quoted, MAX_VALUE};
use proptest::prelude::*;

/// A line that another line's text shouldn't be able to begin.
const FORGED: &str =
    "servers/a\n[2026-12-07T00:00:00Z INFO  hollowsail] HS0204 request_ended status=200";

/// Any text, with the characters that mean something in a line more often than others.
fn text() -> impl Strategy<Value = String> {
    let odd = prop::sample::select(
        "\n\r\t\0\u{1b}\u{7f}\u{85}\u{9b}\u{2028}\u{2029}\u{202a}\u{202e}\u{2066}\u{2069}\"\\= é{}u"
            .chars()
            .collect::<Vec<_>>(),
    );
    let c = prop_oneof![odd, any::<char>(), proptest::char::range('a', 'z')];
    prop::collection::vec(c, 0..200).prop_map(String::from_iter)
}

/// The names and values of a line's fields, as a reader takes them apart; `None` if a quoted value
/// has no end.
fn fields(line: &str) -> Option<Vec<(String, String)>> {
    let mut fields = Vec::new();
    let mut rest = line;
    while let Some((name, value)) = rest.split_once('=') {
        let name = name.trim_start().to_string();
        let Some(quoted) = value.strip_prefix('"') else {
            let (value, after) = value.split_once(' ').unwrap_or((value, ""));
            fields.push((name, value.to_string()));
            rest = after;
            continue;
        };
        let mut escaped = false;
        let end = quoted.find(|c| {
            let ends = c == '"' && !escaped;
            escaped = c == '\\' && !escaped;
            ends
        })?;
        fields.push((name, quoted[..end].to_string()));
        rest = &quoted[end + 1..];
    }
    Some(fields)
}

#[test]
fn ordinary_values_stay_as_they_are() {
    for value in [
        "",
        "i-1",
        "servers/i-f3c8ffe5cc",
        "10.1.64.9:8228",
        "[::1]:80",
        "é-1",
        "a%20b",
    ] {
        assert_eq!(Field(value).to_string(), value);
        assert_eq!(OneLine(value).to_string(), value);
    }
    let why = "connection to 10.1.64.9:8228 broke: it's `late`";
    assert_eq!(Quoted(why).to_string(), format!("\"{why}\""));
    assert_eq!(Field(" a=b\u{1b}\"").to_string(), r#"" a=b\u{1b}\"""#);
    assert_eq!(OneLine(FORGED).to_string(), FORGED.replace('\n', "\\n"));
}

/// Guards against a line that is useless since one value of it is long.
#[test]
fn long_values_are_bounded() {
    for long in ["x".repeat(100_000), "\u{202e}".repeat(100_000)] {
        for written in [Field(&long).to_string(), Quoted(&long).to_string()] {
            assert!(written.len() <= MAX_VALUE + 5, "{}", written.len());
            assert!(written.ends_with("...\""), "{written}");
        }
    }
}

proptest! {
    #[test]
    fn no_text_leaves_its_line(text in text()) {
        let line = OneLine(&text).to_string();
        prop_assert!(!line.contains(is_unprintable), "{line}");
        if !text.contains(is_unprintable) {
            prop_assert_eq!(line, text);
        }
    }

    #[test]
    fn no_value_looks_like_further_fields(values in prop::collection::vec(text(), 3)) {
        let line = format!(
            "key={} why={} id={} end=1",
            Field(&values[0]), Quoted(&values[1]), Field(&values[2])
        );
        prop_assert!(!line.contains(is_unprintable), "{line}");
        let fields = fields(&line);
        prop_assert!(fields.is_some(), "{line}");
        let names: Vec<String> = fields.into_iter().flatten().map(|(name, _)| name).collect();
        prop_assert_eq!(names, ["key", "why", "id", "end"], "{}", line);
    }

    /// Guards against lines that are cut inside a character or an escape.
    #[test]
    fn a_cut_ends_between_characters_and_escapes(text in text(), max in 0_usize..300) {
        let quoted = Quoted(&text).to_string();
        let kept = cut(&quoted, max);
        prop_assert!(kept.len() <= max);
        prop_assert!(kept.len() + 10 > max.min(quoted.len()), "{kept}");
        let closed = format!("key={kept}\" end=1");
        if kept.len() > 1 && kept.len() < quoted.len() {
            let names = fields(&closed).into_iter().flatten().map(|(name, _)| name);
            prop_assert_eq!(Vec::from_iter(names), ["key", "end"], "{}", closed);
        }
    }
}
