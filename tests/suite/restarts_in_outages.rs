//! A gateway process that restarts while the store is silent, and doesn't know its peers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_platform_standins::target::{chunk, event, last_chunk, results, stream_head};
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreMode, StoreStandin, TargetStandin,
};
use serde_json::json;
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::gateway::{callers_addr, settings, Gateway};

/// Longer than a host that didn't answer owns nothing.
const OUTAGE: Duration = Duration::from_secs(6);
const CALL_INTERVAL: Duration = Duration::from_millis(50);
const GRACE_S: u32 = 3;

fn deployment() -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 8, 20.0, 10.0)
        .route(
            "/answers/",
            "stream",
            "engines",
            json!({ "stages": stages }),
        )
}

fn serve(request: &ReceivedRequest) -> Vec<Step> {
    if request.path == "/-/stage-run" {
        return vec![Step::Write(results(request, "producer"))];
    }
    vec![
        Step::Write(stream_head(request)),
        Step::Write(chunk(&event(1))),
        Step::Write(last_chunk()),
    ]
}

/// Two gateways before workers and engines.
struct Fleet {
    store: StoreStandin,
    gateways: Vec<Gateway>,
    directory: TempDir,
    callers: Vec<SocketAddr>,
    _targets: Vec<TargetStandin>,
}

impl Fleet {
    async fn start() -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment().bytes());
        let mut targets = Vec::new();
        for service in ["encoders", "encoders", "engines", "engines"] {
            let target = TargetStandin::start(serve).await;
            let id = format!("i-{}", targets.len());
            store.put_target(&id, service, target.addr, "hall-a", "ready");
            targets.push(target);
        }
        let directory = tempfile::tempdir().expect("a temporary directory");
        let hosts = ["host-0", "host-1"];
        let paths = hosts.map(|host| settings(directory.path(), host, store.addr, GRACE_S));
        let mut gateways: Vec<Gateway> = paths.iter().map(|path| Gateway::start(path)).collect();
        for gateway in &mut gateways {
            gateway.wait_for_line("configuration_in_force").await;
            gateway.discard_lines();
        }
        while store.keys("hollowsail/peers/").len() < hosts.len() {
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        Fleet {
            store,
            gateways,
            directory,
            callers: paths.iter().map(|path| callers_addr(path)).collect(),
            _targets: targets,
        }
    }

    /// Silences the store, kills a gateway, and starts it again.
    fn restart_in_outage(&mut self, number: usize) {
        self.store.set_mode(StoreMode::Silent);
        drop(self.gateways.remove(number));
        let path = self.directory.path().join(format!("host-{number}.yaml"));
        let mut restarted = Gateway::start(&path);
        restarted.discard_lines();
        self.gateways.insert(number, restarted);
    }

    /// Sends requests with stages to a gateway for as long as the outage lasts; returns the answers to
    /// those that weren't served.
    async fn failed_in_outage(&self, number: usize) -> Vec<String> {
        let callers = self.callers[number];
        let calls = OUTAGE.as_millis() / CALL_INTERVAL.as_millis();
        let calls = (0..calls as u32).map(|call| async move {
            tokio::time::sleep(CALL_INTERVAL * call).await;
            send_staged(callers).await
        });
        let answers = join_all(calls).await.into_iter();
        answers.filter(|answer| !is_served(answer)).collect()
    }
}

fn is_served(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200 ") && answer.contains(&event(1))
}

/// Sends a request with a stage; returns what was received.
async fn send_staged(callers: SocketAddr) -> String {
    let Ok(mut stream) = TcpStream::connect(callers).await else {
        return String::new();
    };
    let id = rand::random::<u64>();
    let request = format!(
        "POST /answers/x HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: {id:016x}\r\n\
         X-Deadline-Ms: 2000\r\nX-Token-Counts: 100,10\r\nX-Prompt-Prefix: aa:60,bb:40\r\n\
         X-Pieces: 2\r\nX-Piece-Key: the-key\r\nContent-Length: 6\r\nConnection: close\r\n\r\nprompt"
    );
    let mut answer = String::new();
    if stream.write_all(request.as_bytes()).await.is_ok() {
        // What was received before a break is enough.
        let _ended = stream.read_to_string(&mut answer).await;
    }
    answer
}

/// Guards against a host without a configuration that owns queues, and fails what it can't produce.
#[actix_rt::test]
async fn restarted_gateway_without_a_configuration_fails_no_pieces_of_others() {
    for restarted in 0..2 {
        let mut fleet = Fleet::start().await;
        let other = 1 - restarted;
        let answer = send_staged(fleet.callers[other]).await;
        assert!(is_served(&answer), "before the restart: {answer}");
        fleet.restart_in_outage(restarted);
        let failed = fleet.failed_in_outage(other).await;
        assert!(failed.is_empty(), "{}: {}", failed.len(), failed[0]);
    }
}

/// Guards against a host that serves nobody although peers that know everything talk to it.
#[actix_rt::test]
async fn restarted_gateway_without_a_store_serves_once_peers_have_talked_to_it() {
    let mut fleet = Fleet::start().await;
    fleet.restart_in_outage(0);
    let serving = async {
        let until = Instant::now() + OUTAGE;
        while Instant::now() < until && !is_served(&send_staged(fleet.callers[0]).await) {
            tokio::time::sleep(CALL_INTERVAL).await;
        }
        send_staged(fleet.callers[0]).await
    };
    let (_, answer) = futures_util::future::join(fleet.failed_in_outage(1), serving).await;
    assert!(is_served(&answer), "{answer}");
}
