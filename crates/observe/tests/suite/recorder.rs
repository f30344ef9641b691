//! Labels of metrics in the text that a scrape gets.

use hollowsail_observe::recorder;
use metrics::counter;

/// The value of a label as a reader of the text format decodes it.
fn decoded(value: &str) -> String {
    let mut text = String::new();
    let mut chars = value.chars();
    while let Some(c) = chars.next() {
        match (c, c == '\\') {
            (_, false) => text.push(c),
            _ => match chars.next() {
                Some('n') => text.push('\n'),
                Some(c @ ('\\' | '"')) => text.push(c),
                other => panic!("{other:?} isn't an escape, in {value}"),
            },
        }
    }
    text
}

/// Guards against labels that end their line or their quotes, that stand for another label's
/// value, or that cost as much as their writer likes.
#[test]
fn labels_are_escaped_exactly_and_bounded() {
    recorder::install();
    let names = [
        "plain-1",
        "a b=\"c\"",
        "\"",
        "\\",
        "\\\\",
        "\\\"",
        "a\\\n",
        "a\\n",
        "a\nb",
        "\n\\",
        "x\\",
        "é{},",
    ];
    for name in names {
        counter!("odd_labels_total", "service" => name).increment(1);
    }
    counter!("terminal_labels_total", "service" => "\u{1b}[2J\r").increment(1);
    counter!("long_labels_total", "service" => "\\x\u{202e}".repeat(10_000)).increment(1);
    let text = recorder::render();
    let values = |name: &str| -> Vec<String> {
        let start = format!("{name}{{service=\"");
        let lines = text.lines().filter_map(|line| line.strip_prefix(&start));
        let mut values: Vec<String> = lines
            .map(|line| decoded(line.strip_suffix("\"} 1").expect("a sample of one")))
            .collect();
        values.sort();
        values
    };
    let mut expected = names.map(String::from);
    expected.sort();
    assert_eq!(values("odd_labels_total"), expected, "{text}");
    assert_eq!(values("terminal_labels_total"), ["\\u{1b}[2J\\r"]);
    let long = values("long_labels_total");
    assert!(long[0].ends_with("...") && long[0].len() < 220, "{long:?}");
}
