//! Requests that end the targets that run them.

use hollowsail_entry::ErrorKind;
use hollowsail_local::caller::Request;
use serde_json::json;

use crate::fixture::{self, BOTH, NORTH};
use crate::raw_target::{Behaviour, RawTarget};

/// A request whose input ends encoders, under an id of its own.
fn fatal<'a>(key: &'a str, id: &'a str) -> Request<'a> {
    let mut request = Request::new("read", key, json!("fatal"));
    request.id = Some(id);
    request
}

/// Every send of it ended a target, as often as its caller sent it; refused at the third.
#[actix_rt::test]
async fn a_request_under_which_three_targets_ended_is_refused_before_its_stages() {
    let mut fleet = fixture::start(1).await;
    let target = RawTarget::start(Behaviour::EndAt("fatal")).await;
    fixture::move_target(&mut fleet, "encoder-north", target.address).await;
    let mut ended = 0;
    for send in 0..6 {
        let id = format!("fatal-{send}");
        let answer = fixture::call(&fleet, 0, &fatal(NORTH, &id)).await.body;
        if !target.is_up() {
            ended += 1;
            target.restart().await;
        } else {
            assert_eq!(answer.kind, Some(ErrorKind::EndsTargets), "send {send}");
            assert!(answer.safe_to_repeat, "no stage ran");
        }
    }
    assert_eq!(ended, 3);
    let good = fixture::request("read", NORTH, "good");
    let good = fixture::call(&fleet, 0, &good).await.body;
    assert_ne!(
        good.kind,
        Some(ErrorKind::EndsTargets),
        "others are not refused"
    );
    fleet.shut_down().await;
}

/// A repeatable stage is sent on to another target; two may end under one run.
#[actix_rt::test]
async fn one_run_of_a_request_ends_two_targets_at_most() {
    let mut fleet = fixture::start(1).await;
    let targets = [
        RawTarget::start(Behaviour::EndAt("fatal")).await,
        RawTarget::start(Behaviour::EndAt("fatal")).await,
    ];
    fixture::move_target(&mut fleet, "encoder-north", targets[0].address).await;
    fixture::move_target(&mut fleet, "encoder-south", targets[1].address).await;
    let answer = fixture::call(&fleet, 0, &fatal(BOTH, "fatal")).await.body;
    assert_eq!(answer.stages[0].attempts, 2);
    assert!(targets.iter().all(|target| !target.is_up()));
    fleet.shut_down().await;
}
