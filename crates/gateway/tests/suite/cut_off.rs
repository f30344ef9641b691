//! A host that is cut off from all targets, whose peer reaches them.
//!
//! Each entry reaches the targets over links of its own.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{
    answer, chunk, event, last_chunk, results, stream_head,
};
use hollowsail_platform_standins::{
    DeploymentJson, HostLinks, LinkMode, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::json;

use crate::fixture::{gateway_at, settings, wait_for_entries, Answer, Call};

/// Time from a cut until first tries have to be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of each kind that are sent at once before and after a cut. More than there are
/// connections from before.
const REQUESTS: usize = 12;
/// How long a target works on a request.
const WORK_TIME: Duration = Duration::from_millis(30);

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
        .service("plain")
        .route("/once/", "unsafe", "plain", json!({}))
        .route("/safe/", "safe", "plain", json!({ "max_attempts": 2 }))
}

/// An entry and its links.
struct Host {
    gateway: Running,
    links: HostLinks,
}

/// Entries that know each other, before targets of all kinds.
struct Fleet {
    hosts: Vec<Host>,
    targets: Vec<TargetStandin>,
}

fn stream(request: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Write(stream_head(request)),
        Step::Write(chunk(&event(1))),
        Step::Write(chunk(&event(2))),
        Step::Write(last_chunk()),
    ]
}

fn serve(request: &ReceivedRequest) -> Vec<Step> {
    let answer = match request.path.as_str() {
        "/-/stage-run" => results(request, "producer"),
        path if path.starts_with("/answers/") => return stream(request),
        _ => answer(request, 200, "the body"),
    };
    vec![Step::Wait(WORK_TIME), Step::Write(answer)]
}

impl Fleet {
    async fn start(entries: usize) -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment().bytes());
        let mut targets = Vec::new();
        for service in ["engines", "encoders", "plain"] {
            for number in 0..3 {
                let target = TargetStandin::start(serve).await;
                let id = format!("i-{service}-{number}");
                store.put_target(&id, service, target.addr, "hall-a", "ready");
                targets.push(target);
            }
        }
        let mut hosts = Vec::new();
        for number in 0..entries {
            let (endpoint, links) = store.add_host().await;
            let settings = settings(&format!("host-{number}"), "hall-a", endpoint.addr);
            let gateway = gateway_at(settings).await;
            hosts.push(Host { gateway, links });
        }
        wait_for_entries("all entries are registered", &store, entries).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        Fleet { hosts, targets }
    }

    /// Sends requests of one kind to an entry at once; returns the answers to first tries that
    /// weren't served.
    async fn failed_first_tries(&self, entry: usize, kind: Kind) -> Vec<Answer> {
        let addr = self.hosts[entry].gateway.addrs.callers;
        let requests: Vec<Call> = (0..REQUESTS).map(|_| kind.request()).collect();
        let answers = join_all(requests.iter().map(|request| request.send(addr))).await;
        let is_served = |answer: &Answer| answer.status == 200 && answer.is_whole;
        let answers = answers.into_iter();
        answers.filter(|answer| !is_served(answer)).collect()
    }

    /// Requests received for any `X-Request-Id` more than once, on routes that allow one run.
    fn repeated(&self) -> Vec<String> {
        let received = self.targets.iter().flat_map(TargetStandin::received);
        let once = received.filter(|request| request.path.starts_with("/once/"));
        let mut ids: Vec<String> = once
            .map(|request| request.request_id().to_string())
            .collect();
        ids.sort();
        let pairs = ids.windows(2).filter(|pair| pair[0] == pair[1]);
        pairs.map(|pair| pair[0].clone()).collect()
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Once,
    Safe,
    Staged,
}

impl Kind {
    const ALL: [Kind; 3] = [Kind::Once, Kind::Safe, Kind::Staged];

    fn request(self) -> Call {
        let id = format!("{:016x}", rand::random::<u64>());
        let call = match self {
            Kind::Once => Call::new("POST", "/once/x").body("text"),
            Kind::Safe => Call::new("GET", "/safe/x"),
            Kind::Staged => Call::new("POST", "/answers/x")
                .with("X-Token-Counts", "100,10")
                .with("X-Prompt-Prefix", "aa:60,bb:40")
                .with("X-Pieces", "2")
                .with("X-Piece-Key", "the-key")
                .body("prompt"),
        };
        call.with("X-Request-Id", &id)
    }
}

/// Cuts one of two entries off while its callers go on, and returns the first tries that failed
/// there after the contact time.
async fn failed_behind_a_cut(mode: LinkMode) -> Vec<Answer> {
    let fleet = Fleet::start(2).await;
    for kind in Kind::ALL {
        let failed = fleet.failed_first_tries(0, kind).await;
        assert!(failed.is_empty(), "before the cut: {failed:?}");
    }
    fleet.hosts[0].links.set_mode(mode);
    let cut = Instant::now();
    while cut.elapsed() < CONTACT_TIME {
        let requests = Kind::ALL.map(Kind::request);
        let addr = fleet.hosts[0].gateway.addrs.callers;
        join_all(requests.iter().map(|request| request.send(addr))).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let mut failed = Vec::new();
    for kind in Kind::ALL {
        failed.extend(fleet.failed_first_tries(0, kind).await);
    }
    let repeated = fleet.repeated();
    assert!(repeated.is_empty(), "ran more than once: {repeated:?}");
    failed
}

#[actix_rt::test]
async fn host_whose_new_connections_are_refused_serves_first_tries() {
    let failed = failed_behind_a_cut(LinkMode::Refusing).await;
    assert!(failed.is_empty(), "{failed:?}");
}

#[actix_rt::test]
async fn host_whose_connections_are_reset_serves_first_tries() {
    let failed = failed_behind_a_cut(LinkMode::Resetting).await;
    assert!(failed.is_empty(), "{failed:?}");
}

#[actix_rt::test]
async fn host_whose_connections_hang_serves_first_tries() {
    let failed = failed_behind_a_cut(LinkMode::Silent).await;
    assert!(failed.is_empty(), "{failed:?}");
}

#[actix_rt::test]
async fn host_that_hears_no_answers_serves_first_tries() {
    let failed = failed_behind_a_cut(LinkMode::AnswersLost).await;
    assert!(failed.is_empty(), "{failed:?}");
}
