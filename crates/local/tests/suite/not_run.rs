//! Answers report "not run" only when it is certain, whatever a target does.

use std::collections::HashSet;
use std::net::TcpListener;

use hollowsail_entry::{AnswerBody, ErrorKind};
use hollowsail_local::LocalFleet;
use hollowsail_routing::{Outcome, StageStatus};
use hollowsail_standins::TargetFaults;

use crate::fixture::{self, BOTH_KEY, NORTH_KEY};
use crate::raw_target::{good_answer, Behaviour, RawTarget};

fn status(answer: &AnswerBody, stage: &str) -> StageStatus {
    let report = answer.stages.iter().find(|s| s.stage == stage);
    report.expect("the stage is reported").status
}

/// Sends a payment to the north, with `target` as its only payment target.
async fn pay_at(fleet: &mut LocalFleet, target: &RawTarget, id: &str) -> AnswerBody {
    fixture::move_target(fleet, "payments-north", target.address).await;
    let ticket = fixture::ticket(fleet, 0, NORTH_KEY).await;
    let payment = fixture::payment(NORTH_KEY, id, &ticket);
    fixture::call(fleet, 0, &payment).await.body
}

#[actix_rt::test]
async fn close_during_request_leaves_stage_unknown() {
    let mut fleet = fixture::start(1).await;
    for bytes in [0, 1, 20, 200, 350, 500] {
        let target = RawTarget::start(Behaviour::CloseAfterReading(bytes)).await;
        let id = format!("dies-{bytes}");
        let answer = pay_at(&mut fleet, &target, &id).await;
        assert_eq!(answer.outcome, Outcome::Unknown, "after {bytes} bytes");
        assert_eq!(status(&answer, "confirm"), StageStatus::Unknown);
        assert!(!answer.safe_to_repeat);
        assert_eq!(target.connections(), 1, "after {bytes} bytes");
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn close_during_answer_leaves_stage_unknown() {
    let mut fleet = fixture::start(1).await;
    let whole = good_answer("not the dispatch that was sent");
    for bytes in [0, 1, 17, 60, whole.len() - 1, whole.len()] {
        let behaviour = Behaviour::AnswerAndClose(whole[..bytes].to_vec());
        let target = RawTarget::start(behaviour).await;
        let id = format!("answers-{bytes}");
        let answer = pay_at(&mut fleet, &target, &id).await;
        assert_eq!(answer.outcome, Outcome::Unknown, "after {bytes} bytes");
        assert_eq!(status(&answer, "confirm"), StageStatus::Unknown);
        assert_eq!(target.dispatches().len(), 1, "after {bytes} bytes");
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn refused_connection_counts_as_not_run() {
    let mut fleet = fixture::start(1).await;
    let closed = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = closed.local_addr().expect("an address");
    drop(closed);
    fixture::move_target(&mut fleet, "payments-north", address).await;
    let ticket = fixture::ticket(&fleet, 0, NORTH_KEY).await;
    let payment = fixture::payment(NORTH_KEY, "refused", &ticket);
    let answer = fixture::call(&fleet, 0, &payment).await.body;
    assert_eq!(status(&answer, "confirm"), StageStatus::NotRun);
    assert_eq!(answer.outcome, Outcome::Unknown, "earlier stages ran");
    assert!(
        answer.safe_to_repeat,
        "the stage that must not be repeated did not run"
    );
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn only_final_refusals_count_as_not_run() {
    let fleet = fixture::start(1).await;
    for (refusal, expected) in [(429, StageStatus::NotRun), (500, StageStatus::Unknown)] {
        let faults = TargetFaults {
            refuse: Some(refusal),
            ..TargetFaults::default()
        };
        fleet.targets.set_faults("payments-north", faults);
        let ticket = fixture::ticket(&fleet, 0, NORTH_KEY).await;
        let id = format!("refused-{refusal}");
        let payment = fixture::payment(NORTH_KEY, &id, &ticket);
        let answer = fixture::call(&fleet, 0, &payment).await.body;
        assert_eq!(status(&answer, "confirm"), expected, "{refusal}");
        assert_eq!(fixture::executions(&fleet, &id, "confirm"), 0);
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn final_refusal_moves_stage_to_another_target() {
    let fleet = fixture::start(1).await;
    let faults = TargetFaults {
        refuse: Some(429),
        ..TargetFaults::default()
    };
    fleet.targets.set_faults("payments-north", faults);
    for index in 0..4 {
        let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
        let id = format!("elsewhere-{index}");
        let payment = fixture::payment(BOTH_KEY, &id, &ticket);
        let answer = fixture::call(&fleet, 0, &payment).await.body;
        assert_eq!(answer.outcome, Outcome::Whole);
        assert_eq!(fixture::executions(&fleet, &id, "confirm"), 1);
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn redirect_is_not_followed() {
    let fleet = fixture::start(1).await;
    let faults = TargetFaults {
        redirect: Some(fleet.targets.addresses["payments-south"]),
        ..TargetFaults::default()
    };
    fleet.targets.set_faults("payments-north", faults);
    let ticket = fixture::ticket(&fleet, 0, NORTH_KEY).await;
    let payment = fixture::payment(NORTH_KEY, "redirected", &ticket);
    let answer = fixture::call(&fleet, 0, &payment).await.body;
    assert_eq!(status(&answer, "confirm"), StageStatus::Unknown);
    assert_eq!(fixture::executions(&fleet, "redirected", "confirm"), 0);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn closed_connection_causes_no_resend() {
    let mut fleet = fixture::start(1).await;
    let target = RawTarget::start(Behaviour::CloseReused).await;
    fixture::move_target(&mut fleet, "encoder-north", target.address).await;
    for index in 0..8 {
        let id = format!("pooled-{index}");
        let request = fixture::request("read", NORTH_KEY, &id);
        fixture::call(&fleet, 0, &request).await;
    }
    let dispatches = target.dispatches();
    let distinct: HashSet<_> = dispatches.iter().collect();
    assert!(
        dispatches.len() > target.connections(),
        "some connection was reused"
    );
    assert_eq!(
        distinct.len(),
        dispatches.len(),
        "no dispatch was sent twice"
    );
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn unrepeatable_calls_use_new_connections() {
    let mut fleet = fixture::start(1).await;
    let target = RawTarget::start(Behaviour::CloseReused).await;
    fixture::move_target(&mut fleet, "payments-north", target.address).await;
    for index in 0..4 {
        let ticket = fixture::ticket(&fleet, 0, NORTH_KEY).await;
        let id = format!("fresh-{index}");
        let payment = fixture::payment(NORTH_KEY, &id, &ticket);
        let answer = fixture::call(&fleet, 0, &payment).await.body;
        assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
    }
    assert_eq!(target.connections(), 4);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn no_target_refuses_with_retry_after() {
    let fleet = fixture::start(1).await;
    for target in ["encoder-north", "encoder-south"] {
        let faults = TargetFaults {
            draining: true,
            ..TargetFaults::default()
        };
        fleet.targets.set_faults(target, faults);
    }
    let request = fixture::request("read", BOTH_KEY, "nobody");
    let answer = fixture::call(&fleet, 0, &request).await.body;
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert!(answer.retry_after_ms.is_some());
    fixture::wait_until("both targets are draining", || {
        fleet
            .entry(0)
            .entry
            .view()
            .targets
            .iter()
            .filter(|t| !t.takes_work)
            .count()
            == 2
    })
    .await;
    let answer = fixture::call(&fleet, 0, &request).await.body;
    assert_eq!(answer.kind, Some(ErrorKind::NoTarget));
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert!(fleet.targets.log.all().is_empty());
    fleet.shut_down().await;
}
