//! A hall of many entries, of which a few read the store for all.

use std::time::{Duration, Instant};

use hollowsail_fleet::ownership::Candidate;
use hollowsail_fleet::readers;
use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{Step, StoreDoor, StoreMode, StoreStandin, TargetStandin};

use crate::fixture::{gateway_at, plain_deployment, settings, until_entries, Call};

/// Entries in the hall.
const ENTRIES: usize = 9;
/// Time after which each entry knows who reads.
const SETTLED: Duration = Duration::from_millis(6_500);

/// Entries of one hall, each with an address of the store for itself.
struct Hall {
    store: StoreStandin,
    names: Vec<String>,
    doors: Vec<StoreDoor>,
    gateways: Vec<Running>,
    _target: TargetStandin,
}

impl Hall {
    async fn start() -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &plain_deployment(1, "/v1/").bytes());
        let target = TargetStandin::start(|seen| vec![Step::Write(answer(seen, 200, "one"))]).await;
        store.put_target("i-1", "plain", target.addr, "hall-a", "ready");
        let names: Vec<String> = (0..ENTRIES).map(|at| format!("host-{at}")).collect();
        let (mut doors, mut gateways) = (Vec::new(), Vec::new());
        for name in &names {
            let door = store.door().await;
            gateways.push(gateway_at(settings(name, "hall-a", door.addr)).await);
            doors.push(door);
        }
        until_entries("all entries", &store, ENTRIES).await;
        tokio::time::sleep(SETTLED).await;
        Hall {
            store,
            names,
            doors,
            gateways,
            _target: target,
        }
    }

    /// Positions of the entries that read.
    fn readers(&self) -> Vec<usize> {
        let entries = self.names.iter().map(|host| Candidate {
            host,
            capacity: 1,
            is_slow: false,
        });
        readers::choose("hall-a", entries).expect("the hall is large")
    }

    /// Puts a configuration into the store; gives the longest time until an entry, of
    /// those that aren't left out, serves by it.
    async fn configure(&self, version: u64, without: &[usize]) -> Duration {
        let prefix = format!("/v{version}/");
        let put = Instant::now();
        self.store
            .put("op/config", &plain_deployment(version, &prefix).bytes());
        for (at, gateway) in self.gateways.iter().enumerate() {
            while !without.contains(&at) && put.elapsed() < Duration::from_secs(8) {
                let got = Call::new("GET", &prefix).send(gateway.at.callers).await;
                if got.status == 200 {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        put.elapsed()
    }

    fn watches(&self) -> usize {
        self.calls("kv-watch")
    }

    /// Calls so far that contain a text.
    fn calls(&self, text: &str) -> usize {
        let calls = self.store.calls();
        calls.iter().filter(|call| call.contains(text)).count()
    }
}

#[actix_rt::test]
async fn few_entries_watch_the_store_and_all_hear_of_changes() {
    let hall = Hall::start().await;
    let before = hall.watches();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = hall.watches() - before;
    assert!((1..=16).contains(&calls), "{calls} watches in 4 s");
    let took = hall.configure(2, &[]).await;
    assert!(took < Duration::from_millis(1_200), "{took:?}");
    hall.store.put("op/evacuate/hall-a", b"{}");
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    for gateway in &hall.gateways {
        let got = Call::new("GET", "/v2/").send(gateway.at.callers).await;
        assert_eq!(got.status, 503, "the hall is emptied for all");
    }
}

#[actix_rt::test]
async fn readers_that_the_store_refuses_or_leaves_waiting_are_made_up_for() {
    for mode in [StoreMode::Refusing, StoreMode::Silent] {
        let hall = Hall::start().await;
        let readers = hall.readers();
        for at in &readers {
            hall.doors[*at].set_mode(mode);
        }
        let took = hall.configure(2, &readers).await;
        assert!(took < Duration::from_millis(2_000), "{mode:?}: {took:?}");
        let took = hall.configure(3, &readers).await;
        assert!(
            took < Duration::from_millis(1_200),
            "{mode:?}, once known: {took:?}"
        );
    }
}

#[actix_rt::test]
async fn one_reader_that_stops_or_hears_nothing_costs_a_second_at_most() {
    let mut hall = Hall::start().await;
    let readers = hall.readers();
    hall.doors[readers[0]].set_mode(StoreMode::Silent);
    let took = hall.configure(2, &readers[..1]).await;
    assert!(took < Duration::from_millis(1_700), "{took:?}");
    hall.doors[readers[0]].set_mode(StoreMode::Up);
    let stopped = hall.gateways.remove(readers[1]);
    actix_rt::spawn(stopped.stop());
    let took = hall.configure(3, &[]).await;
    assert!(took < Duration::from_millis(2_000), "{took:?}");
}

/// A reader's watch hangs on a connection that fell silent, while new ones work at once.
#[actix_rt::test]
async fn a_readers_watch_that_fell_silent_is_given_up_in_time() {
    let hall = Hall::start().await;
    let reader = hall.readers()[0];
    hall.doors[reader].set_mode(StoreMode::Silent);
    tokio::time::sleep(Duration::from_millis(20)).await;
    hall.doors[reader].set_mode(StoreMode::Up);
    let took = hall.configure(2, &[]).await;
    assert!(took < Duration::from_millis(2_000), "{took:?}");
}

/// A list of several pages costs pages times entries at the store unless a few read it.
#[actix_rt::test]
async fn after_lost_history_few_entries_read_lists_and_all_have_them() {
    let hall = Hall::start().await;
    for at in 0..8 {
        let idle = format!("i-idle-{at}");
        hall.store
            .put_target(&idle, "other", hall._target.addr, "hall-a", "ready");
    }
    hall.store.forget_history();
    hall.store
        .put_target("i-last", "other", hall._target.addr, "hall-a", "ready");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let lists = hall.calls("kv-range");
    let next = TargetStandin::start(|seen| vec![Step::Write(answer(seen, 200, "two"))]).await;
    hall.store.delete("servers/i-1");
    hall.store
        .put_target("i-2", "plain", next.addr, "hall-a", "ready");
    hall.store.forget_history();
    let lost = Instant::now();
    for gateway in &hall.gateways {
        while Call::new("GET", "/v1/").send(gateway.at.callers).await.body != "two" {
            assert!(lost.elapsed() < Duration::from_secs(3), "one doesn't know");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let lists = hall.calls("kv-range") - lists;
    // Two readers, with a page of operators' keys, three of entries and four of targets.
    let of_readers = 2 * (1 + 3 + 4);
    assert!(
        lists <= of_readers + 4,
        "{lists} pages for {ENTRIES} entries"
    );
}
