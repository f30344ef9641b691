//! Hosts that start one after the other while targets fail all that they get.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_gateway::Running;
use hollowsail_platform::settings::Settings;
use hollowsail_platform_emulator::{RepeatAllowance, WorstWindow};
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::json;

use crate::fixture::{gateway_at, piece_arrivals, settings_allowing, staged_call, Call};

const ALLOWANCE: RepeatAllowance = RepeatAllowance {
    ratio: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
};
/// Time between the readiness of a host and its first requests.
const PRESSED_AFTER: Duration = Duration::from_millis(300);
const TARGETS: usize = 6;

fn settings(store: &StoreStandin, host: &str) -> Settings {
    settings_allowing(&ALLOWANCE, host, store.addr)
}

fn deployment() -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    let staged = json!({ "stages": stages, "target_latency_ms": 1000, "timeout_ms": 30000 });
    DeploymentJson::new(1)
        .service("plain")
        .engines("engines")
        .stage_service("encoders", 4, 20.0, 10.0)
        .route("/safe/", "safe", "plain", json!({ "max_attempts": 5 }))
        .route("/staged/", "stream", "engines", staged)
}

async fn add_targets(
    store: &StoreStandin,
    service: &str,
    script: fn(&ReceivedRequest) -> Vec<Step>,
) -> Vec<TargetStandin> {
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let target = TargetStandin::start(script).await;
        let id = format!("i-{service}-{number}");
        store.put_target(&id, service, target.addr, "hall-a", "ready");
        targets.push(target);
    }
    targets
}

/// A store whose plain targets answer 500, and whose stage workers reset connections.
struct Site {
    store: StoreStandin,
    plain: Vec<TargetStandin>,
    workers: Vec<TargetStandin>,
    begun: Instant,
}

impl Site {
    async fn start() -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment().bytes());
        let fails = |request: &ReceivedRequest| vec![Step::Write(answer(request, 500, "failed"))];
        let plain = add_targets(&store, "plain", fails).await;
        let workers = add_targets(&store, "encoders", |_| vec![Step::Reset]).await;
        let _engines = add_targets(&store, "engines", |_| vec![Step::Reset]).await;
        Site {
            store,
            plain,
            workers,
            begun: Instant::now(),
        }
    }

    async fn host(&self, number: usize) -> Running {
        gateway_at(settings(&self.store, &format!("host-{number}"))).await
    }

    fn worst_window<K: std::hash::Hash + Eq + Ord>(
        &self,
        mut arrivals: Vec<(Instant, K)>,
        requests: &[Instant],
    ) -> WorstWindow {
        arrivals.sort();
        let since_start = |at: &Instant| *at - self.begun;
        let mut seen = HashSet::new();
        let repeats = arrivals
            .into_iter()
            .filter_map(|(at, work)| (!seen.insert(work)).then(|| since_start(&at)));
        let repeats: Vec<Duration> = repeats.collect();
        let mut requests: Vec<Duration> = requests.iter().map(since_start).collect();
        requests.sort();
        let worst = ALLOWANCE.worst_window(&repeats, &requests);
        worst.expect("targets fail, so that work is repeated")
    }

    fn check_requests(&self, requests: &[Instant]) {
        let received = self.plain.iter().flat_map(TargetStandin::received);
        let arrivals = received.map(|req| (req.received_at, req.request_id().to_string()));
        let worst = self.worst_window(arrivals.collect(), requests);
        assert!(!worst.is_exceeded(), "{worst:?}");
    }

    fn check_pieces(&self) {
        // No route leads to the stage service.
        let worst = self.worst_window(piece_arrivals(&self.workers), &[]);
        assert!(!worst.is_exceeded(), "{worst:?}");
    }
}

/// Sends requests that fail at every target, and returns when.
async fn send_safe(callers: SocketAddr, host: usize, count: usize) -> Vec<Instant> {
    let mut sent = Vec::new();
    for number in 0..count {
        let id = format!("{host:08x}{number:08x}");
        let call = Call::new("GET", "/safe/x").with("X-Request-Id", &id);
        sent.push(Instant::now());
        call.send(callers).await;
    }
    sent
}

/// Sends requests of four pieces each that fail at every worker.
async fn send_staged(callers: SocketAddr, host: usize, count: usize) {
    let calls = (0..count).map(|number| async move {
        let call = staged_call(&format!("{host:08x}{number:08x}"), 10_000);
        call.send(callers).await
    });
    join_all(calls).await;
}

/// Starts hosts one after the other, and has each get safe requests that fail.
async fn press_joining_hosts(hosts: usize, apart: Duration, requests_per_host: usize) {
    let site = Site::start().await;
    let site = &site;
    let pressed = join_all((0..hosts).map(|number| async move {
        tokio::time::sleep(apart * number as u32).await;
        let host = site.host(number).await;
        tokio::time::sleep(PRESSED_AFTER).await;
        let sent = send_safe(host.addrs.callers, number, requests_per_host).await;
        (host, sent)
    }));
    let (_hosts, sent): (Vec<Running>, Vec<_>) = pressed.await.into_iter().unzip();
    site.check_requests(&sent.concat());
}

// Guards against a share of all that is allowed for each host, divided only by those that came before.
#[actix_rt::test]
async fn hosts_that_join_in_turn_stay_within_the_allowance_of_repeats() {
    press_joining_hosts(8, Duration::from_millis(800), 20).await;
}

// The same where few hosts join, further apart.
#[actix_rt::test]
async fn few_hosts_that_join_in_turn_stay_within_the_allowance_of_repeats() {
    press_joining_hosts(4, Duration::from_millis(1_800), 25).await;
}

#[actix_rt::test]
async fn hosts_that_start_together_stay_within_the_allowance_of_repeats() {
    press_joining_hosts(8, Duration::ZERO, 20).await;
}

// Guards against the same for pieces, for which no request earns any repeat.
#[actix_rt::test]
async fn hosts_that_join_in_turn_stay_within_the_allowance_of_pieces() {
    let site = Site::start().await;
    let site = &site;
    let pressed = join_all((0..8).map(|number| async move {
        tokio::time::sleep(Duration::from_secs(1) * number as u32).await;
        let host = site.host(number).await;
        tokio::time::sleep(PRESSED_AFTER).await;
        send_staged(host.addrs.callers, number, 16).await;
        host
    }));
    let _hosts = pressed.await;
    site.check_pieces();
}

// Guards against a share for each name of a host, where machines are replaced within a window.
#[actix_rt::test]
async fn hosts_that_are_replaced_by_others_stay_within_the_allowance_of_repeats() {
    let site = Site::start().await;
    let mut sent = Vec::new();
    for number in 0..6 {
        let host = site.host(number).await;
        tokio::time::sleep(PRESSED_AFTER).await;
        sent.extend(send_safe(host.addrs.callers, number, 30).await);
        host.stop().await;
    }
    site.check_requests(&sent);
}
