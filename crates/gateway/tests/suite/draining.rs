//! Targets that report in their answers that they are draining.
//!
//! Guards against sending requests to a draining target while the store is unreachable: the
//! report in an answer has to take effect at all entries without the target's record.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{answer, draining, not_run};
use hollowsail_platform_standins::{Step, StoreMode, StoreStandin, TargetStandin};

use crate::all_kinds::{deployment, staged, whole_answer};
use crate::fixture::{
    gateway, gateway_at, generation, settings, stage_runs, wait_for_entries, Call, Fixture,
};

/// Configured time of a call for pieces, in milliseconds.
const WORK_MS: f64 = 20.0;
/// Requests after the report; enough that a target still in use receives some.
const SENDS: usize = 24;

fn plain() -> Call {
    Call::new("GET", "/a/x")
}

/// A target that reports in all its answers that it is draining once `is_draining` is set.
struct DrainingTarget {
    target: TargetStandin,
    is_draining: Rc<Cell<bool>>,
}

impl DrainingTarget {
    async fn start() -> Self {
        let is_draining = Rc::new(Cell::new(false));
        let flag = is_draining.clone();
        let target = TargetStandin::start(move |request| {
            whole_answer(request, |head| match flag.get() {
                true => draining(head),
                false => head,
            })
        })
        .await;
        DrainingTarget {
            target,
            is_draining,
        }
    }

    /// Requests and calls for pieces so far.
    fn request_count(&self) -> usize {
        let requests = self.target.received();
        requests
            .iter()
            .filter(|request| request.path != "/-/stage-free")
            .count()
    }
}

/// A store, two targets of a service, and entries that know each other.
struct Fleet {
    store: StoreStandin,
    targets: [DrainingTarget; 2],
    entries: Vec<Running>,
}

impl Fleet {
    async fn start(service: &str, entries: usize) -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment(WORK_MS).bytes());
        let targets = [DrainingTarget::start().await, DrainingTarget::start().await];
        for (number, draining_target) in targets.iter().enumerate() {
            let id = format!("i-{number}");
            store.put_target(&id, service, draining_target.target.addr, "hall-a", "ready");
        }
        let mut running = Vec::new();
        for number in 0..entries {
            running.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
        }
        wait_for_entries("all entries are registered", &store, entries).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        Fleet {
            store,
            targets,
            entries: running,
        }
    }

    /// Silences the store, lets a target drain, and sends requests to the first entry until it
    /// has passed on an answer with the report. Returns the number of requests that the target
    /// received by the time at which all entries must have the report.
    async fn drain_while_store_silent(
        &self,
        draining_target: &DrainingTarget,
        request: impl Fn(usize) -> Call,
    ) -> usize {
        self.store.set_mode(StoreMode::Silent);
        draining_target.is_draining.set(true);
        let before = draining_target.request_count();
        for number in 0..200 {
            let entry_addr = self.entries[0].addrs.callers;
            request(1_000 + number).send(entry_addr).await;
            if draining_target.request_count() > before {
                break;
            }
        }
        assert!(
            draining_target.request_count() > before,
            "an answer carried the report"
        );
        // Time for the broadcast to reach the other entries.
        tokio::time::sleep(Duration::from_millis(900)).await;
        draining_target.request_count()
    }

    /// Sends requests to all entries, each of which has to be served.
    async fn assert_all_served(&self, request: impl Fn(usize) -> Call) {
        for number in 0..SENDS {
            let entry_addr = self.entries[number % self.entries.len()].addrs.callers;
            let got = request(2_000 + number).send(entry_addr).await;
            assert!(
                got.status == 200 && got.is_whole,
                "other targets serve: {got:?}"
            );
        }
    }

    /// Sends requests until a target has received one, and returns that target.
    async fn until_used(&self, request: impl Fn(usize) -> Call) -> &DrainingTarget {
        for number in 0..200 {
            request(number).send(self.entries[0].addrs.callers).await;
            if let Some(used) = self
                .targets
                .iter()
                .find(|draining_target| draining_target.request_count() > 0)
            {
                return used;
            }
        }
        panic!("no target got a request");
    }
}

/// Drains a target while the store is silent, and checks that no entry sends to it once the
/// first has received the report.
async fn check_draining_with_silent_store(service: &str, request: fn(usize) -> Call) {
    let fleet = Fleet::start(service, 3).await;
    let draining_target = fleet.until_used(request).await;
    let received = fleet
        .drain_while_store_silent(draining_target, request)
        .await;
    fleet.assert_all_served(request).await;
    assert_eq!(
        draining_target.request_count(),
        received,
        "a draining target gets no new work"
    );
}

#[actix_rt::test]
async fn draining_engine_gets_nothing_from_any_entry() {
    check_draining_with_silent_store("engines", generation).await;
}

#[actix_rt::test]
async fn draining_plain_target_gets_nothing() {
    check_draining_with_silent_store("plain", |_| plain()).await;
}

#[actix_rt::test]
async fn draining_stage_worker_gets_no_calls() {
    let fleet = Fleet::start("encoders", 2).await;
    let engine = TargetStandin::start(crate::fixture::single_event_stream).await;
    let put = |state| {
        fleet
            .store
            .put_target("i-engine", "engines", engine.addr, "hall-a", state);
    };
    put("ready");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let draining_target = fleet.until_used(staged).await;
    let received = fleet
        .drain_while_store_silent(draining_target, staged)
        .await;
    fleet.assert_all_served(staged).await;
    assert_eq!(
        draining_target.request_count(),
        received,
        "a draining worker gets no call"
    );
    assert!(!stage_runs(&draining_target.target).is_empty());
}

/// Guards against ignoring the report in an answer with an error status.
#[actix_rt::test]
async fn report_in_a_refusal_applies() {
    let (fixture, target) = Fixture::serving(&deployment(WORK_MS), "plain", |request| {
        let refusal = draining(not_run(503));
        vec![Step::Write(match request.earlier_requests {
            0 => answer(request, 200, "served"),
            _ => refusal,
        })]
    })
    .await;
    fixture.call(&plain()).await;
    fixture.store.set_mode(StoreMode::Silent);
    plain().send(fixture.gateway.addrs.callers).await;
    let received = target.received().len();
    for _ in 0..SENDS {
        let got = plain().send(fixture.gateway.addrs.callers).await;
        assert_eq!(got.status, 503, "no target is left");
    }
    assert_eq!(target.received().len(), received);
}

/// Guards against using a draining target again when its record is written without the state,
/// or is deleted and written again.
#[actix_rt::test]
async fn rewritten_record_keeps_reported_draining() {
    let fleet = Fleet::start("plain", 1).await;
    let [draining_target, _] = &fleet.targets;
    draining_target.is_draining.set(true);
    let entry_addr = fleet.entries[0].addrs.callers;
    until_draining_reported(draining_target, entry_addr).await;
    let received = draining_target.request_count();
    let addr = draining_target.target.addr;
    let put = |state| {
        fleet
            .store
            .put_target("i-0", "plain", addr, "hall-a", state)
    };
    put("ready");
    fleet.store.delete("servers/i-0");
    tokio::time::sleep(Duration::from_millis(500)).await;
    put("ready");
    tokio::time::sleep(Duration::from_millis(500)).await;
    for _ in 0..SENDS {
        assert_eq!(plain().send(entry_addr).await.status, 200);
    }
    assert_eq!(draining_target.request_count(), received);
}

/// Guards against using a target again whose record said that it is draining, when the record
/// is written again without the state.
#[actix_rt::test]
async fn rewritten_record_keeps_recorded_draining() {
    let fleet = Fleet::start("plain", 1).await;
    let [draining_target, _] = &fleet.targets;
    let entry_addr = fleet.entries[0].addrs.callers;
    let addr = draining_target.target.addr;
    let put = |state| {
        fleet
            .store
            .put_target("i-0", "plain", addr, "hall-a", state)
    };
    put("draining");
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.store.delete("servers/i-0");
    tokio::time::sleep(Duration::from_millis(500)).await;
    put("ready");
    tokio::time::sleep(Duration::from_millis(500)).await;
    let received = draining_target.request_count();
    for _ in 0..SENDS {
        assert_eq!(plain().send(entry_addr).await.status, 200);
    }
    assert_eq!(draining_target.request_count(), received);
}

/// Guards against applying the report to the next incarnation of the same id.
#[actix_rt::test]
async fn next_incarnation_gets_work() {
    let fixture = Fixture::start(&deployment(WORK_MS)).await;
    let first = DrainingTarget::start().await;
    first.is_draining.set(true);
    fixture
        .store
        .put_incarnation("i-1", 1_000, "plain", first.target.addr);
    let entry_addr = fixture.gateway.addrs.callers;
    until_draining_reported(&first, entry_addr).await;
    let second = DrainingTarget::start().await;
    fixture
        .store
        .put_incarnation("i-1", 2_000, "plain", second.target.addr);
    for _ in 0..400 {
        plain().send(entry_addr).await;
        if second.request_count() > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(second.request_count() > 0, "the next incarnation serves");
}

/// Guards against sending requests, one by one, to the address of a crashed target at which
/// another incarnation rejects them.
#[actix_rt::test]
async fn replaced_incarnation_gets_nothing_more() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment(WORK_MS).bytes());
    let replaced = TargetStandin::start(|_| vec![Step::Write(not_run(421))]).await;
    let other = TargetStandin::start(|request| whole_answer(request, |head| head)).await;
    store.put_target("i-0", "plain", replaced.addr, "hall-a", "ready");
    store.put_target("i-1", "plain", other.addr, "hall-a", "ready");
    let entries = [
        gateway(&store, "host-0", "hall-a").await,
        gateway(&store, "host-1", "hall-a").await,
        gateway(&store, "host-2", "hall-a").await,
    ];
    wait_for_entries("all entries are registered", &store, 3).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    store.set_mode(StoreMode::Silent);
    for _ in 0..200 {
        plain().send(entries[0].addrs.callers).await;
        if !replaced.received().is_empty() {
            break;
        }
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    let received = replaced.received().len();
    assert!((1..=3).contains(&received), "{received}");
    for number in 0..SENDS {
        let got = plain().send(entries[number % 3].addrs.callers).await;
        assert_eq!(got.status, 200);
    }
    assert_eq!(
        replaced.received().len(),
        received,
        "all entries have received the report"
    );
}

/// Guards against applying reports in rejections to the incarnation that sent them: it is used
/// once its record is known.
#[actix_rt::test]
async fn rejections_do_not_drain_the_new_incarnation() {
    let (fixture, target) = Fixture::serving(&deployment(WORK_MS), "plain", |request| {
        vec![Step::Write(match request.header("x-expect-instance") {
            "i-1" if request.earlier_requests > 0 => draining(not_run(421)),
            _ => answer(request, 200, "served"),
        })]
    })
    .await;
    fixture.call(&plain()).await;
    plain().send(fixture.gateway.addrs.callers).await;
    fixture.add("i-2", "plain", &target);
    let got = fixture.call(&plain()).await;
    assert_eq!(got.status, 200, "{got:?}");
    let requests = target.received();
    let expected = requests
        .iter()
        .map(|request| request.header("x-expect-instance"));
    assert_eq!(expected.collect::<Vec<_>>(), ["i-1", "i-1", "i-2"]);
}

/// Sends requests until the target has reported that it is draining.
async fn until_draining_reported(
    draining_target: &DrainingTarget,
    entry_addr: std::net::SocketAddr,
) {
    for _ in 0..400 {
        plain().send(entry_addr).await;
        if draining_target.request_count() > 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the target got no request");
}

/// Guards against keeping what a record said of a draining target from hosts that have lost the
/// store, once all have.
#[actix_rt::test]
async fn host_without_the_store_hears_from_peers_that_a_target_left() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment(WORK_MS).bytes());
    let endpoints = [store.add_endpoint().await, store.add_endpoint().await];
    let entries = [
        gateway_at(settings("host-0", "hall-a", endpoints[0].addr)).await,
        gateway_at(settings("host-1", "hall-a", endpoints[1].addr)).await,
    ];
    let targets = [DrainingTarget::start().await, DrainingTarget::start().await];
    let put = |number: usize, state| {
        let addr = targets[number].target.addr;
        store.put_target(&format!("i-{number}"), "plain", addr, "hall-a", state);
    };
    put(0, "ready");
    put(1, "ready");
    wait_for_entries("all entries are registered", &store, 2).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    endpoints[0].set_mode(StoreMode::Silent);
    put(0, "draining");
    tokio::time::sleep(Duration::from_millis(300)).await;
    // Noticed at once, so that it has no records to give when the other one asks.
    endpoints[1].set_mode(StoreMode::Refusing);
    // Time for which a draining target may get requests.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let received = targets[0].request_count();
    for number in 0..SENDS {
        let got = plain().send(entries[number % 2].addrs.callers).await;
        assert_eq!(got.status, 200, "the other target serves: {got:?}");
    }
    assert_eq!(targets[0].request_count(), received);
}

/// Guards against losing what answers reported of a draining target for hosts that missed the
/// broadcast.
#[actix_rt::test]
async fn later_host_without_the_store_hears_what_answers_reported() {
    let fleet = Fleet::start("plain", 1).await;
    let [draining_target, _] = &fleet.targets;
    draining_target.is_draining.set(true);
    until_draining_reported(draining_target, fleet.entries[0].addrs.callers).await;
    tokio::time::sleep(Duration::from_millis(900)).await;
    let endpoint = fleet.store.add_endpoint().await;
    let later = gateway_at(settings("host-1", "hall-a", endpoint.addr)).await;
    wait_for_entries("all entries are registered", &fleet.store, 2).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    endpoint.set_mode(StoreMode::Refusing);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let received = draining_target.request_count();
    for _ in 0..SENDS {
        assert_eq!(plain().send(later.addrs.callers).await.status, 200);
    }
    assert_eq!(draining_target.request_count(), received);
}

/// Guards against taking a target out of use at a host without the store that its peers still use.
#[actix_rt::test]
async fn host_without_the_store_keeps_targets_that_stay() {
    let fleet = Fleet::start("plain", 1).await;
    let endpoint = fleet.store.add_endpoint().await;
    let host = gateway_at(settings("host-1", "hall-a", endpoint.addr)).await;
    wait_for_entries("all entries are registered", &fleet.store, 2).await;
    endpoint.set_mode(StoreMode::Refusing);
    // A target that comes and leaves meanwhile changes nothing for the others.
    let passing = DrainingTarget::start().await;
    for state in ["ready", "draining"] {
        let addr = passing.target.addr;
        fleet
            .store
            .put_target("i-9", "plain", addr, "hall-a", state);
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    let before = fleet.targets.each_ref().map(DrainingTarget::request_count);
    for _ in 0..SENDS {
        assert_eq!(plain().send(host.addrs.callers).await.status, 200);
    }
    for (target, before) in fleet.targets.iter().zip(before) {
        assert!(target.request_count() > before, "both targets are used");
    }
    assert_eq!(passing.request_count(), 0);
}
