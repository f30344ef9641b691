//! The history check detects each kind of broken promise.

use std::time::Duration;

use hollowsail_bench::arrivals::Arrival;
use hollowsail_bench::history::{check, Promises};
use hollowsail_bench::load::CallRecord;
use hollowsail_entry::{AnswerBody, ErrorKind, StageReport};
use hollowsail_routing::StageStatus;
use hollowsail_standins::Execution;
use serde_json::json;

const STAGES: [&str; 3] = ["encode", "retrieve", "confirm"];

fn record(outcome: Result<serde_json::Value, ErrorKind>, statuses: [StageStatus; 3]) -> CallRecord {
    let stages = STAGES
        .iter()
        .zip(statuses)
        .map(|(stage, status)| StageReport {
            stage: (*stage).into(),
            status,
            attempts: 1,
            ms: 1,
        })
        .collect();
    let result = outcome.map_err(|kind| (kind, "m".to_string()));
    CallRecord {
        arrival: Arrival {
            at: Duration::ZERO,
            id: "r".into(),
            org: "gate-apps".into(),
            pipeline: crate::accra()
                .find_pipeline("payment-confirmation")
                .expect("the pipeline is configured"),
            session: "s".into(),
            duplicate: false,
        },
        input: json!({ "of": "r" }),
        latency: Duration::ZERO,
        answer: Some(AnswerBody::from_stages("r", stages, false, result)),
        second: false,
    }
}

fn execution(stage: &str, hall: &str) -> Execution {
    Execution {
        target: "t".into(),
        hall: hall.into(),
        org: "gate-apps".into(),
        dispatch: format!("r~1/{stage}/1"),
        finished: true,
    }
}

fn ran() -> Vec<Execution> {
    STAGES
        .iter()
        .map(|stage| execution(stage, "acc-a"))
        .collect()
}

fn broken(
    records: &[CallRecord],
    executions: &[Execution],
    revisions: &[Vec<u64>],
) -> Vec<&'static str> {
    let Promises(all) = check(&crate::accra(), records, executions, revisions);
    let broken = all.into_iter().filter(|(_, promise)| promise.broken > 0);
    broken.map(|(name, _)| name).collect()
}

const RAN: [StageStatus; 3] = [StageStatus::Ran; 3];
const NOT_RUN: [StageStatus; 3] = [StageStatus::NotRun; 3];

#[test]
fn consistent_history_breaks_no_promise() {
    let refused = record(Err(ErrorKind::CannotFinish), NOT_RUN);
    assert!(broken(&[refused], &[], &[vec![1, 1, 2]]).is_empty());
    let unknown = [StageStatus::Ran, StageStatus::Ran, StageStatus::Unknown];
    let unknown = record(Err(ErrorKind::TargetFailed), unknown);
    assert!(broken(&[unknown], &ran(), &[]).is_empty());
}

#[test]
fn each_violation_is_detected() {
    let whole = record(Ok(json!({ "done": "another's" })), RAN);
    assert_eq!(
        broken(&[whole], &ran(), &[]),
        ["a whole answer is the targets' own"]
    );
    let refused = record(Err(ErrorKind::CannotFinish), NOT_RUN);
    let found = broken(&[refused], &ran()[..1], &[]);
    assert!(
        found.contains(&"what is not run was not executed"),
        "{found:?}"
    );
    assert!(
        found.contains(&"a stage not run was not executed"),
        "{found:?}"
    );
    let mut twice = ran();
    twice.push(execution("confirm", "acc-b"));
    let unknown = record(Err(ErrorKind::TargetFailed), RAN);
    let found = broken(std::slice::from_ref(&unknown), &twice, &[]);
    assert_eq!(found, ["what may not be repeated runs at most once"]);
    let outside = [execution("encode", "tema-a")];
    let found = broken(&[], &outside, &[]);
    assert_eq!(found, ["data stays in permitted halls"]);
    let mut foreign = unknown;
    foreign
        .answer
        .as_mut()
        .expect("the record has an answer")
        .request = "q".into();
    assert_eq!(
        broken(&[foreign], &ran(), &[]),
        ["an answer is its request's own"]
    );
    assert_eq!(
        broken(&[], &[], &[vec![1, 2, 1]]),
        ["no configuration goes back"]
    );
}

#[test]
fn two_answers_under_one_ticket_are_detected() {
    let one = record(Ok(json!({ "done": "a" })), RAN);
    let mut other = record(Ok(json!({ "done": "b" })), RAN);
    other.second = true;
    let found = broken(&[one, other], &ran(), &[]);
    assert!(found.contains(&"one ticket has one answer"), "{found:?}");
}
