//! The documents show the same tables as the code.

use std::collections::HashSet;

use expect_test::expect_file;
use hollowsail_observe::{events, ErrorKind};

#[test]
fn log_event_catalogue_matches_the_code() {
    let mut text = String::from(
        "# Log events\n\n\
         A line reads `HS0201 route entry=... key=value ...`. Fields hold names,\n\
         ids and figures, never request or answer data. Generated from\n\
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
    assert_eq!(
        codes.len(),
        events::ALL.len(),
        "two events have the same code"
    );
}

#[test]
fn error_kind_table_matches_the_code() {
    let mut text = String::from(
        "# Error kinds\n\n\
         Every incomplete answer names one kind of this closed list, with a message\n\
         that says what failed and where. Generated from `crates/observe/src/kinds.rs`\n\
         by its test. What ran is in the answer's `outcome` and in each stage's\n\
         `status`, not in the kind.\n\n\
         | kind | HTTP status | retry after | what to do |\n|---|---|---|---|\n",
    );
    for kind in ErrorKind::ALL {
        let row = kind.answer();
        let retry = row
            .retry_after_ms
            .map_or("not unchanged".to_string(), |ms| format!("{ms} ms"));
        text += &format!(
            "| `{}` | {} | {retry} | {} |\n",
            row.name, row.status, row.advice
        );
    }
    expect_file!["../../../../docs/ERRORS.md"].assert_eq(&text);
}

#[test]
fn kind_names_match_their_serialized_form() {
    for kind in ErrorKind::ALL {
        let json = serde_json::to_string(kind).expect("the kind serializes");
        assert_eq!(json, format!("\"{}\"", kind.answer().name));
        assert!((400..600).contains(&kind.answer().status));
    }
}
