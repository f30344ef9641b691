//! Pipelines run stage by stage, each stage's output feeding the next.

use std::path::Path;

use hollowsail_config::PipelineKey;
use hollowsail_local::caller::Request;
use hollowsail_local::{read_directory, Caller, LocalFleet, LocalOptions, Once};
use hollowsail_routing::{Outcome, StageStatus};
use hollowsail_standins::output;
use serde_json::json;

use crate::fixture;

async fn every_pipeline_of(directory: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(directory);
    let files = read_directory(&path).expect("the examples are there");
    let options = LocalOptions {
        entries: 2,
        limits: fixture::options(2).limits,
        ..LocalOptions::default()
    };
    let fleet = LocalFleet::start(&files, options).await.expect("it starts");
    let caller = Caller::default();
    for (at, pipeline) in fleet.deployment.pipelines.iter().enumerate() {
        let org = fleet
            .deployment
            .organisations
            .iter()
            .find(|org| org.pipelines.is_empty())
            .expect("one may call all");
        let key = format!("demo-{}", org.name);
        let entry = fleet.callers()[at % 2];
        let mut request = Request::new(&pipeline.name, &key, json!({ "log": at }));
        if pipeline.runs_once() {
            let ticket = caller
                .tickets(entry, &key, 1)
                .await
                .expect("tickets")
                .remove(0);
            request.once = Once::Ticket(ticket);
        }
        let answered = caller.call(entry, &request).await.expect("an answer");
        assert_eq!(answered.status, 200, "{:?}", answered.body);
        assert_eq!(answered.body.outcome, Outcome::Whole);
        assert!(answered
            .body
            .stages
            .iter()
            .all(|s| s.status == StageStatus::Ran));
        let org = fleet
            .deployment
            .find_organisation(&org.name)
            .expect("it is there");
        let pipeline_key = PipelineKey(at as u16);
        let input = json!({ "log": at });
        let wanted = output::of_pipeline(&fleet.deployment, org, pipeline_key, input);
        assert_eq!(answered.body.output, Some(wanted), "{}", pipeline.name);
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn quebec_gets_the_targets_own_output_from_every_pipeline() {
    every_pipeline_of("quebec").await;
}

#[actix_rt::test]
async fn accra_gets_the_targets_own_output_from_every_pipeline() {
    every_pipeline_of("accra").await;
}

#[actix_rt::test]
async fn streamed_tokens_make_up_the_whole_output() {
    let fleet = fixture::start(1).await;
    let request = fixture::request("read", fixture::BOTH, "streamed");
    let answered = Caller::default()
        .stream(fleet.entry(0).callers, &request)
        .await
        .expect("an answer");
    assert_eq!(answered.body.outcome, Outcome::Whole);
    let output = answered.body.output.expect("an output");
    assert!(!answered.streamed.is_empty());
    assert_eq!(output["text"], json!(answered.streamed));
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_caller_that_leaves_a_stream_ends_its_run() {
    let mut options = fixture::options(1);
    options.profile.engine.token = 50.0;
    let fleet = fixture::start_with(options).await;
    let request = fixture::request("read", fixture::BOTH, "left");
    let address = fleet.entry(0).callers;
    {
        let caller = Caller::default();
        let stream = caller.stream(address, &request);
        let cut = actix_rt::time::timeout(std::time::Duration::from_millis(200), stream).await;
        assert!(cut.is_err(), "the stream takes longer than that");
    }
    let entry = fleet.entry(0).entry.clone();
    fixture::wait_until("the engine's call is given up", || {
        let view = entry.view();
        view.targets
            .iter()
            .all(|t| t.in_flight.load(std::sync::atomic::Ordering::Relaxed) == 0)
    })
    .await;
    let finished = fleet
        .targets
        .log
        .all()
        .into_iter()
        .any(|e| e.stage() == "generate" && e.finished);
    assert!(!finished, "nobody waits for it any more");
    fleet.shut_down().await;
}
