//! Snapshots of the human-readable output of operations.

use expect_test::expect;
use hollowsail::ops::{apply, call, status};
use hollowsail::{Context, Exit};
use hollowsail_config::{Fault, Faults};
use hollowsail_entry::apply::ApplyResult;
use hollowsail_entry::control::messages::{MemberStatus, TargetStatus};
use hollowsail_entry::control::StatusReport;
use hollowsail_entry::{AnswerBody, ErrorKind, StageReport};
use hollowsail_observe::text::is_unprintable;
use hollowsail_routing::StageStatus;
use serde_json::json;

/// Returns all that an operation printed: its output, then its errors.
fn captured(write: impl FnOnce(&mut Context<'_>)) -> String {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    write(&mut Context {
        out: &mut out,
        err: &mut err,
    });
    out.extend(err);
    String::from_utf8(out).expect("the output is UTF-8")
}

fn stages() -> Vec<StageReport> {
    [
        ("encode", StageStatus::Ran, 1),
        ("confirm", StageStatus::Unknown, 1),
    ]
    .map(|(stage, status, attempts)| StageReport {
        stage: stage.into(),
        status,
        attempts,
        ms: 7,
    })
    .to_vec()
}

#[test]
fn answer_prints_outcome_stages_and_advice() {
    let failed = (
        ErrorKind::TargetFailed,
        "stage confirm may have run: cut".to_string(),
    );
    let answer = AnswerBody::from_stages("r", stages(), false, Err(failed));
    expect![[r#"
        pay: unknown
          target_failed: stage confirm may have run: cut; see the stages' status for what ran
          encode     ran, 1 attempt(s), 7 ms
          confirm    unknown, 1 attempt(s), 7 ms
    "#]]
    .assert_eq(&captured(|cx| call::print(cx, "pay", &answer)));
    let mut ran = stages();
    ran[1].status = StageStatus::Ran;
    let whole = AnswerBody::from_stages("r", ran, false, Ok(json!({ "text": "x".repeat(500) })));
    expect![[r#"
        pay: whole
          encode     ran, 1 attempt(s), 7 ms
          confirm    ran, 1 attempt(s), 7 ms
          output: {"text":"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx... (511 bytes)
    "#]].assert_eq(&captured(|cx| call::print(cx, "pay", &whole)));
}

fn print_result(result: ApplyResult) -> (Exit, String) {
    let mut exit = Exit::CannotRun;
    let text = captured(|cx| exit = apply::print_result(cx, "id-1", result));
    (exit, text)
}

#[test]
fn apply_prints_its_result() {
    let (exit, text) = print_result(ApplyResult::Accepted {
        revision: 7,
        missing: vec![],
    });
    assert_eq!(exit, Exit::Success);
    expect![[r#"
        revision 7 is in force everywhere
    "#]]
    .assert_eq(&text);
    let (exit, text) = print_result(ApplyResult::Accepted {
        revision: 7,
        missing: vec!["entry-2".into()],
    });
    assert_eq!(exit, Exit::Failure);
    expect![[r#"
        revision 7 is accepted and final
        not yet reported by: entry-2; see `hollowsail status`
    "#]]
    .assert_eq(&text);
    let (exit, text) = print_result(ApplyResult::Conflict {
        in_force: 8,
        differs_in: vec!["models.ini".into()],
        message: "revision 8 is in force, not 7".into(),
    });
    assert_eq!(exit, Exit::Failure);
    expect![[r#"
        conflict: revision 8 is in force, not 7
          differs: models.ini
    "#]]
    .assert_eq(&text);
    let (exit, text) = print_result(ApplyResult::Unknown {
        message: "the store did not answer".into(),
    });
    assert_eq!(exit, Exit::Failure);
    expect![[r#"
        unknown: the store did not answer (--id id-1)
    "#]]
    .assert_eq(&text);
}

#[test]
fn status_prints_entries_and_targets() {
    let report = StatusReport {
        entry: "entry-1".into(),
        revision: 3,
        revision_age_ms: Some(75_000),
        apply_id: Some("abc".into()),
        standing: "in touch".into(),
        store_age_ms: Some(40),
        ledger_open: 1,
        ledger_records: 9,
        members: vec![MemberStatus {
            name: "entry-1".into(),
            hall: "mtl-a".into(),
            incarnation: "1f".into(),
            health: "Alive".into(),
            stopping: "No".into(),
            revision: 3,
            heard_ms_ago: Some(120),
        }],
        targets: vec![TargetStatus {
            name: "llm-01".into(),
            in_flight: 2,
            slowness: 1.25,
            ejected: true,
            takes_work: false,
        }],
    };
    expect![[r#"
        entry-1: revision 3 (apply abc) in force for 75 s, in touch
        store answered 40 ms ago
        ledger: 1 open, 9 records
        entries:
          entry-1      hall mtl-a      revision 3      Alive, stopping: No, last update 120 ms ago
        targets:
          llm-01         in flight 2      1.2 times its usual time, ejected, takes no new work
    "#]]
    .assert_eq(&captured(|cx| status::print(cx, &report)));
}

/// Guards against names that command the operator's terminal or print lines of their own.
#[test]
fn names_of_other_processes_stay_in_their_line() {
    let odd = "a\u{1b}[2J\r\n\u{9b}\u{202e}b";
    let member = MemberStatus {
        name: odd.into(),
        hall: odd.into(),
        incarnation: "1f".into(),
        health: "Alive".into(),
        stopping: "No".into(),
        revision: 3,
        heard_ms_ago: None,
    };
    let report = StatusReport {
        entry: odd.into(),
        revision: 3,
        revision_age_ms: None,
        apply_id: Some(odd.into()),
        standing: odd.into(),
        store_age_ms: None,
        ledger_open: 0,
        ledger_records: 0,
        members: vec![member],
        targets: vec![],
    };
    let fault = Fault {
        file: odd.into(),
        line: 1,
        field: odd.into(),
        message: odd.into(),
    };
    let printed = captured(|cx| {
        status::print(cx, &report);
        cx.print_faults(&Faults(vec![fault]));
    });
    assert_eq!(printed.lines().count(), 8, "{printed}");
    let is_raw = |c: char| c != '\n' && is_unprintable(c);
    assert!(!printed.contains(is_raw), "{printed:?}");
    assert!(
        printed.contains(r"a\u{1b}[2J\r\n\u{9b}\u{202e}b"),
        "{printed}"
    );
    let json = captured(|cx| cx.print_json(&report).expect("the report is JSON"));
    assert!(!json.contains(is_raw), "{json:?}");
    let read: StatusReport = serde_json::from_str(&json).expect("the output is JSON");
    assert_eq!((read.entry.as_str(), read.standing.as_str()), (odd, odd));
}
