//! A host that is cut off from all targets, whose peer reaches them.
//!
//! Each entry reaches the targets over links of its own.

use std::time::{Duration, Instant};

use futures_util::future::{join, join_all};
use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{
    answer, chunk, event, last_chunk, results, stream_head, unframed,
};
use hollowsail_platform_standins::{
    DeploymentJson, HostLinks, LinkMode, ReceivedRequest, Step, StoreEndpoint, StoreMode,
    StoreStandin, TargetStandin,
};
use serde_json::json;

use crate::fixture::{
    eventually, gateway_at, ready_status, settings, wait_for_entries, Answer, Call,
};

/// Time from a cut until first tries have to be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of each kind that are sent at once before and after a cut. More than there are
/// connections from before.
const REQUESTS: usize = 12;
/// Time between bursts of requests.
const BURST_INTERVAL: Duration = Duration::from_millis(200);
/// Time from the return of the links until all is as before.
const RETURN_TIME: Duration = Duration::from_secs(2);
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

/// An entry, its links, and the store as it sees it.
struct Host {
    gateway: Running,
    links: HostLinks,
    store: StoreEndpoint,
}

/// Entries that know each other, before targets of all kinds.
struct Fleet {
    store: StoreStandin,
    hosts: Vec<Host>,
    targets: Vec<TargetStandin>,
}

/// The halls of a fleet.
struct Halls<'a> {
    entries: &'a [&'a str],
    /// Of the targets of each service.
    targets: &'a [&'a str],
    /// Regions of halls.
    regions: &'a [(&'a str, &'a str)],
    services: &'a [&'a str],
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
        Self::with_targets(entries, &["engines", "encoders", "plain"]).await
    }

    /// Starts entries, and targets of some services.
    async fn with_targets(entries: usize, services: &[&str]) -> Self {
        Self::in_halls(&Halls {
            entries: &vec!["hall-a"; entries],
            targets: &["hall-a"; 3],
            regions: &[],
            services,
        })
        .await
    }

    async fn in_halls(halls: &Halls<'_>) -> Self {
        let entries = halls.entries.len();
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment().bytes());
        let mut targets = Vec::new();
        for service in halls.services {
            for (number, hall) in halls.targets.iter().enumerate() {
                let target = TargetStandin::start(serve).await;
                let id = format!("i-{service}-{number}");
                store.put_target(&id, service, target.addr, hall, "ready");
                targets.push(target);
            }
        }
        let mut hosts = Vec::new();
        for (number, hall) in halls.entries.iter().enumerate() {
            let (endpoint, links) = store.add_host().await;
            let mut settings = settings(&format!("host-{number}"), hall, endpoint.addr);
            let regions = halls.regions.iter();
            settings.regions = regions
                .map(|(hall, region)| (hall.to_string(), region.to_string()))
                .collect();
            let gateway = gateway_at(settings).await;
            hosts.push(Host {
                gateway,
                links,
                store: endpoint,
            });
        }
        wait_for_entries("all entries are registered", &store, entries).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        Fleet {
            store,
            hosts,
            targets,
        }
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

    /// Sends one request of each kind to an entry at once, over and over for a time.
    async fn send_for(&self, entry: usize, time: Duration) {
        let addr = self.hosts[entry].gateway.addrs.callers;
        let until = Instant::now() + time;
        while Instant::now() < until {
            let requests = Kind::ALL.map(Kind::request);
            join_all(requests.iter().map(|request| request.send(addr))).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Refuses new connections to the last target: links would accept them when it is gone.
    fn close_links_to_last_target(&self) {
        let target = self.targets.last().expect("the target").addr;
        let hosts = self.hosts.iter();
        hosts.for_each(|host| host.links.close_target(target));
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
    fleet.send_for(0, CONTACT_TIME).await;
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

/// Cuts one of two entries off while all workers of a stage service are busy, and returns the first
/// tries of both entries that failed after the contact time.
async fn failed_with_workers_in_calls(mode: LinkMode, cut: usize) -> Vec<Answer> {
    let fleet = &Fleet::start(2).await;
    let burst = || async {
        let bursts = (0..2).map(|entry| fleet.failed_first_tries(entry, Kind::Staged));
        join_all(bursts).await.concat()
    };
    let failed = burst().await;
    assert!(failed.is_empty(), "before the cut: {failed:?}");
    fleet.hosts[cut].links.set_mode(mode);
    let rounds = CONTACT_TIME.as_millis() / BURST_INTERVAL.as_millis();
    let load = join_all((0..rounds as u32).map(|round| async move {
        tokio::time::sleep(BURST_INTERVAL * round).await;
        burst().await
    }));
    let judged = async {
        tokio::time::sleep(CONTACT_TIME).await;
        burst().await
    };
    join(load, judged).await.1
}

/// Guards against workers that stay taken by calls whose answers can't arrive.
#[actix_rt::test]
async fn busy_workers_of_a_host_that_hears_no_answers_get_work_through_peers() {
    for cut in 0..2 {
        let failed = failed_with_workers_in_calls(LinkMode::AnswersLost, cut).await;
        assert!(failed.is_empty(), "entry {cut} cut off: {failed:?}");
    }
}

/// The same where calls don't arrive either.
#[actix_rt::test]
async fn busy_workers_of_a_host_whose_connections_hang_get_work_through_peers() {
    for cut in 0..2 {
        let failed = failed_with_workers_in_calls(LinkMode::Silent, cut).await;
        assert!(failed.is_empty(), "entry {cut} cut off: {failed:?}");
    }
}

#[actix_rt::test]
async fn half_of_the_hosts_serve_first_tries_while_cut_off() {
    let fleet = Fleet::start(4).await;
    let cut = &fleet.hosts[..2];
    cut.iter()
        .for_each(|host| host.links.set_mode(LinkMode::Silent));
    join_all((0..2).map(|entry| fleet.send_for(entry, CONTACT_TIME))).await;
    for entry in 0..2 {
        for kind in Kind::ALL {
            let failed = fleet.failed_first_tries(entry, kind).await;
            assert!(failed.is_empty(), "entry {entry}: {failed:?}");
        }
    }
}

/// Cuts the only entry of a hall off; first tries there have to be served.
async fn check_only_host_of_a_hall(regions: &[(&str, &str)]) {
    let fleet = Fleet::in_halls(&Halls {
        entries: &["hall-b", "hall-a", "hall-a"],
        targets: &["hall-a", "hall-b", "hall-a", "hall-b"],
        regions,
        services: &["engines", "encoders", "plain"],
    })
    .await;
    fleet.hosts[0].links.set_mode(LinkMode::Silent);
    fleet.send_for(0, CONTACT_TIME).await;
    let mut failed = Vec::new();
    for _ in 0..3 {
        for kind in [Kind::Once, Kind::Safe] {
            failed.extend(fleet.failed_first_tries(0, kind).await);
        }
    }
    assert!(
        failed.is_empty(),
        "{} failed: {:?}",
        failed.len(),
        failed[0]
    );
}

/// Guards against treating halls as regions where the settings have none.
#[actix_rt::test]
async fn peers_in_other_halls_relay_where_there_are_no_regions() {
    check_only_host_of_a_hall(&[]).await;
}

/// Guards against taking targets to which no peer may relay for all targets.
#[actix_rt::test]
async fn host_whose_region_has_no_other_is_served_by_other_regions() {
    let regions = [("hall-a", "north"), ("hall-b", "south")];
    check_only_host_of_a_hall(&regions).await;
}

#[actix_rt::test]
async fn fleet_that_is_cut_off_refuses_at_once() {
    let fleet = Fleet::start(2).await;
    let hosts = &fleet.hosts;
    hosts
        .iter()
        .for_each(|host| host.links.set_mode(LinkMode::Silent));
    join_all((0..2).map(|entry| fleet.send_for(entry, CONTACT_TIME))).await;
    let addr = hosts[0].gateway.addrs.callers;
    for kind in Kind::ALL {
        let started = Instant::now();
        let answer = kind.request().send(addr).await;
        assert_eq!(answer.status, 503, "{kind:?}: {}", answer.body);
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(
            started.elapsed() < Duration::from_millis(250),
            "{kind:?} after {:?}",
            started.elapsed()
        );
    }
    assert_eq!(ready_status(hosts[0].gateway.addrs.readiness).await, 503);
    hosts
        .iter()
        .for_each(|host| host.links.set_mode(LinkMode::Up));
    tokio::time::sleep(RETURN_TIME).await;
    assert_eq!(ready_status(hosts[0].gateway.addrs.readiness).await, 200);
}

#[actix_rt::test]
async fn returning_links_carry_everything_again() {
    let fleet = Fleet::start(2).await;
    let [cut, relay] = &fleet.hosts[..] else {
        unreachable!("two hosts were started")
    };
    cut.links.set_mode(LinkMode::Silent);
    fleet.send_for(0, CONTACT_TIME).await;
    assert!(relay.links.opened() > 0, "the peer relays");
    cut.links.set_mode(LinkMode::Up);
    tokio::time::sleep(RETURN_TIME).await;
    let (direct, relayed) = (cut.links.opened(), relay.links.opened());
    for kind in Kind::ALL {
        let failed = fleet.failed_first_tries(0, kind).await;
        assert!(failed.is_empty(), "{failed:?}");
    }
    assert!(cut.links.opened() > direct, "opened directly");
    assert_eq!(relay.links.opened(), relayed, "relayed no more");
}

/// Starts two entries of which the first is cut off, before one plain target, and waits until its
/// requests are relayed.
async fn relaying(script: fn(&ReceivedRequest) -> Vec<Step>) -> (Fleet, TargetStandin) {
    let mut fleet = Fleet::with_targets(2, &[]).await;
    let target = TargetStandin::start(script).await;
    let addr = target.addr;
    fleet
        .store
        .put_target("i-plain", "plain", addr, "hall-a", "ready");
    fleet.targets.push(target.clone());
    fleet.hosts[0].links.set_mode(LinkMode::Refusing);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = Kind::Safe
        .request()
        .send(fleet.hosts[0].gateway.addrs.callers)
        .await;
    assert_eq!(answer.status, 200, "{}", answer.body);
    (fleet, target)
}

/// Answers requests that may run once slowly, and without a length.
fn slow_and_unframed(request: &ReceivedRequest) -> Vec<Step> {
    let whole = answer(request, 200, "the body");
    if request.path.starts_with("/safe/") {
        return vec![Step::Write(whole)];
    }
    let (head, body) = whole.split_at(whole.len() - 4);
    vec![
        Step::Write(unframed(head.to_vec())),
        Step::Wait(Duration::from_millis(600)),
        Step::Write(body.to_vec()),
        Step::Close,
    ]
}

/// The same from a target that crashes after it.
fn slow_and_crashing(request: &ReceivedRequest) -> Vec<Step> {
    let steps = slow_and_unframed(request).into_iter();
    let steps = steps.map(|step| match step {
        Step::Close => Step::Crash,
        step => step,
    });
    steps.collect()
}

async fn relayed_once(halfway: impl AsyncFnOnce(&mut Fleet)) -> (Answer, usize) {
    relayed_once_by(slow_and_unframed, halfway).await
}

/// Sends a request that may run once through a relay, and runs `halfway` while it is answered.
async fn relayed_once_by(
    script: fn(&ReceivedRequest) -> Vec<Step>,
    halfway: impl AsyncFnOnce(&mut Fleet),
) -> (Answer, usize) {
    let (mut fleet, target) = relaying(script).await;
    let addr = fleet.hosts[0].gateway.addrs.callers;
    let request = Kind::Once.request();
    let sending = request.send(addr);
    let disturbing = async {
        eventually("the target runs it", || {
            let received = target.received();
            received
                .iter()
                .any(|request| request.path.starts_with("/once/"))
        })
        .await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        halfway(&mut fleet).await;
    };
    let (answer, ()) = futures_util::future::join(sending, disturbing).await;
    let received = target.received();
    let runs = received
        .iter()
        .filter(|request| request.path.starts_with("/once/"));
    (answer, runs.count())
}

#[actix_rt::test]
async fn answer_without_a_length_passes_a_relay_whole() {
    let (answer, runs) = relayed_once(async |_| {}).await;
    assert_eq!((answer.status, runs), (200, 1));
    assert_eq!((answer.is_whole, answer.body.as_str()), (true, "the body"));
}

/// Guards against taking the end of a relay for the end of an answer.
#[actix_rt::test]
async fn answer_is_not_complete_when_its_relay_is_cut_off() {
    let cut = async |fleet: &mut Fleet| fleet.hosts[1].links.set_mode(LinkMode::Resetting);
    let (answer, runs) = relayed_once(cut).await;
    assert_eq!((answer.status, runs), (502, 1), "{answer:?}");
}

/// Guards against taking the crash of a target behind a relay for the end of its answer.
#[actix_rt::test]
async fn answer_is_not_complete_when_its_target_crashes_behind_a_relay() {
    let lose_target = async |fleet: &mut Fleet| {
        fleet.hosts[0].links.set_mode(LinkMode::Silent);
        fleet.close_links_to_last_target();
    };
    let (answer, runs) = relayed_once_by(slow_and_crashing, lose_target).await;
    assert_eq!((answer.status, runs), (502, 1), "{answer:?}");
}

#[actix_rt::test]
async fn planned_stop_of_a_relay_cuts_nothing() {
    let stop = async |fleet: &mut Fleet| {
        let relay = fleet.hosts.pop().expect("the relay");
        relay.gateway.stop().await;
    };
    let (answer, runs) = relayed_once(stop).await;
    assert_eq!((answer.status, runs), (200, 1), "{answer:?}");
    assert!(answer.is_whole);
}

/// Guards against counting the cut of a host as crashes of all targets that its requests run on.
/// Without the store, no other host learns of the stop, so the stopping one is the only relay.
#[actix_rt::test]
async fn stopping_host_relays_while_it_takes_requests() {
    let mut fleet = Fleet::with_targets(2, &["plain"]).await;
    for host in &fleet.hosts {
        host.store.set_mode(StoreMode::Silent);
    }
    fleet.hosts[0].links.set_mode(LinkMode::Refusing);
    fleet.send_for(0, Duration::from_millis(600)).await;
    let stopping = fleet.hosts.pop().expect("two hosts");
    let stopping = actix_rt::spawn(stopping.gateway.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    let failed = fleet.failed_first_tries(0, Kind::Once).await;
    assert!(failed.is_empty(), "{failed:?}");
    stopping.await.expect("it stops");
}

#[actix_rt::test]
async fn requests_behind_a_reset_are_not_suspected_of_crashes() {
    let (fleet, _target) = relaying(slow_and_unframed).await;
    let addr = fleet.hosts[0].gateway.addrs.callers;
    for _ in 0..4 {
        fleet.hosts[0].links.set_mode(LinkMode::Up);
        tokio::time::sleep(RETURN_TIME).await;
        let request = Kind::Once.request();
        let reset = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            fleet.hosts[0].links.set_mode(LinkMode::Resetting);
        };
        let (answer, ()) = futures_util::future::join(request.send(addr), reset).await;
        assert_eq!(answer.status, 502, "it may have run: {}", answer.body);
    }
    let answer = Kind::Once.request().send(addr).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// The same, where no peer can say whether the targets run.
#[actix_rt::test]
async fn requests_behind_resets_of_all_hosts_are_not_suspected_of_crashes() {
    let mut fleet = Fleet::with_targets(2, &[]).await;
    for number in 0..4 {
        let target = TargetStandin::start(slow_and_unframed).await;
        let id = format!("i-{number}");
        fleet
            .store
            .put_target(&id, "plain", target.addr, "hall-a", "ready");
        fleet.targets.push(target);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let addr = fleet.hosts[0].gateway.addrs.callers;
    let requests: Vec<Call> = (0..8).map(|_| Kind::Once.request()).collect();
    let sending = join_all(requests.iter().map(|request| request.send(addr)));
    let reset = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let hosts = fleet.hosts.iter();
        hosts.for_each(|host| host.links.set_mode(LinkMode::Resetting));
    };
    let (answers, ()) = futures_util::future::join(sending, reset).await;
    assert!(answers.iter().all(|answer| answer.status == 502));
    let hosts = fleet.hosts.iter();
    hosts.for_each(|host| host.links.set_mode(LinkMode::Up));
    tokio::time::sleep(RETURN_TIME).await;
    let answer = Kind::Once.request().send(addr).await;
    assert_eq!(answer.status, 200, "{}", answer.body);
}

/// Guards against relaying the requests of a host that doesn't know that a target left.
#[actix_rt::test]
async fn relay_passes_no_request_to_a_target_that_left() {
    let (fleet, leaving) = relaying(serve).await;
    let other = TargetStandin::start(serve).await;
    let put = |id, target: &TargetStandin, state| {
        let store = &fleet.store;
        store.put_target(id, "plain", target.addr, "hall-a", state);
    };
    put("i-other", &other, "ready");
    tokio::time::sleep(Duration::from_millis(500)).await;
    // Leaves open connections to both behind.
    for _ in 0..3 {
        let failed = fleet.failed_first_tries(0, Kind::Safe).await;
        assert!(failed.is_empty(), "{failed:?}");
    }
    fleet.hosts[0].store.set_mode(StoreMode::Silent);
    put("i-plain", &leaving, "draining");
    // The record reaches the relay. Silence is noticed later, so the other host asks no peer yet.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let received = leaving.received().len();
    let mut failed = Vec::new();
    for _ in 0..3 {
        failed.extend(fleet.failed_first_tries(0, Kind::Safe).await);
        failed.extend(fleet.failed_first_tries(0, Kind::Once).await);
    }
    let late = leaving.received().len() - received;
    assert_eq!(late, 0, "requests relayed to a target that left");
    assert!(failed.is_empty(), "{failed:?}");
}

async fn leave(fleet: &mut Fleet) {
    let target = fleet.targets.last().expect("the target").addr;
    let store = &fleet.store;
    store.put_target("i-plain", "plain", target, "hall-a", "draining");
}

/// Guards against cutting answers under way when a relay hears that their target leaves.
#[actix_rt::test]
async fn relayed_answer_ends_well_while_its_target_leaves() {
    let (answer, runs) = relayed_once(leave).await;
    assert_eq!((answer.status, runs), (200, 1), "{answer:?}");
    assert_eq!((answer.is_whole, answer.body.as_str()), (true, "the body"));
}

/// Guards against a relay that takes the end of a leaving target for the end of its answer.
#[actix_rt::test]
async fn relayed_answer_cut_by_the_end_of_a_leaving_target_is_not_complete() {
    let leave_and_end = async |fleet: &mut Fleet| {
        leave(fleet).await;
        fleet.close_links_to_last_target();
    };
    let (answer, runs) = relayed_once_by(slow_and_crashing, leave_and_end).await;
    assert_eq!((answer.status, runs), (502, 1), "{answer:?}");
}
