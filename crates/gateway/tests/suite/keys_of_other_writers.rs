//! Keys that other writers put among the targets', the operators' and the entries' own, where a page of a
//! list ends.

use std::time::Duration;

use hollowsail_platform_standins::{StoreStandin, TargetStandin};

use crate::fixture::{eventually, gateway, plain_deployment, put_entry_record, Call, Fixture};

/// Endings of keys: some that no URI may hold, and some that mean something else there.
const ODD: [&str; 14] = [
    " ",
    "\"",
    "\n",
    "\0",
    "\u{7f}",
    "%00",
    "&b=",
    "+",
    "#x",
    "&after=zzz",
    "&path_prefix=",
    "%41",
    "%C3%A9",
    "é",
];
/// Size of a value that is no record; a few of them end a page.
const LARGE_BYTES: usize = 200_000;
const PLAIN: &str = "plain";

async fn target() -> TargetStandin {
    TargetStandin::answering("ok", Duration::from_millis(1)).await
}

fn put(store: &StoreStandin, id: &str, target: &TargetStandin) {
    store.put_target(id, PLAIN, target.addr, "hall-a", "ready");
}

/// Waits until each target has got a request.
async fn assert_all_serve(fixture: &Fixture, targets: &[(&str, &TargetStandin)], odd: &str) {
    let asked = targets.len() * 100;
    let mut unserved: Vec<&str> = Vec::new();
    for number in 0..asked {
        let id = format!("{number:016x}");
        let call = Call::new("GET", "/safe/x").with("X-Request-Id", &id);
        call.send(fixture.gateway.addrs.callers).await;
        let idle = targets
            .iter()
            .filter(|(_, target)| target.received().is_empty());
        unserved = idle.map(|(name, _)| *name).collect();
        if unserved.is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("after {odd:?} {unserved:?} got none of {asked} requests");
}

async fn site() -> StoreStandin {
    let store = StoreStandin::start().await;
    store.put("op/config", &plain_deployment(1, "/safe/").bytes());
    store
}

async fn start(store: StoreStandin) -> Fixture {
    let gateway = gateway(&store, "host-1", "hall-a").await;
    Fixture { store, gateway }
}

// Guards against targets that never serve, since their keys come after an odd one in the first list.
#[actix_rt::test]
async fn targets_behind_odd_key_in_first_list_serve() {
    for odd in ODD {
        let store = site().await;
        let (before, named, behind) = (target().await, target().await, target().await);
        store.put("servers/a-0", b"none");
        put(&store, "a-1", &before);
        put(&store, &format!("a-2{odd}"), &named);
        put(&store, "a-3", &behind);
        let fixture = start(store).await;
        let mut targets = vec![("before", &before), ("behind", &behind)];
        if odd.bytes().all(|byte| byte.is_ascii_graphic()) {
            targets.push(("named", &named));
        }
        assert_all_serve(&fixture, &targets, odd).await;
    }
}

// Guards against a gateway that serves nothing, since large entries with odd keys end each page.
#[actix_rt::test]
async fn targets_behind_large_entry_with_odd_key_serve() {
    for odd in ODD {
        let store = site().await;
        store.set_page_items(500);
        let behind = target().await;
        for number in 0..6 {
            let key = format!("servers/a{number:02}{odd}");
            store.put(&key, &vec![b'['; LARGE_BYTES]);
        }
        put(&store, "b-0", &behind);
        let fixture = start(store).await;
        assert_all_serve(&fixture, &[("behind", &behind)], odd).await;
    }
}

// Guards against new targets that never serve, since a list is read again while an odd key is in it.
#[actix_rt::test]
async fn targets_behind_odd_key_serve_after_lost_history() {
    for odd in ODD {
        let store = site().await;
        let (first, later) = (target().await, target().await);
        put(&store, "a-0", &first);
        let fixture = start(store).await;
        let store = &fixture.store;
        assert_all_serve(&fixture, &[("first", &first)], odd).await;
        store.put("servers/a-1", b"none");
        store.put(&format!("servers/a-2{odd}"), b"none");
        let is_read = |call: &&String| call.contains("kv-range?path_prefix=servers/");
        let reads = || store.calls().iter().filter(is_read).count();
        let before = reads();
        store.compact_history();
        put(store, "a-3", &later);
        eventually("the list is read again", || reads() > before).await;
        assert_all_serve(&fixture, &[("later", &later)], odd).await;
    }
}

// Guards against a gateway that knows no configuration, or no peers, since an odd key comes before them.
#[actix_rt::test]
async fn configuration_and_peers_behind_odd_keys_are_known() {
    for odd in ODD {
        let store = site().await;
        store.set_page_items(1);
        let (only, peer) = (target().await, target().await);
        put(&store, "a-0", &only);
        let record = (1, "z".to_string(), peer.addr, "hall-a".to_string(), 1);
        put_entry_record(&store, &record);
        store.put(&format!("op/a{odd}"), b"none");
        store.put(&format!("hollowsail/peers/a{odd}"), b"none");
        let fixture = start(store).await;
        assert_all_serve(&fixture, &[("only", &only)], odd).await;
        eventually("the peer gets messages", || !peer.received().is_empty()).await;
    }
}

// Guards against an allowance of repeats that counts as taken by keys that nobody here writes.
#[actix_rt::test]
async fn units_that_are_spelt_otherwise_are_not_taken() {
    let store = site().await;
    for number in 0..200 {
        for odd in [format!("+{number}"), format!("0{number}")] {
            store.put(&format!("hollowsail-repeats/{odd}"), b"none");
        }
    }
    let fixture = start(store).await;
    let is_own = |key: &String| {
        let number = key.trim_start_matches("hollowsail-repeats/");
        number == "0" || !number.starts_with(['+', '0'])
    };
    eventually("the gateway holds units", || {
        fixture.store.keys("hollowsail-repeats/").iter().any(is_own)
    })
    .await;
}
