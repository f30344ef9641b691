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

    /// The run of the gateway, from its record.
    fn run(&self) -> u64 {
        let store = &self.fixture.store;
        let keys = store.keys("hollowsail/peers/");
        let value = store.value(&keys[0]).expect("the gateway has a record");
        let record: EntryRecord = rmp_serde::from_slice(&value).expect("it decodes");
        record.0
    }

    /// Sends the gateway a message to a run; returns the status.
    async fn send_to(&self, addressed: u64) -> String {
        let sender = (
            OTHER_RUN,
            "host-1".to_string(),
            self.other.addr,
            "hall-a".to_string(),
            LARGE_CAPACITY,
        );
        let envelope: Envelope = (sender, addressed, false, []);
        let body = rmp_serde::to_vec(&envelope).expect("it encodes");
        let head = format!(
            "POST {MESSAGES_PATH} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        let peers = self.fixture.gateway.addrs.peers;
        let answer = exchange(peers, &[head.as_bytes(), &body].concat()).await;
        String::from_utf8_lossy(&answer)[9..12].to_string()
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
    assert_eq!(runs.send_to(ADDRESSED_RUN).await, "421");
    runs.check_served().await;
}

/// The same where that process knows this run.
#[actix_rt::test]
async fn sender_with_the_name_of_this_host_doesnt_replace_this_run() {
    let runs = TwoRuns::start().await;
    assert_eq!(runs.send_to(runs.run()).await, "204");
    runs.check_served().await;
}
