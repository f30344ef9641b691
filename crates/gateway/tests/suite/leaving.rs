//! Targets that say in their answers that they leave.
//!
//! What users saw: requests still reached an engine 3.2 and 3.8 s after the same entry had
//! passed on an answer of it that said that it leaves. Order of events: the store falls
//! silent; an engine says that it leaves, in all its answers and to the store, which takes
//! that 13 s later; an entry passes such an answer on; the desk of another entry names the
//! engine for the next request, and so on until the store is back. Cause: what a target
//! says of itself in its answers was read by nobody; the store's record was the only word
//! that anybody took. Evidence: no entry's log tells of any word on the engine between its
//! answer and the store's return, and all of them stop with the store's record.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{answer, leaving, not_run};
use hollowsail_platform_standins::{Step, StoreMode, StoreStandin, TargetStandin};

use crate::all_kinds::{deployment, staged, whole_answer};
use crate::fixture::{gateway, generation, runs, until_entries, Call, Fixture};

/// Time of a call for pieces, by the configuration, in milliseconds.
const WORK_MS: f64 = 20.0;
/// Sends after the word, enough that a target that is still chosen gets some.
const SENDS: usize = 24;

fn plain() -> Call {
    Call::new("GET", "/a/x")
}

/// A target that says in all its answers that it leaves, as soon as it does.
struct Leaver {
    target: TargetStandin,
    leaves: Rc<Cell<bool>>,
}

impl Leaver {
    async fn start() -> Self {
        let leaves = Rc::new(Cell::new(false));
        let says = leaves.clone();
        let target = TargetStandin::start(move |seen| {
            whole_answer(seen, |head| match says.get() {
                true => leaving(head),
                false => head,
            })
        })
        .await;
        Leaver { target, leaves }
    }

    /// Requests and calls for pieces so far.
    fn got(&self) -> usize {
        let seen = self.target.seen();
        seen.iter()
            .filter(|seen| seen.path != "/-/stage-free")
            .count()
    }
}

/// A store that has fallen silent, two targets of a service that were there before, and
/// entries that know each other.
struct Fleet {
    store: StoreStandin,
    targets: [Leaver; 2],
    entries: Vec<Running>,
}

impl Fleet {
    async fn start(service: &str, entries: usize) -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment(WORK_MS).bytes());
        let targets = [Leaver::start().await, Leaver::start().await];
        for (number, leaver) in targets.iter().enumerate() {
            let id = format!("i-{number}");
            store.put_target(&id, service, leaver.target.addr, "hall-a", "ready");
        }
        let mut running = Vec::new();
        for number in 0..entries {
            running.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
        }
        until_entries("all are recorded", &store, entries).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        Fleet {
            store,
            targets,
            entries: running,
        }
    }

    /// The store falls silent, a target says in its answers that it leaves, and the first
    /// entry has passed one on. How many requests it has got by when all can know.
    async fn leaves_in_silence(&self, leaver: &Leaver, request: impl Fn(usize) -> Call) -> usize {
        self.store.set_mode(StoreMode::Silent);
        leaver.leaves.set(true);
        let before = leaver.got();
        for number in 0..200 {
            let at = self.entries[0].at.callers;
            request(1_000 + number).send(at).await;
            if leaver.got() > before {
                break;
            }
        }
        assert!(leaver.got() > before, "it said so in an answer");
        // The others hear of it from the first.
        tokio::time::sleep(Duration::from_millis(900)).await;
        leaver.got()
    }

    /// Sends requests to all entries, each of which is served.
    async fn all_are_served(&self, request: impl Fn(usize) -> Call) {
        for number in 0..SENDS {
            let at = self.entries[number % self.entries.len()].at.callers;
            let got = request(2_000 + number).send(at).await;
            assert!(got.status == 200 && got.is_whole, "others serve: {got:?}");
        }
    }

    /// Sends requests until a target has had one, and returns that target.
    async fn until_used(&self, request: impl Fn(usize) -> Call) -> &Leaver {
        for number in 0..200 {
            request(number).send(self.entries[0].at.callers).await;
            if let Some(used) = self.targets.iter().find(|leaver| leaver.got() > 0) {
                return used;
            }
        }
        panic!("no target got a request");
    }
}

/// One target says that it leaves while the store is silent; all entries are sent requests
/// after the first has passed such an answer on.
async fn leaves_while_the_store_is_silent(service: &str, request: fn(usize) -> Call) {
    let fleet = Fleet::start(service, 3).await;
    let leaver = fleet.until_used(request).await;
    let told = fleet.leaves_in_silence(leaver, request).await;
    fleet.all_are_served(request).await;
    assert_eq!(leaver.got(), told, "a target that leaves gets no new work");
}

#[actix_rt::test]
async fn an_engine_that_says_so_gets_nothing_from_any_entry() {
    leaves_while_the_store_is_silent("engines", generation).await;
}

#[actix_rt::test]
async fn a_plain_target_that_says_so_gets_nothing_from_any_entry() {
    leaves_while_the_store_is_silent("plain", |_| plain()).await;
}

#[actix_rt::test]
async fn a_worker_of_stages_that_says_so_gets_no_call() {
    let fleet = Fleet::start("encoders", 2).await;
    let engine = TargetStandin::start(crate::fixture::one_event).await;
    let put = |state| {
        fleet
            .store
            .put_target("i-engine", "engines", engine.addr, "hall-a", state);
    };
    put("ready");
    tokio::time::sleep(Duration::from_millis(400)).await;
    let leaver = fleet.until_used(staged).await;
    let told = fleet.leaves_in_silence(leaver, staged).await;
    fleet.all_are_served(staged).await;
    assert_eq!(leaver.got(), told, "a worker that leaves gets no call");
    assert!(!runs(&leaver.target).is_empty());
}

/// An answer that ends a request badly says it as well as a good one.
#[actix_rt::test]
async fn a_refusal_that_says_so_counts() {
    let (fixture, target) = Fixture::serving(&deployment(WORK_MS), "plain", |seen| {
        let refusal = leaving(not_run(503));
        vec![Step::Write(match seen.before {
            0 => answer(seen, 200, "served"),
            _ => refusal,
        })]
    })
    .await;
    fixture.call(&plain()).await;
    fixture.store.set_mode(StoreMode::Silent);
    plain().send(fixture.gateway.at.callers).await;
    let told = target.seen().len();
    for _ in 0..SENDS {
        let got = plain().send(fixture.gateway.at.callers).await;
        assert_eq!(got.status, 503, "nobody is left to serve it");
    }
    assert_eq!(target.seen().len(), told);
}

/// The store may tell of the target again as it was, or drop its record and show it anew.
#[actix_rt::test]
async fn a_record_that_knows_nothing_of_it_brings_no_leaving_target_back() {
    let fleet = Fleet::start("plain", 1).await;
    let [leaver, _] = &fleet.targets;
    leaver.leaves.set(true);
    let at = fleet.entries[0].at.callers;
    eventually_says_so(leaver, at).await;
    let told = leaver.got();
    let addr = leaver.target.addr;
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
        assert_eq!(plain().send(at).await.status, 200);
    }
    assert_eq!(leaver.got(), told);
}

/// What its record said once holds as long, too.
#[actix_rt::test]
async fn a_target_whose_record_said_so_stays_out_when_the_record_comes_back_without_it() {
    let fleet = Fleet::start("plain", 1).await;
    let [leaver, _] = &fleet.targets;
    let at = fleet.entries[0].at.callers;
    let addr = leaver.target.addr;
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
    let told = leaver.got();
    for _ in 0..SENDS {
        assert_eq!(plain().send(at).await.status, 200);
    }
    assert_eq!(leaver.got(), told);
}

/// The word is one of a start: the next one under the same id takes work.
#[actix_rt::test]
async fn its_next_start_gets_work_again() {
    let fixture = Fixture::start(&deployment(WORK_MS)).await;
    let first = Leaver::start().await;
    first.leaves.set(true);
    fixture
        .store
        .put_start("i-1", 1_000, "plain", first.target.addr);
    let at = fixture.gateway.at.callers;
    eventually_says_so(&first, at).await;
    let second = Leaver::start().await;
    fixture
        .store
        .put_start("i-1", 2_000, "plain", second.target.addr);
    for _ in 0..400 {
        plain().send(at).await;
        if second.got() > 0 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(second.got() > 0, "the next start serves");
}

/// A target ended and another start has its address, while the store knows nothing of it:
/// requests that were sent there one after the other were all turned away (108 to 117 of a
/// day on which engines end while the store is silent).
#[actix_rt::test]
async fn a_start_whose_address_answers_for_another_gets_nothing_more() {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment(WORK_MS).bytes());
    let replaced = TargetStandin::start(|_| vec![Step::Write(not_run(421))]).await;
    let other = TargetStandin::start(|seen| whole_answer(seen, |head| head)).await;
    store.put_target("i-0", "plain", replaced.addr, "hall-a", "ready");
    store.put_target("i-1", "plain", other.addr, "hall-a", "ready");
    let entries = [
        gateway(&store, "host-0", "hall-a").await,
        gateway(&store, "host-1", "hall-a").await,
        gateway(&store, "host-2", "hall-a").await,
    ];
    until_entries("all are recorded", &store, 3).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    store.set_mode(StoreMode::Silent);
    for _ in 0..200 {
        plain().send(entries[0].at.callers).await;
        if !replaced.seen().is_empty() {
            break;
        }
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    let told = replaced.seen().len();
    assert!((1..=3).contains(&told), "{told}");
    for number in 0..SENDS {
        let got = plain().send(entries[number % 3].at.callers).await;
        assert_eq!(got.status, 200);
    }
    assert_eq!(replaced.seen().len(), told, "all know that it has ended");
}

/// The process at its address speaks for itself alone: once its record is there it is used,
/// whatever its refusals of requests for the start before said.
#[actix_rt::test]
async fn another_start_at_the_address_says_nothing_of_its_own_next_words() {
    let (fixture, target) = Fixture::serving(&deployment(WORK_MS), "plain", |seen| {
        vec![Step::Write(match seen.header("x-expect-instance") {
            "i-1" if seen.before > 0 => leaving(not_run(421)),
            _ => answer(seen, 200, "served"),
        })]
    })
    .await;
    fixture.call(&plain()).await;
    plain().send(fixture.gateway.at.callers).await;
    fixture.add("i-2", "plain", &target);
    let got = fixture.call(&plain()).await;
    assert_eq!(got.status, 200, "{got:?}");
    let seen = target.seen();
    let expected = seen.iter().map(|seen| seen.header("x-expect-instance"));
    assert_eq!(expected.collect::<Vec<_>>(), ["i-1", "i-1", "i-2"]);
}

/// Sends requests until the target has said that it leaves.
async fn eventually_says_so(leaver: &Leaver, at: std::net::SocketAddr) {
    for _ in 0..400 {
        plain().send(at).await;
        if leaver.got() > 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the target got no request");
}
