//! Requests that crash the targets that run them.

use hollowsail_entry::ErrorKind;
use hollowsail_local::caller::Request;
use serde_json::json;

use crate::fixture::{self, BOTH_KEY, NORTH_KEY};
use crate::raw_target::{Behaviour, RawTarget};

/// A request whose input crashes encoders.
fn fatal<'a>(key: &'a str, id: &'a str) -> Request<'a> {
    let mut request = Request::new("read", key, json!("fatal"));
    request.id = Some(id);
    request
}

/// Guards against a crashing request that its caller can resend without limit.
#[actix_rt::test]
async fn request_is_refused_after_three_crashes() {
    let mut fleet = fixture::start(1).await;
    let target = RawTarget::start(Behaviour::CrashOn("fatal")).await;
    fixture::move_target(&mut fleet, "encoder-north", target.address).await;
    let mut crashes = 0;
    for send in 0..6 {
        let id = format!("fatal-{send}");
        let answer = fixture::call(&fleet, 0, &fatal(NORTH_KEY, &id)).await.body;
        if !target.is_up() {
            crashes += 1;
            target.restart().await;
        } else {
            assert_eq!(answer.kind, Some(ErrorKind::EndsTargets), "send {send}");
            assert!(answer.safe_to_repeat, "no stage ran");
        }
    }
    assert_eq!(crashes, 3);
    let good = fixture::request("read", NORTH_KEY, "good");
    let good = fixture::call(&fleet, 0, &good).await.body;
    assert_ne!(
        good.kind,
        Some(ErrorKind::EndsTargets),
        "other requests are not refused"
    );
    fleet.shut_down().await;
}

/// Guards against retries of a repeatable stage that crash every target in turn.
#[actix_rt::test]
async fn one_run_crashes_at_most_two_targets() {
    let mut fleet = fixture::start(1).await;
    let targets = [
        RawTarget::start(Behaviour::CrashOn("fatal")).await,
        RawTarget::start(Behaviour::CrashOn("fatal")).await,
    ];
    fixture::move_target(&mut fleet, "encoder-north", targets[0].address).await;
    fixture::move_target(&mut fleet, "encoder-south", targets[1].address).await;
    let answer = fixture::call(&fleet, 0, &fatal(BOTH_KEY, "fatal"))
        .await
        .body;
    assert_eq!(answer.stages[0].attempts, 2);
    assert!(targets.iter().all(|target| !target.is_up()));
    fleet.shut_down().await;
}
