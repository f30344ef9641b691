//! Messages that are addressed to another run at the address of a gateway.

use std::time::Duration;

use hollowsail_platform_standins::target::results;
use hollowsail_platform_standins::{DeploymentJson, Step, TargetStandin};
use serde_json::json;

use crate::fixture::{
    post, put_entry_record, run_of_entry, single_event_stream, stage_runs, staged_call,
    EntryRecord, Fixture, MESSAGES_PATH,
};

/// No run of the test has these ids.
const OTHER_RUN: u64 = 77;
const ADDRESSED_RUN: u64 = 78;
/// It has a record in the store.
const LISTED_RUN: u64 = 79;
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

/// A gateway, its targets, and a process that sends it a message as another run of its host.
struct TwoRuns {
    fixture: Fixture,
    worker: TargetStandin,
    engine: TargetStandin,
    other: TargetStandin,
}

impl TwoRuns {
    async fn start() -> Self {
        let fixture = Fixture::start(&deployment()).await;
        let worker = TargetStandin::start(|req| vec![Step::Write(results(req, "producer"))]).await;
        let engine = TargetStandin::start(single_event_stream).await;
        fixture.add("i-worker", "encoders", &worker);
        fixture.add("i-engine", "engines", &engine);
        let other = TargetStandin::start(|_| vec![Step::Close]).await;
        TwoRuns {
            fixture,
            worker,
            engine,
            other,
        }
    }

    /// Sends the gateway a message to a run, from one of the other process on this host; returns the
    /// status.
    async fn send_to(&self, addressed: u64, host: &str) -> String {
        let envelope: Envelope = (self.other(OTHER_RUN, host), addressed, false, []);
        let body = rmp_serde::to_vec(&envelope).expect("it encodes");
        let peers = self.fixture.gateway.addrs.peers;
        let answer = post(peers, MESSAGES_PATH, &body).await;
        String::from_utf8_lossy(&answer)[9..12].to_string()
    }

    /// Record of a run at the address of the other process.
    fn other(&self, run: u64, host: &str) -> EntryRecord {
        let (addr, hall) = (self.other.addr, "hall-a".to_string());
        (run, host.to_string(), addr, hall, LARGE_CAPACITY)
    }

    /// Checks that the gateway's own queue serves a request.
    async fn check_served(&self) {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let req = staged_call("0000000000000001", 3_000);
        let got = self.fixture.call(&req).await;
        assert!(got.status == 200 && got.is_whole, "{got:?}");
        assert!(!stage_runs(&self.worker).is_empty());
        assert_eq!(self.engine.received().len(), 1);
        let received = self.other.received();
        assert!(received.is_empty(), "{received:?}");
    }
}

/// Guards against pieces that are sent to an unknown process which claims the name of this host.
#[actix_rt::test]
async fn sender_of_a_message_to_another_run_doesnt_replace_this_run() {
    let runs = TwoRuns::start().await;
    assert_eq!(runs.send_to(ADDRESSED_RUN, "host-1").await, "421");
    runs.check_served().await;
}

/// The same where that process knows this run.
#[actix_rt::test]
async fn sender_with_the_name_of_this_host_doesnt_replace_this_run() {
    let runs = TwoRuns::start().await;
    let run = run_of_entry(&runs.fixture.store);
    assert_eq!(runs.send_to(run, "host-1").await, "204");
    runs.check_served().await;
}

/// Guards against pieces that are sent to an unknown process which claims the name of another host.
#[actix_rt::test]
async fn sender_of_a_message_to_another_run_doesnt_replace_a_run_of_its_host() {
    let runs = TwoRuns::start().await;
    let listed = TargetStandin::start(|_| vec![Step::Close]).await;
    let record = (
        LISTED_RUN,
        "host-2".to_string(),
        listed.addr,
        "hall-a".to_string(),
        LARGE_CAPACITY,
    );
    put_entry_record(&runs.fixture.store, &record);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(runs.send_to(ADDRESSED_RUN, "host-2").await, "421");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let req = staged_call("0000000000000001", 3_000);
    let got = runs.fixture.call(&req).await;
    assert!(!listed.received().is_empty(), "it owns the queue: {got:?}");
    let received = runs.other.received();
    assert!(received.is_empty(), "{received:?}");
}
