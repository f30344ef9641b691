//! Pipelines run stage by stage; each stage's output is the next one's input.

use std::path::Path;

use hollowsail_config::PipelineKey;
use hollowsail_local::caller::Request;
use hollowsail_local::{read_directory, Caller, LocalFleet, LocalOptions, Once};
use hollowsail_routing::{Outcome, StageStatus};
use hollowsail_standins::output;
use serde_json::json;

use crate::fixture;

async fn check_every_pipeline(directory: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(directory);
    let files = read_directory(&path).expect("the example can be read");
    let options = LocalOptions {
        entries: 2,
        limits: fixture::options(2).limits,
        ..LocalOptions::default()
    };
    let fleet = LocalFleet::start(&files, options)
        .await
        .expect("the fleet starts");
    let caller = Caller::default();
    for (index, pipeline) in fleet.deployment.pipelines.iter().enumerate() {
        let org = fleet
            .deployment
            .organisations
            .iter()
            .find(|org| org.pipelines.is_empty())
            .expect("an organisation may call all");
        let key = format!("demo-{}", org.name);
        let entry = fleet.callers()[index % 2];
        let mut request = Request::new(&pipeline.name, &key, json!({ "log": index }));
        if pipeline.runs_once() {
            let ticket = caller
                .tickets(entry, &key, 1)
                .await
                .expect("tickets")
                .remove(0);
            request.once = Once::Ticket(ticket);
        }
        let response = caller.call(entry, &request).await.expect("an answer");
        assert_eq!(response.status, 200, "{:?}", response.body);
        assert_eq!(response.body.outcome, Outcome::Whole);
        assert!(response
            .body
            .stages
            .iter()
            .all(|s| s.status == StageStatus::Ran));
        let org = fleet
            .deployment
            .find_organisation(&org.name)
            .expect("the organisation exists");
        let pipeline_key = PipelineKey(index as u16);
        let input = json!({ "log": index });
        let expected = output::pipeline_output(&fleet.deployment, org, pipeline_key, input);
        assert_eq!(response.body.output, Some(expected), "{}", pipeline.name);
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn quebec_pipelines_return_expected_output() {
    check_every_pipeline("quebec").await;
}

#[actix_rt::test]
async fn accra_pipelines_return_expected_output() {
    check_every_pipeline("accra").await;
}

#[actix_rt::test]
async fn streamed_tokens_equal_the_final_output() {
    let fleet = fixture::start(1).await;
    let request = fixture::request("read", fixture::BOTH_KEY, "streamed");
    let response = Caller::default()
        .stream(fleet.entry(0).callers, &request)
        .await
        .expect("an answer");
    assert_eq!(response.body.outcome, Outcome::Whole);
    let output = response.body.output.expect("an output");
    assert!(!response.streamed.is_empty());
    assert_eq!(output["text"], json!(response.streamed));
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn stream_disconnect_cancels_the_run() {
    let mut options = fixture::options(1);
    options.profile.engine.token = 50.0;
    let fleet = fixture::start_with(options).await;
    let request = fixture::request("read", fixture::BOTH_KEY, "left");
    let address = fleet.entry(0).callers;
    {
        let caller = Caller::default();
        let stream = caller.stream(address, &request);
        let cut = actix_rt::time::timeout(std::time::Duration::from_millis(200), stream).await;
        assert!(cut.is_err(), "the stream outlasts the timeout");
    }
    let entry = fleet.entry(0).entry.clone();
    fixture::wait_until("no call is in flight", || {
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
    assert!(!finished, "a cancelled call must not finish");
    fleet.shut_down().await;
}
