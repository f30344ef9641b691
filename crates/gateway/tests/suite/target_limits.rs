//! Targets that report in their responses how many requests per second they accept.
//!
//! Guards against entries that together exceed a reported limit, and against entries that
//! stop using a target because it reports one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{answer, limited, not_run};
use hollowsail_platform_standins::{ReceivedRequest, Step, StoreMode, StoreStandin, TargetStandin};

use crate::all_kinds::{deployment, staged, whole_answer};
use crate::fixture::{
    eventually, gateway, generation, put_entry_record, wait_for_entries, Answer, Call,
};

/// Window over which requests to a target are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Duration of a call for pieces, both configured and actual.
const WORK_MS: u64 = 60;
/// Time within which all entries must apply a new limit.
const APPLY_TIMEOUT: Duration = Duration::from_millis(500);

fn plain(number: usize) -> Call {
    Call::new("GET", "/a/x").with("X-Request-Id", &format!("{number:016x}"))
}

/// A kind of target, and the requests that reach it.
#[derive(Clone, Copy)]
struct Kind {
    service: &'static str,
    call: fn(usize) -> Call,
}

const ENGINES: Kind = Kind {
    service: "engines",
    call: generation,
};
const PLAIN: Kind = Kind {
    service: "plain",
    call: plain,
};
/// Calls that release results count as requests, too.
const STAGE_WORKERS: Kind = Kind {
    service: "encoders",
    call: staged,
};

/// A target that reports its limit, if it has one, in all responses.
#[derive(Clone)]
struct LimitedTarget {
    target: TargetStandin,
    limit: Rc<RefCell<Option<String>>>,
}

impl LimitedTarget {
    async fn start() -> Self {
        let limit: Rc<RefCell<Option<String>>> = Rc::default();
        let reported = limit.clone();
        let target =
            TargetStandin::start(move |request| steps(request, reported.borrow().as_deref())).await;
        LimitedTarget { target, limit }
    }

    fn report_limit(&self, limit: &str) -> Instant {
        *self.limit.borrow_mut() = Some(limit.to_string());
        Instant::now()
    }

    fn clear_limit(&self) -> Instant {
        *self.limit.borrow_mut() = None;
        Instant::now()
    }

    /// Number of requests received since `from`.
    fn count_since(&self, from: Instant) -> usize {
        let requests = self.target.received();
        requests
            .iter()
            .filter(|request| request.received_at >= from)
            .count()
    }

    /// Highest number of requests in any window since `from`.
    fn max_in_window(&self, from: Instant) -> usize {
        let requests = self.target.received();
        let times: Vec<Instant> = requests.iter().map(|request| request.received_at).collect();
        let times: Vec<Instant> = times.into_iter().filter(|time| *time >= from).collect();
        let within = |last: &Instant| {
            let in_window = |time: &&Instant| **time <= *last && **time + WINDOW > *last;
            times.iter().filter(in_window).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }
}

fn steps(request: &ReceivedRequest, limit: Option<&str>) -> Vec<Step> {
    let mut steps = whole_answer(request, |head| match limit {
        Some(limit) => limited(head, limit),
        None => head,
    });
    if request.path == "/-/stage-run" {
        // Keeps a worker busy long enough that pieces share calls.
        steps.insert(0, Step::Wait(Duration::from_millis(WORK_MS)));
    }
    steps
}

/// Requests that a target may get within a window.
fn allowed(per_s: f64) -> usize {
    (per_s * 1.5 * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Entries and targets that share a store.
struct Fleet {
    kind: Kind,
    store: StoreStandin,
    entries: Vec<Running>,
    targets: Vec<LimitedTarget>,
}

impl Fleet {
    /// Starts three entries and some targets of a kind, and waits until they are known.
    async fn start(kind: Kind, targets: usize) -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment(WORK_MS as f64).bytes());
        let mut fleet = Fleet {
            kind,
            store,
            entries: Vec::new(),
            targets: Vec::new(),
        };
        for number in 0..targets {
            let target = LimitedTarget::start().await;
            fleet.put(&format!("i-{number}"), kind.service, &target);
            fleet.targets.push(target);
        }
        if kind.service == STAGE_WORKERS.service {
            let engine = LimitedTarget::start().await;
            fleet.put("i-engine", ENGINES.service, &engine);
        }
        for number in 0..3 {
            fleet.add_entry(&format!("host-{number}")).await;
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
        fleet
    }

    fn put(&self, id: &str, service: &str, target: &LimitedTarget) {
        let addr = target.target.addr;
        self.store.put_target(id, service, addr, "hall-a", "ready");
    }

    async fn add_entry(&mut self, host: &str) {
        self.entries
            .push(gateway(&self.store, host, "hall-a").await);
        wait_for_entries("all entries are recorded", &self.store, self.entries.len()).await;
    }

    /// The target with the most requests so far; a shared prefix is cached by one engine.
    fn busiest(&self) -> &LimitedTarget {
        let request_count = |target: &&LimitedTarget| target.target.received().len();
        self.targets
            .iter()
            .max_by_key(request_count)
            .expect("the fleet has targets")
    }

    fn callers(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.addrs.callers)
            .collect()
    }

    /// Sends requests at a steady rate, spread over the entries.
    async fn demand(&self, per_s: u32, duration: Duration) -> Vec<CallOutcome> {
        demand(self.callers(), self.kind.call, per_s, duration).await
    }
}

/// A caller's response and its latency.
struct CallOutcome {
    answer: Answer,
    latency: Duration,
}

impl CallOutcome {
    fn is_served(&self) -> bool {
        self.answer.status == 200 && self.answer.is_whole
    }
}

async fn demand(
    addrs: Vec<SocketAddr>,
    call: fn(usize) -> Call,
    per_s: u32,
    duration: Duration,
) -> Vec<CallOutcome> {
    let count = (duration.as_secs_f64() * f64::from(per_s)) as usize;
    let started = tokio::time::Instant::now();
    let calls = (0..count).map(|number| {
        let addr = addrs[number % addrs.len()];
        async move {
            tokio::time::sleep_until(started + Duration::from_secs(1) * number as u32 / per_s)
                .await;
            let sent = Instant::now();
            let answer = call(number).send(addr).await;
            let latency = sent.elapsed();
            CallOutcome { answer, latency }
        }
    });
    join_all(calls).await
}

/// Fails with the answers that weren't served.
fn assert_all_served(got: &[CallOutcome], message: &str) {
    let failed = got.iter().filter(|outcome| !outcome.is_served());
    let failed: Vec<(&Answer, Duration)> = failed
        .map(|outcome| (&outcome.answer, outcome.latency))
        .collect();
    assert_eq!(served(got), got.len(), "{message}: {failed:?}");
}

fn served(got: &[CallOutcome]) -> usize {
    got.iter().filter(|got| got.is_served()).count()
}

/// One of two targets reports a limit: it is used within it, and the other serves the rest.
async fn check_one_of_two_limited(kind: Kind, limit: f64) {
    let fleet = Fleet::start(kind, 2).await;
    fleet.demand(30, Duration::from_secs(1)).await;
    let busiest = fleet.busiest();
    let reported_at = busiest.report_limit(&limit.to_string());
    let got = fleet.demand(30, Duration::from_secs(7)).await;
    assert_all_served(&got, "the other target serves");
    let from = reported_at + APPLY_TIMEOUT;
    let max_count = busiest.max_in_window(from);
    assert!(
        max_count <= allowed(limit),
        "{max_count} requests in a window"
    );
    let used = busiest.count_since(from);
    let min_used = (limit * 6.5 * 0.5) as usize;
    assert!(
        used >= min_used,
        "got {used} of at least {min_used} requests"
    );
}

#[actix_rt::test]
async fn engine_limit_is_respected() {
    check_one_of_two_limited(ENGINES, 1.0).await;
}

#[actix_rt::test]
async fn plain_limit_is_respected() {
    check_one_of_two_limited(PLAIN, 1.0).await;
}

#[actix_rt::test]
async fn stage_worker_limit_is_respected() {
    check_one_of_two_limited(STAGE_WORKERS, 2.0).await;
}

#[actix_rt::test]
async fn limit_below_one_per_second_is_respected() {
    check_one_of_two_limited(PLAIN, 0.2).await;
}

#[actix_rt::test]
async fn limit_of_zero_nearly_stops_requests() {
    check_one_of_two_limited(ENGINES, 0.0).await;
}

async fn check_hung_store(kind: Kind) {
    let fleet = Fleet::start(kind, 2).await;
    fleet.demand(30, Duration::from_secs(1)).await;
    fleet.store.set_mode(StoreMode::Silent);
    tokio::time::sleep(Duration::from_millis(200)).await;
    let busiest = fleet.busiest();
    let reported_at = busiest.report_limit("1");
    let got = fleet.demand(30, Duration::from_secs(6)).await;
    assert_all_served(&got, "the other target serves");
    let max_count = busiest.max_in_window(reported_at + APPLY_TIMEOUT);
    assert!(
        max_count <= allowed(1.0),
        "{max_count} requests in a window"
    );
}

#[actix_rt::test]
async fn hung_store_keeps_engine_limit() {
    check_hung_store(ENGINES).await;
}

#[actix_rt::test]
async fn hung_store_keeps_plain_limit() {
    check_hung_store(PLAIN).await;
}

#[actix_rt::test]
async fn hung_store_keeps_stage_worker_limit() {
    check_hung_store(STAGE_WORKERS).await;
}

/// All targets report a limit, and callers send four times as much.
async fn check_all_limited(kind: Kind) {
    let fleet = Fleet::start(kind, 2).await;
    fleet.demand(24, Duration::from_secs(1)).await;
    let reported_at = fleet.targets[0].report_limit("3");
    fleet.targets[1].report_limit("3");
    let got = fleet.demand(24, Duration::from_secs(8)).await;
    for target in &fleet.targets {
        let max_count = target.max_in_window(reported_at + APPLY_TIMEOUT);
        assert!(
            max_count <= allowed(3.0),
            "{max_count} requests in a window"
        );
        let used = target.count_since(reported_at + APPLY_TIMEOUT);
        assert!(used >= 14, "got {used} of 22 allowed requests");
    }
    let refused = got.iter().filter(|got| !got.is_served());
    for got in refused {
        assert_eq!(got.answer.status, 503, "{:?}", got.answer);
        let after = got.answer.header("Retry-After");
        let after: f64 = after
            .and_then(|s| s.parse().ok())
            .expect("a Retry-After header");
        assert!(after > 0.0 && after < 5.0, "Retry-After: {after} s");
        let is_staged = kind.service == STAGE_WORKERS.service;
        let max_latency = Duration::from_millis(if is_staged { 1_000 } else { 450 });
        assert!(got.latency < max_latency, "refused after {:?}", got.latency);
    }
}

#[actix_rt::test]
async fn all_engines_limited_refuses_excess_in_time() {
    check_all_limited(ENGINES).await;
}

#[actix_rt::test]
async fn all_plain_limited_refuses_excess_in_time() {
    check_all_limited(PLAIN).await;
}

#[actix_rt::test]
async fn all_workers_limited_refuses_excess_in_time() {
    check_all_limited(STAGE_WORKERS).await;
}

/// Guards against refusing short bursts instead of queueing them.
#[actix_rt::test]
async fn limit_above_demand_refuses_nothing() {
    let fleet = Fleet::start(PLAIN, 1).await;
    fleet.demand(30, Duration::from_secs(1)).await;
    fleet.targets[0].report_limit("300");
    let got = fleet.demand(60, Duration::from_secs(6)).await;
    assert_all_served(&got, "all are served");
}

async fn check_lowered_limit(kind: Kind) {
    let fleet = Fleet::start(kind, 1).await;
    fleet.targets[0].report_limit("100");
    fleet.demand(30, Duration::from_secs(2)).await;
    let lowered = fleet.targets[0].report_limit("1");
    fleet.demand(30, Duration::from_secs(6)).await;
    let max_count = fleet.targets[0].max_in_window(lowered + APPLY_TIMEOUT);
    assert!(
        max_count <= allowed(1.0),
        "{max_count} requests in a window"
    );
}

#[actix_rt::test]
async fn lowered_engine_limit_is_respected() {
    check_lowered_limit(ENGINES).await;
}

#[actix_rt::test]
async fn lowered_plain_limit_is_respected() {
    check_lowered_limit(PLAIN).await;
}

#[actix_rt::test]
async fn lowered_stage_worker_limit_is_respected() {
    check_lowered_limit(STAGE_WORKERS).await;
}

async fn check_end_of_limit(kind: Kind) {
    let fleet = Fleet::start(kind, 1).await;
    fleet.targets[0].report_limit("1");
    let limited = fleet.demand(20, Duration::from_secs(4)).await;
    assert!(served(&limited) < 20, "the limit was not applied");
    fleet.targets[0].clear_limit();
    fleet.demand(20, Duration::from_secs(3)).await;
    let after = fleet.demand(20, Duration::from_secs(1)).await;
    assert_all_served(&after, "the limit is still applied");
}

#[actix_rt::test]
async fn end_of_plain_limit_is_applied() {
    check_end_of_limit(PLAIN).await;
}

#[actix_rt::test]
async fn end_of_engine_limit_is_applied() {
    check_end_of_limit(ENGINES).await;
}

#[actix_rt::test]
async fn end_of_stage_worker_limit_is_applied() {
    // A call has up to eight pieces, so a limit of one call per second serves more requests.
    let fleet = Fleet::start(STAGE_WORKERS, 1).await;
    fleet.targets[0].report_limit("1");
    let limited = fleet.demand(20, Duration::from_secs(4)).await;
    assert!(served(&limited) < 70, "the limit was not applied");
    let ended = fleet.targets[0].clear_limit();
    fleet.demand(20, Duration::from_secs(3)).await;
    let after = fleet.demand(20, Duration::from_secs(1)).await;
    assert_all_served(&after, "the limit is still applied");
    assert!(
        fleet.targets[0].count_since(ended) > 40,
        "the worker gets too few calls after the end of its limit"
    );
}

async fn check_malformed_limit(kind: Kind) {
    let fleet = Fleet::start(kind, 1).await;
    fleet.targets[0].report_limit("1");
    fleet.demand(20, Duration::from_secs(2)).await;
    let malformed_from = fleet.targets[0].report_limit("plenty");
    fleet.demand(20, Duration::from_secs(5)).await;
    let max_count = fleet.targets[0].max_in_window(malformed_from);
    assert!(
        max_count <= allowed(1.0),
        "{max_count} requests in a window"
    );
}

#[actix_rt::test]
async fn malformed_engine_limit_is_ignored() {
    check_malformed_limit(ENGINES).await;
}

#[actix_rt::test]
async fn malformed_plain_limit_is_ignored() {
    check_malformed_limit(PLAIN).await;
}

/// An entry without knowledge of the limit starts, and another one stops.
async fn check_entries_added_and_removed(kind: Kind) {
    let mut fleet = Fleet::start(kind, 2).await;
    let reported_at = fleet.busiest().report_limit("2");
    fleet.demand(30, Duration::from_secs(2)).await;
    fleet.add_entry("host-3").await;
    let callers = fleet.callers();
    let stopping = actix_rt::spawn(fleet.entries.remove(0).stop());
    let got = demand(callers[1..].to_vec(), kind.call, 30, Duration::from_secs(6)).await;
    assert_all_served(&got, "the other target serves");
    let limited = |target: &&LimitedTarget| target.limit.borrow().is_some();
    let limited = fleet
        .targets
        .iter()
        .find(limited)
        .expect("one target reports a limit");
    let max_count = limited.max_in_window(reported_at + APPLY_TIMEOUT);
    assert!(
        max_count <= allowed(2.0),
        "{max_count} requests in a window"
    );
    stopping.await.expect("the gateway stops");
}

#[actix_rt::test]
async fn changing_entries_keep_plain_limit() {
    check_entries_added_and_removed(PLAIN).await;
}

#[actix_rt::test]
async fn changing_entries_keep_engine_limit() {
    check_entries_added_and_removed(ENGINES).await;
}

#[actix_rt::test]
async fn changing_entries_keep_stage_worker_limit() {
    check_entries_added_and_removed(STAGE_WORKERS).await;
}

/// A response to another request may be older than the limit, so the lack of a limit in it
/// must not end the limit.
#[actix_rt::test]
async fn mismatched_response_keeps_limit() {
    let is_mismatched = Rc::new(Cell::new(false));
    let mismatched = is_mismatched.clone();
    let target = TargetStandin::start(move |request| {
        let whole = answer(request, 200, "served");
        let text = String::from_utf8(whole).expect("the response is UTF-8");
        let bytes = match mismatched.get() {
            true => text
                .replace(request.request_id(), "0000000000000bad")
                .into_bytes(),
            false => limited(text.into_bytes(), "1"),
        };
        vec![Step::Write(bytes)]
    })
    .await;
    let fleet = Fleet::start(PLAIN, 0).await;
    let limited = LimitedTarget {
        target,
        limit: Rc::default(),
    };
    fleet.put("i-0", "plain", &limited);
    tokio::time::sleep(Duration::from_millis(400)).await;
    fleet.demand(20, Duration::from_secs(2)).await;
    let from = Instant::now();
    is_mismatched.set(true);
    fleet.demand(20, Duration::from_secs(4)).await;
    let max_count = limited.max_in_window(from);
    assert!(
        max_count <= allowed(1.0),
        "{max_count} requests in a window"
    );
}

/// Guards against ignoring a limit that is reported in a refusal.
#[actix_rt::test]
async fn limit_in_refusal_is_respected() {
    let target = TargetStandin::start(|_| vec![Step::Write(limited(not_run(503), "1"))]).await;
    let fleet = Fleet::start(PLAIN, 0).await;
    let limited = LimitedTarget {
        target,
        limit: Rc::default(),
    };
    fleet.put("i-0", "plain", &limited);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let from = Instant::now();
    fleet.demand(20, Duration::from_secs(5)).await;
    let max_count = limited.max_in_window(from + APPLY_TIMEOUT);
    assert!(
        max_count <= allowed(1.0),
        "{max_count} requests in a window"
    );
}

/// The scheduler's owner accepts connections but never answers, like a hung host. Entries must
/// not bypass it to send to a target that reports a limit.
async fn check_hung_owners(kind: Kind) {
    let fleet = Fleet::start(kind, 2).await;
    fleet.demand(60, Duration::from_secs(1)).await;
    let reported_at = fleet.busiest().report_limit("0.2");
    fleet.demand(60, Duration::from_secs(1)).await;
    let mut hanging = Vec::new();
    for number in 0..3 {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback");
        let addr = listener.local_addr().expect("the listener has an address");
        // Far larger than all others, so that these hosts own everything.
        let record = (
            number + 1,
            format!("hangs-{number}"),
            addr,
            "hall-a".into(),
            9_000,
        );
        put_entry_record(&fleet.store, &record);
        hanging.push(listener);
    }
    let got = fleet.demand(60, Duration::from_secs(5)).await;
    assert_all_served(&got, "the other target serves");
    let limited = |target: &&LimitedTarget| target.limit.borrow().is_some();
    let limited = fleet
        .targets
        .iter()
        .find(limited)
        .expect("one target reports a limit");
    let max_count = limited.max_in_window(reported_at + APPLY_TIMEOUT);
    assert!(
        max_count <= allowed(0.2),
        "{max_count} requests in a window"
    );
}

#[actix_rt::test]
async fn hung_scheduler_keeps_plain_limit() {
    check_hung_owners(PLAIN).await;
}

#[actix_rt::test]
async fn hung_scheduler_keeps_engine_limit() {
    check_hung_owners(ENGINES).await;
}

/// Only one of many entries receives the limit, then all get requests at once.
#[actix_rt::test]
async fn limit_is_broadcast_to_all_entries() {
    let mut fleet = Fleet::start(PLAIN, 1).await;
    for number in 3..16 {
        fleet.add_entry(&format!("host-{number}")).await;
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    let reported_at = fleet.targets[0].report_limit("0.2");
    plain(0).send(fleet.callers()[0]).await;
    tokio::time::sleep(APPLY_TIMEOUT).await;
    demand(fleet.callers(), plain, 160, Duration::from_millis(100)).await;
    let max_count = fleet.targets[0].max_in_window(reported_at);
    assert!(
        max_count <= allowed(0.2),
        "{max_count} requests in a window"
    );
}

/// Entries restart one after the other, so that both the scheduler's owner and the entries
/// that received the limit are replaced.
async fn check_restarted_entries(kind: Kind) {
    let mut fleet = Fleet::start(kind, 2).await;
    let reported_at = fleet.busiest().report_limit("1");
    fleet.demand(30, Duration::from_secs(2)).await;
    for number in 0..3 {
        let stopping = actix_rt::spawn(fleet.entries.remove(0).stop());
        let others = fleet.callers();
        fleet.add_entry(&format!("host-{number}")).await;
        let got = demand(others, kind.call, 30, Duration::from_secs(2)).await;
        assert_all_served(&got, "the other target serves");
        stopping.await.expect("the gateway stops");
    }
    let limited = |target: &&LimitedTarget| target.limit.borrow().is_some();
    let limited = fleet
        .targets
        .iter()
        .find(limited)
        .expect("one target reports a limit");
    let max_count = limited.max_in_window(reported_at + APPLY_TIMEOUT);
    assert!(
        max_count <= allowed(1.0),
        "{max_count} requests in a window"
    );
}

#[actix_rt::test]
async fn restarted_entries_keep_plain_limit() {
    check_restarted_entries(PLAIN).await;
}

#[actix_rt::test]
async fn restarted_entries_keep_engine_limit() {
    check_restarted_entries(ENGINES).await;
}

#[actix_rt::test]
async fn restarted_entries_keep_stage_worker_limit() {
    check_restarted_entries(STAGE_WORKERS).await;
}

#[actix_rt::test]
async fn restarted_target_has_no_limit() {
    let fleet = Fleet::start(PLAIN, 1).await;
    fleet.targets[0].report_limit("1");
    fleet.demand(20, Duration::from_secs(2)).await;
    let next = LimitedTarget::start().await;
    let addr = next.target.addr;
    fleet.store.put_incarnation("i-0", 7, "plain", addr);
    until_used(&next, &fleet).await;
    let got = fleet.demand(20, Duration::from_secs(2)).await;
    assert_all_served(&got, "the new incarnation has no limit");
}

async fn until_used(target: &LimitedTarget, fleet: &Fleet) {
    for number in 0..200 {
        plain(number).send(fleet.callers()[number % 3]).await;
        if !target.target.received().is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    eventually("the new incarnation is used", || {
        !target.target.received().is_empty()
    })
    .await;
}
