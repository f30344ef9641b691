//! A store that comes back from a copy some seconds old.
//!
//! What it had acknowledged since is gone, its revisions are given out again, and a new
//! era begins. What operators and targets wrote they write again; what entries wrote they
//! have to write again themselves.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{DeploymentJson, Step, StoreMode, StoreStandin, TargetStandin};
use serde_json::json;

use crate::fixture::{
    eventually, gateway, gateway_at, plain_deployment, settings, until_entries, Call,
};

/// How much the store loses here: less than passes before anything that a test does.
const LOST: Duration = Duration::from_millis(900);
/// By when entries have to have written what they wrote before.
const WRITTEN_AGAIN_WITHIN: Duration = Duration::from_secs(2);

/// By when a target that leaves is heeded, as the settings ask.
const LEAVING_HEEDED_WITHIN: Duration = Duration::from_secs(2);

async fn target(body: &'static str) -> TargetStandin {
    TargetStandin::start(move |seen| vec![Step::Write(answer(seen, 200, body))]).await
}

fn call() -> Call {
    Call::new("GET", "/a/x")
}

/// A store with a configuration and a target in each of two halls, both older than what is
/// lost, and an entry that knows them.
struct Fleet {
    store: StoreStandin,
    targets: [TargetStandin; 2],
    entry: Running,
}

const HALLS: [&str; 2] = ["hall-a", "hall-b"];

impl Fleet {
    async fn start() -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &plain_deployment(1, "/a/").bytes());
        let targets = [target("first").await, target("second").await];
        let fleet = Fleet {
            entry: gateway(&store, "host-1", "hall-a").await,
            store,
            targets,
        };
        fleet.put(0, "ready");
        fleet.put(1, "ready");
        until_entries("it is recorded", &fleet.store, 1).await;
        tokio::time::sleep(LOST + Duration::from_millis(300)).await;
        fleet
    }

    /// Writes the record of a target.
    fn put(&self, number: usize, state: &str) {
        let id = format!("i-{number}");
        let addr = self.targets[number].addr;
        self.store
            .put_target(&id, "plain", addr, HALLS[number], state);
    }

    /// Writes keys of no meaning, so that revisions of the lost time are many.
    fn write_some(&self) {
        (0..40).for_each(|number| self.store.put(&format!("other/{number}"), b"x"));
    }

    fn at(&self) -> SocketAddr {
        self.entry.at.callers
    }

    /// Sends so many requests; how many each target got.
    async fn share_of(&self, requests: usize) -> [usize; 2] {
        let before = self.got();
        for _ in 0..requests {
            call().send(self.at()).await;
        }
        let after = self.got();
        [after[0] - before[0], after[1] - before[1]]
    }

    fn got(&self) -> [usize; 2] {
        [self.targets[0].seen().len(), self.targets[1].seen().len()]
    }
}

async fn soon() {
    tokio::time::sleep(Duration::from_millis(600)).await;
}

#[actix_rt::test]
async fn a_target_that_leaves_after_the_return_gets_nothing() {
    let fleet = Fleet::start().await;
    fleet.write_some();
    soon().await;
    fleet.store.restore(LOST);
    fleet.put(0, "draining");
    soon().await;
    let [leaving, other] = fleet.share_of(24).await;
    assert_eq!(
        (leaving, other),
        (0, 24),
        "its revision is lower than before"
    );
}

#[actix_rt::test]
async fn a_target_that_comes_after_the_return_is_used() {
    let fleet = Fleet::start().await;
    fleet.write_some();
    soon().await;
    fleet.store.restore(LOST);
    let third = target("third").await;
    fleet
        .store
        .put_target("i-3", "plain", third.addr, "hall-a", "ready");
    let begun = Instant::now();
    while third.seen().is_empty() && begun.elapsed() < Duration::from_secs(4) {
        call().send(fleet.at()).await;
    }
    assert!(begun.elapsed() < Duration::from_secs(2), "it is known soon");
}

/// The watch waits through the return, and its revision is given out again.
#[actix_rt::test]
async fn a_watch_over_the_end_of_an_era_misses_nothing() {
    let fleet = Fleet::start().await;
    fleet.store.put("servers/odd", b"unreadable");
    soon().await;
    fleet.store.restore(LOST);
    // As many changes as were lost, and one more: the watch's revision is there again.
    fleet.put(0, "draining");
    fleet.store.put("other/x", b"x");
    fleet.store.put("other/y", b"y");
    tokio::time::sleep(LEAVING_HEEDED_WITHIN).await;
    let [leaving, _] = fleet.share_of(24).await;
    assert_eq!(leaving, 0);
}

#[actix_rt::test]
async fn a_target_that_left_in_the_lost_time_stays_out() {
    let fleet = Fleet::start().await;
    fleet.put(0, "draining");
    soon().await;
    fleet.store.restore(LOST);
    soon().await;
    let [leaving, other] = fleet.share_of(24).await;
    assert_eq!((leaving, other), (0, 24), "the copy says ready");
}

#[actix_rt::test]
async fn a_target_that_went_in_the_lost_time_stays_out_until_its_record_outlives_it() {
    let fleet = Fleet::start().await;
    fleet.store.delete("servers/i-0");
    soon().await;
    fleet.store.restore(LOST);
    soon().await;
    let [gone, other] = fleet.share_of(24).await;
    assert_eq!((gone, other), (0, 24), "the copy still has it");
    fleet.put(0, "ready");
    soon().await;
    let [again, _] = fleet.share_of(300).await;
    assert!(again > 50, "it wrote again: {again} of 300");
}

/// Its record is written again by itself, two seconds after the return at the latest.
#[actix_rt::test]
async fn a_target_whose_record_was_lost_is_used_until_it_is_written_again() {
    let fleet = Fleet::start().await;
    let third = target("third").await;
    let put = || {
        fleet
            .store
            .put_target("i-3", "plain", third.addr, "hall-a", "ready");
    };
    put();
    soon().await;
    fleet.store.restore(LOST);
    soon().await;
    let before = third.seen().len();
    fleet.share_of(60).await;
    assert!(third.seen().len() > before, "nobody said that it went");
    put();
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    let before = third.seen().len();
    fleet.share_of(60).await;
    assert!(third.seen().len() > before);
}

#[actix_rt::test]
async fn a_hall_that_was_emptied_in_the_lost_time_stays_emptied() {
    let fleet = Fleet::start().await;
    fleet.store.put("op/evacuate/hall-a", b"");
    soon().await;
    fleet.store.restore(LOST);
    let [emptied, _] = fleet.share_of(24).await;
    soon().await;
    let [still, other] = fleet.share_of(24).await;
    assert_eq!((emptied, still, other), (0, 0, 24));
    fleet.store.put("op/evacuate/hall-a", b"");
    soon().await;
    fleet.store.delete("op/evacuate/hall-a");
    soon().await;
    let [again, _] = fleet.share_of(300).await;
    assert!(again > 50, "taken back in the new era: {again} of 300");
}

#[actix_rt::test]
async fn a_configuration_that_was_lost_stays_in_force_until_it_is_written_again() {
    let fleet = Fleet::start().await;
    let newer = plain_deployment(2, "/b/").bytes();
    fleet.store.put("op/config", &newer);
    soon().await;
    assert_eq!(Call::new("GET", "/b/x").send(fleet.at()).await.status, 200);
    fleet.store.restore(LOST);
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        let got = Call::new("GET", "/b/x").send(fleet.at()).await;
        assert_eq!(got.status, 200, "never the older one");
    }
    fleet.store.put("op/config", &newer);
    soon().await;
    assert_eq!(Call::new("GET", "/b/x").send(fleet.at()).await.status, 200);
    let newest = plain_deployment(3, "/c/").bytes();
    fleet.store.put("op/config", &newest);
    soon().await;
    assert_eq!(Call::new("GET", "/c/x").send(fleet.at()).await.status, 200);
}

#[actix_rt::test]
async fn entries_write_their_records_again_spread_over_a_second() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let mut entries = Vec::new();
    for number in 0..6 {
        entries.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
    }
    until_entries("all are recorded", &store, 6).await;
    let before = store.keys("hollowsail/peers/");
    store.restore(Duration::from_secs(30));
    assert_eq!(store.keys("hollowsail/peers/").len(), 0, "all are lost");
    let begun = Instant::now();
    until_entries("they are back", &store, 6).await;
    assert!(
        begun.elapsed() < WRITTEN_AGAIN_WITHIN,
        "{:?}",
        begun.elapsed()
    );
    assert_eq!(store.keys("hollowsail/peers/"), before, "the same runs");
}

/// Leases are given out again, too: the number of one's own may be another's by now.
#[actix_rt::test]
async fn a_stop_after_the_return_ends_no_lease_of_another_entry() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let first = gateway(&store, "host-1", "hall-a").await;
    until_entries("it is recorded", &store, 1).await;
    let second = gateway(&store, "host-2", "hall-a").await;
    until_entries("both are recorded", &store, 2).await;
    store.restore(Duration::from_secs(30));
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    until_entries("both are back", &store, 2).await;
    first.stop().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let left = store.keys("hollowsail/peers/");
    assert_eq!(left.len(), 1, "the second's own: {left:?}");
    let _second = second;
}

#[actix_rt::test]
async fn two_returns_within_a_second_lose_nothing() {
    let fleet = Fleet::start().await;
    fleet.store.put("op/evacuate/hall-a", b"");
    fleet.write_some();
    soon().await;
    fleet.store.restore(LOST);
    tokio::time::sleep(Duration::from_millis(150)).await;
    fleet.store.restore(LOST);
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        let [emptied, _] = fleet.share_of(4).await;
        assert_eq!(emptied, 0);
    }
    until_entries("it is recorded again", &fleet.store, 1).await;
}

/// The first call that the new era's store gets is a write whose answer is lost.
#[actix_rt::test]
async fn an_answer_that_was_lost_with_the_word_of_the_return_hides_it_from_nobody() {
    let fleet = Fleet::start().await;
    fleet.write_some();
    soon().await;
    fleet.store.set_mode(StoreMode::LosingAnswers);
    fleet.store.restore(LOST);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.set_mode(StoreMode::Up);
    fleet.put(0, "draining");
    let until = Instant::now() + Duration::from_secs(4);
    loop {
        let [leaving, _] = fleet.share_of(12).await;
        if leaving == 0 {
            break;
        }
        assert!(Instant::now() < until, "it still gets requests");
    }
}

/// The store is silent for a moment that nobody takes for an outage, and is back older. In
/// that moment a rack starts: targets of which the copy knows nothing.
#[actix_rt::test]
async fn a_return_within_a_moment_of_silence_beside_a_rack_that_starts() {
    let fleet = Fleet::start().await;
    fleet.write_some();
    soon().await;
    let rack = [target("third").await, target("fourth").await];
    let put = || {
        for (number, target) in rack.iter().enumerate() {
            let id = format!("i-rack-{number}");
            fleet
                .store
                .put_target(&id, "plain", target.addr, "hall-a", "ready");
        }
    };
    put();
    fleet.put(0, "draining");
    soon().await;
    fleet.store.set_mode(StoreMode::Silent);
    fleet.store.restore(LOST);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.store.set_mode(StoreMode::Up);
    put();
    let begun = Instant::now();
    while begun.elapsed() < LEAVING_HEEDED_WITHIN {
        let [leaving, _] = fleet.share_of(4).await;
        assert_eq!(leaving, 0, "it said that it leaves before the return");
    }
    let before: Vec<usize> = rack.iter().map(|target| target.seen().len()).collect();
    fleet.share_of(60).await;
    for (target, before) in rack.iter().zip(before) {
        assert!(target.seen().len() > before, "the rack serves");
    }
    until_entries("it is recorded again", &fleet.store, 1).await;
}

/// One entry is cut off from the store while that comes back: it knows the old era alone.
#[actix_rt::test]
async fn an_entry_that_missed_the_return_catches_up_from_others_and_spreads_nothing_back() {
    let fleet = Fleet::start().await;
    let door = fleet.store.door().await;
    let other = gateway_at(settings("host-2", "hall-a", door.addr)).await;
    until_entries("both are recorded", &fleet.store, 2).await;
    tokio::time::sleep(LOST + Duration::from_millis(300)).await;
    fleet.write_some();
    soon().await;
    door.set_mode(StoreMode::Silent);
    fleet.store.restore(LOST);
    fleet.put(0, "draining");
    fleet.store.put("op/evacuate/hall-b", b"");
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    let before = fleet.got();
    for _ in 0..12 {
        let refused = call().send(other.at.callers).await;
        assert_eq!(refused.status, 503, "it knows what the other knows");
        let refused = call().send(fleet.at()).await;
        assert_eq!(refused.status, 503, "nothing old came back to it");
    }
    assert_eq!(fleet.got(), before);
    door.set_mode(StoreMode::Up);
    fleet.store.delete("op/evacuate/hall-b");
    tokio::time::sleep(LEAVING_HEEDED_WITHIN).await;
    assert_eq!(call().send(other.at.callers).await.status, 200);
}

/// A refusal that the store has lost is written again by whoever wrote it, with what is
/// left of its time.
#[actix_rt::test]
async fn a_refused_request_stays_refused() {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let mut targets = Vec::new();
    for number in 0..5 {
        let target = TargetStandin::start(|_| vec![Step::End]).await;
        let id = format!("i-{number}");
        store.put_target(&id, "plain", target.addr, "hall-a", "ready");
        targets.push(target);
    }
    let entry = gateway(&store, "host-1", "hall-a").await;
    until_entries("it is recorded", &store, 1).await;
    soon().await;
    let fatal = call().body("fatal");
    let refused = || store.keys("hollowsail/refused/").len();
    for _ in 0..8 {
        fatal.send(entry.at.callers).await;
    }
    eventually("it is refused", || refused() == 1).await;
    let ended = targets.iter().filter(|target| target.has_ended()).count();
    store.restore(Duration::from_secs(30));
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    for (number, target) in targets.iter().enumerate() {
        let id = format!("i-{number}");
        store.put_target(&id, "plain", target.addr, "hall-a", "ready");
    }
    eventually("it is written again", || refused() == 1).await;
    for _ in 0..8 {
        assert_eq!(fatal.send(entry.at.callers).await.status, 503);
    }
    let after = targets.iter().filter(|target| target.has_ended()).count();
    assert_eq!(after, ended, "no other target ends");
}

/// What may run at most once rests on what its entry knows of its own sends, and on nothing
/// in the store.
#[actix_rt::test]
async fn a_request_that_may_run_once_is_sent_once_over_a_return() {
    let store = StoreStandin::start().await;
    let deployment = DeploymentJson::new(1).service("plain").route(
        "/once/",
        "unsafe",
        "plain",
        json!({ "max_attempts": 3 }),
    );
    store.put("op/config", &deployment.bytes());
    let silent = TargetStandin::start(|_| vec![Step::Wait(Duration::from_secs(1)), Step::Reset]);
    let (first, second) = (silent.await, target("second").await);
    store.put_target("i-0", "plain", first.addr, "hall-a", "ready");
    let entry = gateway(&store, "host-1", "hall-a").await;
    until_entries("it is recorded", &store, 1).await;
    soon().await;
    let at = entry.at.callers;
    let sent = actix_rt::spawn(async move {
        let once = Call::new("POST", "/once/x").with("X-Deadline-Ms", "4000");
        once.body("pay").send(at).await
    });
    eventually("it is at its target", || first.seen().len() == 1).await;
    store.put_target("i-1", "plain", second.addr, "hall-a", "ready");
    store.restore(Duration::from_secs(30));
    store.put("op/config", &deployment.bytes());
    store.put_target("i-1", "plain", second.addr, "hall-a", "ready");
    let got = sent.await.expect("it is answered");
    assert!(
        got.status >= 500 && got.status != 503,
        "it may have run: {got:?}"
    );
    assert_eq!((first.seen().len(), second.seen().len()), (1, 0));
}

/// A fleet whose records are all lost at once.
#[actix_rt::test]
async fn the_records_of_a_fleet_are_back_within_two_seconds() {
    /// Entries here; by hand some hundreds.
    const ENTRIES: usize = 24;
    /// Calls of each entry within the two seconds: a lease, a record, and the reads of three
    /// lists with a page for each three records, before watches and renewals.
    const MOST_CALLS_EACH: usize = 24;
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        let hall = HALLS[number % 2];
        entries.push(gateway(&store, &format!("host-{number}"), hall).await);
    }
    until_entries("all are recorded", &store, ENTRIES).await;
    soon().await;
    store.restore(Duration::from_secs(60));
    store.put("op/config", &plain_deployment(1, "/a/").bytes());
    let (begun, calls) = (Instant::now(), store.calls().len());
    until_entries("all are back", &store, ENTRIES).await;
    let took = begun.elapsed();
    tokio::time::sleep(WRITTEN_AGAIN_WITHIN.saturating_sub(took)).await;
    let all = store.calls();
    let since = &all[calls..];
    let writes = since
        .iter()
        .filter(|call| call.contains("kv-txn") || call.contains("kv-lease"));
    let writes = writes.count();
    println!(
        "{ENTRIES} entries: back after {took:?}, {} calls, {writes} writes",
        since.len()
    );
    assert!(took < WRITTEN_AGAIN_WITHIN, "{took:?}");
    assert!(writes <= 3 * ENTRIES, "{writes} writes");
    assert!(
        since.len() <= MOST_CALLS_EACH * ENTRIES,
        "{} calls",
        since.len()
    );
}

/// A store that names no era, as all did before: everything goes by revisions alone.
#[actix_rt::test]
async fn a_store_without_eras_is_followed_as_before() {
    let store = StoreStandin::start().await;
    store.tell_no_era();
    let deployment =
        DeploymentJson::new(1)
            .service("plain")
            .route("/a/", "safe", "plain", json!({}));
    store.put("op/config", &deployment.bytes());
    let target = target("served").await;
    let entry = gateway(&store, "host-1", "hall-a").await;
    store.put_target("i-1", "plain", target.addr, "hall-a", "ready");
    eventually("it is recorded", || {
        store.keys("hollowsail/peers/").len() == 1
    })
    .await;
    soon().await;
    assert_eq!(call().send(entry.at.callers).await.status, 200);
    store.put_target("i-1", "plain", target.addr, "hall-a", "draining");
    soon().await;
    assert_eq!(call().send(entry.at.callers).await.status, 503);
}
