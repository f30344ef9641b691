//! Answers are whole and their own: what is crossed, cut, or of the wrong
//! length is never handed on.

use hollowsail_entry::ErrorKind;
use hollowsail_local::Caller;
use hollowsail_routing::{Outcome, StageStatus};
use hollowsail_standins::TargetFaults;
use serde_json::json;

use crate::fixture::{self, BOTH, NORTH};

fn faults(change: impl FnOnce(&mut TargetFaults)) -> TargetFaults {
    let mut faults = TargetFaults::default();
    change(&mut faults);
    faults
}

/// Ways in which an encoder's or payment's answer is not this call's.
fn broken_answers() -> Vec<(&'static str, TargetFaults)> {
    vec![
        ("crossed", faults(|f| f.cross_answers = true)),
        ("cut", faults(|f| f.cut_answer = true)),
        ("length", faults(|f| f.wrong_length = true)),
    ]
}

#[actix_rt::test]
async fn a_broken_answer_of_a_repeatable_stage_is_replaced_by_another_targets() {
    let fleet = fixture::start(1).await;
    let good = fixture::call(&fleet, 0, &fixture::request("read", BOTH, "good")).await;
    for (name, faults) in broken_answers() {
        fleet.targets.set_faults("encoder-north", faults);
        for at in 0..4 {
            let id = format!("{name}-{at}");
            let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH, &id)).await;
            assert_eq!(answer.body.outcome, Outcome::Whole, "{id}");
            assert_eq!(answer.body.output, good.body.output, "{id}");
        }
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_broken_answer_of_a_stage_that_must_not_be_repeated_is_unknown_and_ran_once() {
    let fleet = fixture::start(1).await;
    for (name, faults) in broken_answers() {
        fleet.targets.set_faults("payments-north", faults);
        let ticket = fixture::ticket(&fleet, 0, NORTH).await;
        let payment = fixture::payment(NORTH, name, &ticket);
        let answer = fixture::call(&fleet, 0, &payment).await.body;
        assert_eq!(answer.outcome, Outcome::Unknown, "{name}");
        assert_eq!(answer.output, None, "{name}");
        assert_eq!(answer.stages[2].status, StageStatus::Unknown, "{name}");
        assert_eq!(fixture::executions(&fleet, name, "confirm"), 1, "{name}");
    }
    fleet.shut_down().await;
}

/// Ways in which both engines' streams go wrong, and whether they can be
/// mended.
fn broken_streams() -> Vec<(&'static str, TargetFaults, Outcome)> {
    vec![
        (
            "doubled",
            faults(|f| f.double_tokens = true),
            Outcome::Whole,
        ),
        (
            "resumed",
            faults(|f| f.cut_stream_after = Some(7)),
            Outcome::Whole,
        ),
        (
            "endless",
            faults(|f| f.drop_end_marker = true),
            Outcome::Unknown,
        ),
        (
            "crossed",
            faults(|f| f.cross_answers = true),
            Outcome::Unknown,
        ),
    ]
}

#[actix_rt::test]
async fn a_broken_stream_is_resumed_where_it_broke_or_not_whole() {
    // Tokens come one by one: what is cut has delivered some before.
    let mut options = fixture::options(1);
    options.profile.engine.token = 2.0;
    let fleet = fixture::start_with(options).await;
    let good = fixture::call(&fleet, 0, &fixture::request("read", BOTH, "good")).await;
    let caller = Caller::default();
    for (name, faults, outcome) in broken_streams() {
        for target in ["llm-north", "llm-south"] {
            fleet.targets.set_faults(target, faults.clone());
        }
        let request = fixture::request("read", BOTH, name);
        let answer = caller
            .stream(fleet.entry(0).callers, &request)
            .await
            .expect("an answer");
        assert_eq!(answer.body.outcome, outcome, "{name}");
        if outcome == Outcome::Whole {
            assert_eq!(answer.body.output, good.body.output, "{name}");
            assert_eq!(
                json!(answer.streamed),
                good.body.output.clone().expect("one")["text"]
            );
        } else {
            assert_eq!(answer.body.output, None, "{name}");
            assert_eq!(answer.body.kind, Some(ErrorKind::TargetFailed));
        }
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_stream_moved_to_another_engine_starts_anew_for_its_caller() {
    let fleet = fixture::start(1).await;
    let good = fixture::call(&fleet, 0, &fixture::request("read", BOTH, "good")).await;
    fleet
        .targets
        .set_faults("llm-north", faults(|f| f.drop_end_marker = true));
    let caller = Caller::default();
    for at in 0..6 {
        let id = format!("moved-{at}");
        let request = fixture::request("read", BOTH, &id);
        let answer = caller
            .stream(fleet.entry(0).callers, &request)
            .await
            .expect("an answer");
        assert_eq!(answer.body.outcome, Outcome::Whole);
        assert_eq!(
            json!(answer.streamed),
            good.body.output.clone().expect("one")["text"]
        );
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn concurrent_requests_each_get_their_own_output() {
    let fleet = fixture::start(3).await;
    let addresses = fleet.callers();
    let calls = (0..60).map(|at| {
        let address = addresses[at % 3];
        async move {
            let caller = Caller::default();
            let mut request = fixture::request("read", BOTH, "");
            request.id = None;
            request.input = json!(at % 20);
            let answer = caller.call(address, &request).await.expect("an answer");
            (at % 20, answer.body.output.expect("whole").to_string())
        }
    });
    let answers = futures_util::future::join_all(calls).await;
    for (input, output) in &answers {
        let same = answers.iter().filter(|(_, other)| other == output);
        assert!(same.clone().count() == 3, "three requests share an input");
        assert!(same.clone().all(|(other, _)| other == input));
    }
    fleet.shut_down().await;
}
