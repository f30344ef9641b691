//! The documents show the tables as they are in the code.

use std::collections::HashSet;

use expect_test::expect_file;
use hollowsail_observe::{events, ErrorKind};

#[test]
fn the_catalogue_of_log_events_is_the_codes() {
    let mut text = String::from(
        "# Log events\n\n\
         A line reads `HS0201 route entry=... key=value ...`. Fields hold names,\n\
         ids and figures; never what a request carries. Made from\n\
         `crates/observe/src/events.rs` by its test.\n\n\
         | code | name | level | meaning |\n|---|---|---|---|\n",
    );
    for event in events::ALL {
        text += &format!(
            "| HS{:04} | `{}` | {} | {} |\n",
            event.code,
            event.name,
            event.level.as_str().to_lowercase(),
            event.meaning
        );
    }
    expect_file!["../../../../docs/LOG-EVENTS.md"].assert_eq(&text);
    let codes: HashSet<u16> = events::ALL.iter().map(|event| event.code).collect();
    assert_eq!(codes.len(), events::ALL.len(), "a code stands twice");
}

#[test]
fn the_table_of_error_kinds_is_the_codes() {
    let mut text = String::from(
        "# Error kinds\n\n\
         Every answer that is not whole names one kind of this closed list, with a\n\
         message that says what and where. Made from `crates/observe/src/kinds.rs` by\n\
         its test. What ran is in the answer's `outcome` and in each stage's\n\
         `status`, not in the kind.\n\n\
         | kind | HTTP status | come back after | what to do |\n|---|---|---|---|\n",
    );
    for kind in ErrorKind::ALL {
        let row = kind.answer();
        let retry = row
            .retry_after_ms
            .map_or("not as it is".to_string(), |ms| format!("{ms} ms"));
        text += &format!(
            "| `{}` | {} | {retry} | {} |\n",
            row.name, row.status, row.advice
        );
    }
    expect_file!["../../../../docs/ERRORS.md"].assert_eq(&text);
}

#[test]
fn a_kinds_name_is_the_same_in_answers_and_in_the_table() {
    for kind in ErrorKind::ALL {
        let json = serde_json::to_string(kind).expect("it serializes");
        assert_eq!(json, format!("\"{}\"", kind.answer().name));
        assert!((400..600).contains(&kind.answer().status));
    }
}
