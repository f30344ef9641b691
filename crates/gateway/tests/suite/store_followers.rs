//! A hall of many entries, a few of which follow the store for all.

use std::time::{Duration, Instant};

use hollowsail_fleet::ownership::Candidate;
use hollowsail_fleet::store_followers;
use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::answer;
use hollowsail_platform_standins::{Step, StoreEndpoint, StoreMode, StoreStandin, TargetStandin};

use crate::fixture::{gateway_at, plain_deployment, settings, wait_for_entries, Call};

/// Entries in the hall.
const ENTRIES: usize = 9;
/// Time after which every entry knows the store followers.
const SETTLED: Duration = Duration::from_millis(6_500);

/// Entries of one hall, each with its own address of the store.
struct Hall {
    store: StoreStandin,
    names: Vec<String>,
    endpoints: Vec<StoreEndpoint>,
    gateways: Vec<Running>,
    _target: TargetStandin,
}

impl Hall {
    async fn start() -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &plain_deployment(1, "/v1/").bytes());
        let target =
            TargetStandin::start(|request| vec![Step::Write(answer(request, 200, "one"))]).await;
        store.put_target("i-1", "plain", target.addr, "hall-a", "ready");
        let names: Vec<String> = (0..ENTRIES).map(|index| format!("host-{index}")).collect();
        let (mut endpoints, mut gateways) = (Vec::new(), Vec::new());
        for name in &names {
            let endpoint = store.add_endpoint().await;
            gateways.push(gateway_at(settings(name, "hall-a", endpoint.addr)).await);
            endpoints.push(endpoint);
        }
        wait_for_entries("all entries", &store, ENTRIES).await;
        tokio::time::sleep(SETTLED).await;
        Hall {
            store,
            names,
            endpoints,
            gateways,
            _target: target,
        }
    }

    /// Indices of the store followers.
    fn followers(&self) -> Vec<usize> {
        let entries = self.names.iter().map(|host| Candidate {
            host,
            capacity: 1,
            is_lagging: false,
        });
        store_followers::choose("hall-a", entries).expect("the hall is large")
    }

    /// Stores a configuration and returns the time until all entries serve by it, except
    /// those in `without`.
    async fn configure(&self, version: u64, without: &[usize]) -> Duration {
        let prefix = format!("/v{version}/");
        let put = Instant::now();
        self.store
            .put("op/config", &plain_deployment(version, &prefix).bytes());
        for (index, gateway) in self.gateways.iter().enumerate() {
            while !without.contains(&index) && put.elapsed() < Duration::from_secs(8) {
                let got = Call::new("GET", &prefix).send(gateway.addrs.callers).await;
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

    fn calls(&self, text: &str) -> usize {
        let calls = self.store.calls();
        calls.iter().filter(|call| call.contains(text)).count()
    }
}

#[actix_rt::test]
async fn few_watches_and_all_entries_get_changes() {
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
        let got = Call::new("GET", "/v2/").send(gateway.addrs.callers).await;
        assert_eq!(got.status, 503, "the hall is evacuated at every entry");
    }
}

#[actix_rt::test]
async fn followers_without_store_are_bypassed() {
    for mode in [StoreMode::Refusing, StoreMode::Silent] {
        let hall = Hall::start().await;
        let followers = hall.followers();
        for index in &followers {
            hall.endpoints[*index].set_mode(mode);
        }
        let took = hall.configure(2, &followers).await;
        assert!(took < Duration::from_millis(2_000), "{mode:?}: {took:?}");
        let took = hall.configure(3, &followers).await;
        assert!(
            took < Duration::from_millis(1_200),
            "{mode:?}, after the first change: {took:?}"
        );
    }
}

#[actix_rt::test]
async fn lost_follower_delays_changes_by_a_second() {
    let mut hall = Hall::start().await;
    let followers = hall.followers();
    hall.endpoints[followers[0]].set_mode(StoreMode::Silent);
    let took = hall.configure(2, &followers[..1]).await;
    assert!(took < Duration::from_millis(1_700), "{took:?}");
    hall.endpoints[followers[0]].set_mode(StoreMode::Up);
    let stopped = hall.gateways.remove(followers[1]);
    actix_rt::spawn(stopped.stop());
    let took = hall.configure(3, &[]).await;
    assert!(took < Duration::from_millis(2_000), "{took:?}");
}

/// The connection of a follower's watch is silent, while new connections work.
#[actix_rt::test]
async fn silent_follower_watch_is_abandoned() {
    let hall = Hall::start().await;
    let follower = hall.followers()[0];
    hall.endpoints[follower].set_mode(StoreMode::Silent);
    tokio::time::sleep(Duration::from_millis(20)).await;
    hall.endpoints[follower].set_mode(StoreMode::Up);
    let took = hall.configure(2, &[]).await;
    assert!(took < Duration::from_millis(2_000), "{took:?}");
}

/// Guards against a load on the store of pages times entries.
#[actix_rt::test]
async fn few_entries_read_lists_after_lost_history() {
    let hall = Hall::start().await;
    for index in 0..8 {
        let idle = format!("i-idle-{index}");
        hall.store
            .put_target(&idle, "other", hall._target.addr, "hall-a", "ready");
    }
    hall.store.compact_history();
    hall.store
        .put_target("i-last", "other", hall._target.addr, "hall-a", "ready");
    tokio::time::sleep(Duration::from_secs(3)).await;
    let lists = hall.calls("kv-range");
    let next = TargetStandin::start(|request| vec![Step::Write(answer(request, 200, "two"))]).await;
    hall.store.delete("servers/i-1");
    hall.store
        .put_target("i-2", "plain", next.addr, "hall-a", "ready");
    hall.store.compact_history();
    let lost = Instant::now();
    for gateway in &hall.gateways {
        while Call::new("GET", "/v1/")
            .send(gateway.addrs.callers)
            .await
            .body
            != "two"
        {
            assert!(
                lost.elapsed() < Duration::from_secs(3),
                "an entry still uses the deleted target"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let lists = hall.calls("kv-range") - lists;
    // Two followers, with one page of operators' keys, three of entries and four of
    // targets.
    let expected = 2 * (1 + 3 + 4);
    assert!(lists <= expected + 4, "{lists} pages for {ENTRIES} entries");
}

/// Guards against taking a target for present whose record a follower has found missing already.
#[actix_rt::test]
async fn target_that_went_in_an_outage_is_not_kept_by_hosts_that_read_a_followers_list() {
    let hall = Hall::start().await;
    let next = TargetStandin::start(|request| vec![Step::Write(answer(request, 200, "two"))]).await;
    hall.store
        .put_target("i-2", "plain", next.addr, "hall-a", "ready");
    for index in 0..8 {
        let idle = format!("i-idle-{index}");
        hall.store
            .put_target(&idle, "other", hall._target.addr, "hall-a", "ready");
    }
    hall.store.compact_history();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let followers = hall.followers();
    let set_mode = |mode, is_set: &dyn Fn(usize) -> bool| {
        let endpoints = hall.endpoints.iter().enumerate();
        let endpoints = endpoints.filter(|(index, _)| is_set(*index));
        endpoints.for_each(|(_, endpoint)| endpoint.set_mode(mode));
    };
    set_mode(StoreMode::Refusing, &|_| true);
    tokio::time::sleep(Duration::from_millis(700)).await;
    hall.store.delete("servers/i-1");
    set_mode(StoreMode::Up, &|index| followers.contains(&index));
    tokio::time::sleep(Duration::from_millis(500)).await;
    set_mode(StoreMode::Up, &|_| true);
    // Records that are missing after an outage are final two seconds after its end.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for (gateway, name) in hall.gateways.iter().zip(&hall.names) {
        for _ in 0..4 {
            let got = Call::new("GET", "/v1/").send(gateway.addrs.callers).await;
            assert_eq!(got.body, "two", "{name} uses the target that is gone");
        }
    }
}

/// Guards against hosts that keep a target longer than the follower from which they hear that it went.
#[actix_rt::test]
async fn target_that_goes_after_an_outage_goes_at_all_hosts_when_it_goes_at_followers() {
    let hall = Hall::start().await;
    let next = TargetStandin::start(|request| vec![Step::Write(answer(request, 200, "two"))]).await;
    hall.store
        .put_target("i-2", "plain", next.addr, "hall-a", "ready");
    let followers = hall.followers();
    let set_mode = |mode| {
        let endpoints = followers.iter().map(|index| &hall.endpoints[*index]);
        endpoints.for_each(|endpoint| endpoint.set_mode(mode));
    };
    set_mode(StoreMode::Refusing);
    tokio::time::sleep(Duration::from_millis(700)).await;
    set_mode(StoreMode::Up);
    // The others follow again, and records that are missing at followers aren't final yet.
    tokio::time::sleep(Duration::from_millis(1_900)).await;
    hall.store.delete("servers/i-1");
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    for (gateway, name) in hall.gateways.iter().zip(&hall.names) {
        for _ in 0..4 {
            let got = Call::new("GET", "/v1/").send(gateway.addrs.callers).await;
            assert_eq!(got.body, "two", "{name} uses the target that is gone");
        }
    }
}
