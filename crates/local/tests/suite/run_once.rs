//! Unrepeatable requests run at most once; a resend with the same ticket or id
//! gets the retained outcome.

use std::time::Duration;

use futures_util::future::join_all;
use hollowsail_entry::{AnswerBody, ErrorKind};
use hollowsail_local::caller::Request;
use hollowsail_local::{Caller, LocalFleet, Once};
use hollowsail_routing::Outcome;
use hollowsail_standins::{StoreFaults, TargetFaults};
use serde_json::json;

use crate::fixture::{self, BOTH_KEY, NORTH_KEY};

/// Sends a request to all entries concurrently.
async fn call_all_entries(fleet: &LocalFleet, request: &Request<'_>) -> Vec<AnswerBody> {
    let calls = fleet.callers().into_iter().map(|address| async move {
        let response = Caller::default().call(address, request).await;
        response.expect("an answer").body
    });
    join_all(calls).await
}

fn request_with_own_id<'a>(key: &'a str, id: &'a str, sent: u64) -> Request<'a> {
    let mut request = fixture::request("pay", key, id);
    request.once = Once::Id(id.into(), sent);
    request
}

#[actix_rt::test]
async fn concurrent_ticket_uses_run_once() {
    let fleet = fixture::start(3).await;
    for round in 0..10 {
        let ticket = fixture::ticket(&fleet, round % 3, BOTH_KEY).await;
        let id = format!("everywhere-{round}");
        let payment = fixture::payment(BOTH_KEY, &id, &ticket);
        let answers = call_all_entries(&fleet, &payment).await;
        assert!(answers.iter().all(|a| *a == answers[0]), "{answers:?}");
        assert_eq!(answers[0].outcome, Outcome::Whole);
        assert_eq!(fixture::executions(&fleet, &id, "confirm"), 1);
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn ticket_works_while_the_store_is_down() {
    let fleet = fixture::start(2).await;
    fleet.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "no-store", &ticket);
    let answer = fixture::call(&fleet, 1, &payment).await.body;
    assert_eq!(answer.outcome, Outcome::Whole);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn ticket_is_bound_to_org_and_request() {
    let fleet = fixture::start(1).await;
    let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let stolen = fixture::payment(NORTH_KEY, "stolen", &ticket);
    let answer = fixture::call(&fleet, 0, &stolen).await.body;
    assert_eq!(answer.kind, Some(ErrorKind::TicketInvalid));
    let mut payment = fixture::payment(BOTH_KEY, "first", &ticket);
    let first = fixture::call(&fleet, 0, &payment).await.body;
    assert_eq!(first.outcome, Outcome::Whole);
    payment.input = json!("another input");
    let other = fixture::call(&fleet, 0, &payment).await.body;
    assert_eq!(other.kind, Some(ErrorKind::TicketReused));
    assert_eq!(other.output, None);
    assert_eq!(fixture::executions(&fleet, "first", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn killed_issuer_leaves_ticket_unknown() {
    let mut fleet = fixture::start(3).await;
    let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "orphan", &ticket);
    let first = fixture::call(&fleet, 1, &payment).await.body;
    assert_eq!(first.outcome, Outcome::Whole);
    fleet.take_entry(0).expect("the entry runs").kill().await;
    for index in [1, 2] {
        let again = fixture::call(&fleet, index, &payment).await.body;
        assert_eq!(again.outcome, Outcome::Unknown);
        assert_eq!(again.kind, Some(ErrorKind::IssuerGone));
    }
    assert_eq!(fixture::executions(&fleet, "orphan", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn entry_killed_during_stage_causes_no_rerun() {
    let mut options = fixture::options(3);
    options.profile.plain_ms = 400.0;
    let mut fleet = fixture::start_with(options).await;
    let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "dying", &ticket);
    let address = fleet.entry(1).callers;
    let copy = payment.clone();
    let (id, key, once) = ("dying", BOTH_KEY, copy.once.clone());
    let waiting = actix_rt::spawn(async move {
        let mut request = fixture::request("pay", key, id);
        request.once = once;
        Caller::default().call(address, &request).await
    });
    let log = fleet.targets.log.clone();
    fixture::wait_until("the stage begins", || log.count("dying", "confirm") == 1).await;
    fleet.take_entry(0).expect("the entry runs").kill().await;
    let first = waiting.await.expect("no panic");
    if let Ok(response) = first {
        assert_ne!(response.body.outcome, Outcome::NotRun);
    }
    let again = fixture::call(&fleet, 2, &payment).await.body;
    assert_eq!(again.outcome, Outcome::Unknown);
    assert_eq!(log.count("dying", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn run_continues_after_caller_disconnects() {
    let mut options = fixture::options(2);
    options.profile.plain_ms = 300.0;
    let fleet = fixture::start_with(options).await;
    let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "alone", &ticket);
    let caller = Caller::default();
    let cut = tokio::time::timeout(
        Duration::from_millis(100),
        caller.call(fleet.entry(0).callers, &payment),
    )
    .await;
    assert!(cut.is_err(), "the call outlasts the timeout");
    drop(caller);
    let again = fixture::call(&fleet, 1, &payment).await.body;
    assert_eq!(again.outcome, Outcome::Whole);
    assert_eq!(fixture::executions(&fleet, "alone", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn unknown_outcome_is_retained_not_retried() {
    let fleet = fixture::start(2).await;
    for target in ["payments-north", "payments-south"] {
        let cut = TargetFaults {
            cut_answer: true,
            ..TargetFaults::default()
        };
        fleet.targets.set_faults(target, cut);
    }
    let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "cut", &ticket);
    let first = fixture::call(&fleet, 0, &payment).await.body;
    let again = fixture::call(&fleet, 1, &payment).await.body;
    assert_eq!(first.outcome, Outcome::Unknown);
    assert_eq!(first, again);
    assert_eq!(fixture::executions(&fleet, "cut", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn streamed_run_outcome_is_retained() {
    let fleet = fixture::start(1).await;
    let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "events", &ticket);
    let streamed = Caller::default()
        .stream(fleet.entry(0).callers, &payment)
        .await
        .expect("an answer");
    let again = fixture::call(&fleet, 0, &payment).await.body;
    assert_eq!(streamed.body, again);
    assert_eq!(fixture::executions(&fleet, "events", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn full_ledger_refuses_without_running() {
    let mut options = fixture::options(1);
    options.limits.ledger_records = 2;
    let fleet = fixture::start_with(options).await;
    for index in 0..3 {
        let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
        let id = format!("record-{index}");
        let payment = fixture::payment(BOTH_KEY, &id, &ticket);
        let answer = fixture::call(&fleet, 0, &payment).await.body;
        if index < 2 {
            assert_eq!(answer.outcome, Outcome::Whole);
        } else {
            assert_eq!(answer.kind, Some(ErrorKind::LedgerFull));
            assert_eq!(answer.outcome, Outcome::NotRun);
            assert_eq!(fixture::executions(&fleet, &id, "encode"), 0);
        }
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn concurrent_sends_of_an_id_run_once() {
    let fleet = fixture::start(3).await;
    let now = fixture::wall_clock_ms();
    for round in 0..10 {
        let id = format!("own-{round}");
        let answers = call_all_entries(&fleet, &request_with_own_id(BOTH_KEY, &id, now)).await;
        assert_eq!(fixture::executions(&fleet, &id, "confirm"), 1);
        for answer in &answers {
            assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
            assert_eq!(answer, &answers[0]);
        }
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn lost_store_answers_cause_no_second_run() {
    let fleet = fixture::start(3).await;
    fleet.store.set_faults(StoreFaults {
        lose_answers: 0.5,
        ..StoreFaults::default()
    });
    let now = fixture::wall_clock_ms();
    let mut whole = 0;
    for round in 0..20 {
        let id = format!("lost-{round}");
        let answers = call_all_entries(&fleet, &request_with_own_id(BOTH_KEY, &id, now)).await;
        let runs = fixture::executions(&fleet, &id, "confirm");
        assert!(runs <= 1, "{id} ran {runs} times");
        for answer in &answers {
            assert!(answer.outcome != Outcome::NotRun || runs == 0, "{answer:?}");
            assert!(answer.outcome != Outcome::Whole || runs == 1, "{answer:?}");
        }
        whole += answers
            .iter()
            .filter(|a| a.outcome == Outcome::Whole)
            .count();
    }
    assert!(whole > 0, "reading back resolves lost answers");
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn id_without_store_is_refused_as_unknown() {
    let fleet = fixture::start(2).await;
    fleet.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    let mut request = request_with_own_id(BOTH_KEY, "down", fixture::wall_clock_ms());
    request.deadline_ms = Some(2_000);
    let answer = fixture::call(&fleet, 0, &request).await.body;
    assert_eq!(answer.kind, Some(ErrorKind::ClaimUnavailable));
    assert_eq!(answer.outcome, Outcome::Unknown);
    assert!(answer.retry_after_ms.is_some());
    assert_eq!(fixture::executions(&fleet, "down", "encode"), 0);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn id_older_than_claim_retention_is_refused() {
    let fleet = fixture::start(1).await;
    let hours_ago = fixture::wall_clock_ms() - 3 * 3_600_000;
    let answer = fixture::call(&fleet, 0, &request_with_own_id(BOTH_KEY, "old", hours_ago))
        .await
        .body;
    assert_eq!(answer.kind, Some(ErrorKind::TicketExpired));
    assert_eq!(answer.outcome, Outcome::Unknown);
    assert_eq!(fixture::executions(&fleet, "old", "encode"), 0);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn killed_claim_owner_leaves_it_unknown() {
    let mut fleet = fixture::start(3).await;
    let request = request_with_own_id(BOTH_KEY, "claimed", fixture::wall_clock_ms());
    let first = fixture::call(&fleet, 0, &request).await.body;
    assert_eq!(first.outcome, Outcome::Whole);
    fleet.take_entry(0).expect("the entry runs").kill().await;
    let again = fixture::call(&fleet, 1, &request).await.body;
    assert_eq!(again.outcome, Outcome::Unknown);
    assert_eq!(fixture::executions(&fleet, "claimed", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn early_refusal_of_resend_is_unknown() {
    let fleet = fixture::start(2).await;
    let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "twice", &ticket);
    let first = fixture::call(&fleet, 0, &payment).await.body;
    assert_eq!(first.outcome, Outcome::Whole);
    let mut late = payment.clone();
    late.deadline_ms = Some(0);
    let mut elsewhere = payment.clone();
    elsewhere.pipeline = "nowhere";
    for refused in [late, elsewhere] {
        let answer = fixture::call(&fleet, 1, &refused).await.body;
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer:?}");
        assert!(!answer.safe_to_repeat);
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn ticket_refused_as_not_run_never_runs() {
    let mut options = fixture::options(1);
    options.limits.ledger_records = 1;
    options.limits.ticket_ms = 4_000;
    let fleet = fixture::start_with(options).await;
    let first = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "first", &first);
    assert_eq!(
        fixture::call(&fleet, 0, &payment).await.body.outcome,
        Outcome::Whole
    );
    let second = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "second", &second);
    let refused = fixture::call(&fleet, 0, &payment).await.body;
    assert_eq!(refused.outcome, Outcome::NotRun);
    for _ in 0..20 {
        let again = fixture::call(&fleet, 0, &payment).await.body;
        assert_ne!(again.outcome, Outcome::Whole);
        actix_rt::time::sleep(Duration::from_millis(250)).await;
    }
    assert_eq!(fixture::executions(&fleet, "second", "encode"), 0);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn expired_claim_keys_leave_the_store() {
    let mut options = fixture::options(1);
    options.limits.claim_ms = 6_000;
    let fleet = fixture::start_with(options).await;
    let request = request_with_own_id(BOTH_KEY, "short-lived", fixture::wall_clock_ms());
    let answer = fixture::call(&fleet, 0, &request).await.body;
    assert_eq!(answer.outcome, Outcome::Whole);
    assert_eq!(fleet.store.count_keys("claim/"), 1);
    fixture::wait_until("the key is gone", || fleet.store.count_keys("claim/") == 0).await;
    let again = fixture::call(&fleet, 0, &request).await.body;
    assert_eq!(again.outcome, Outcome::Unknown, "the claim has expired");
    assert_eq!(fixture::executions(&fleet, "short-lived", "confirm"), 1);
    fleet.shut_down().await;
}
