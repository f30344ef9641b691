//! Messages that are addressed to another run at the address of a gateway.

use std::time::Duration;

use hollowsail_platform_standins::target::results;
use hollowsail_platform_standins::{DeploymentJson, Step, TargetStandin};
use serde_json::json;

use crate::fixture::{
    exchange, single_event_stream, stage_runs, staged_call, EntryRecord, Fixture,
};

const MESSAGES_PATH: &str = "/hollowsail/messages";
/// No run of the test has these ids.
const OTHER_RUN: u64 = 77;
const ADDRESSED_RUN: u64 = 78;
/// Far above the capacity of the gateway, which owns nothing beside it.
const LARGE_CAPACITY: u32 = 10_000_000;

/// Sender, addressed run, whether the sender lags, and messages.
type Envelope = (EntryRecord, u64, bool, [(); 0]);

fn deployment() -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 4, 20.0, 10.0)
        .route("/staged/", "stream", "engines", json!({ "stages": stages }))
}

/// Guards against pieces that are sent to an unknown process which claims the name of this host.
#[actix_rt::test]
async fn sender_of_a_message_to_another_run_doesnt_replace_this_run() {
    let fixture = Fixture::start(&deployment()).await;
    let worker = TargetStandin::start(|req| vec![Step::Write(results(req, "producer"))]).await;
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-worker", "encoders", &worker);
    fixture.add("i-engine", "engines", &engine);
    let other = TargetStandin::start(|_| vec![Step::Close]).await;
    let sender = (
        OTHER_RUN,
        "host-1".to_string(),
        other.addr,
        "hall-a".to_string(),
        LARGE_CAPACITY,
    );
    let envelope: Envelope = (sender, ADDRESSED_RUN, false, []);
    let body = rmp_serde::to_vec(&envelope).expect("it encodes");
    let head = format!(
        "POST {MESSAGES_PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    let answer = exchange(
        fixture.gateway.addrs.peers,
        &[head.as_bytes(), &body].concat(),
    )
    .await;
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 421"), "{answer}");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = fixture.call(&staged_call("0000000000000001", 3_000)).await;
    assert!(got.status == 200 && got.is_whole, "{got:?}");
    assert!(!stage_runs(&worker).is_empty());
    let received = other.received();
    assert!(received.is_empty(), "{received:?}");
}
