//! Targets that start again under their id, and records that others wrote.

use std::time::Duration;

use hollowsail_platform_standins::TargetStandin;

use crate::fixture::{eventually, plain_deployment, Call, Fixture};

async fn serving() -> (Fixture, TargetStandin) {
    let fixture = Fixture::start(&plain_deployment(1, "/a/")).await;
    let target = TargetStandin::answering("good", Duration::ZERO).await;
    fixture.store.put_start("i-1", 1_000, "plain", target.addr);
    fixture.call(&call()).await;
    (fixture, target)
}

fn call() -> Call {
    Call::new("GET", "/a/x")
}

/// Its record names the same address, slots and state; it is another process all the same.
#[actix_rt::test]
async fn a_target_that_started_again_between_two_records_gets_new_connections() {
    let (fixture, target) = serving().await;
    fixture.call(&call()).await;
    assert_eq!(target.connections(), 1, "one is used again");
    fixture.store.put_start("i-1", 2_000, "plain", target.addr);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(fixture.call(&call()).await.is_whole);
    assert_eq!(
        target.connections(),
        2,
        "not the connection of the start before"
    );
}

#[actix_rt::test]
async fn word_of_an_earlier_start_changes_nothing() {
    let (fixture, target) = serving().await;
    fixture.store.put_start("i-1", 2_000, "plain", target.addr);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let nobody = TargetStandin::answering("nobody", Duration::ZERO).await;
    fixture.store.put_start("i-1", 1_000, "plain", nobody.addr);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(fixture.call(&call()).await.is_whole);
    assert!(nobody.seen().is_empty());
}

/// A target whose start was leaving takes work again once it has started anew.
#[actix_rt::test]
async fn a_target_that_left_is_used_again_after_it_started_again() {
    let (fixture, target) = serving().await;
    fixture
        .store
        .put_target("i-1", "plain", target.addr, "hall-a", "draining");
    fixture.store.put_start("i-1", 2_000, "plain", target.addr);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(fixture.call(&call()).await.is_whole);
}

#[actix_rt::test]
async fn what_another_writer_put_over_a_good_record_names_no_target() {
    let (fixture, target) = serving().await;
    let other = TargetStandin::answering("other", Duration::ZERO).await;
    fixture.store.put_start("i-2", 1_000, "plain", other.addr);
    let bad: [&[u8]; 4] = [
        b"\xff\x00",
        b"{}",
        br#"{"state":"ready"}"#,
        &[b'x'; 1 << 20],
    ];
    for (number, bytes) in bad.into_iter().enumerate() {
        fixture.store.put("servers/i-1", bytes);
        fixture.store.put(&format!("servers/x-{number}"), bytes);
        fixture.store.put("servers/", bytes);
        tokio::time::sleep(Duration::from_millis(300)).await;
        let before = target.seen().len();
        for _ in 0..6 {
            assert_eq!(fixture.call(&call()).await.body, "other", "the others hold");
        }
        assert_eq!(target.seen().len(), before, "it gets nothing");
    }
    fixture.store.put_start("i-1", 1_000, "plain", target.addr);
    let before = target.seen().len();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..12 {
        fixture.call(&call()).await;
    }
    eventually("it is used again", || target.seen().len() > before).await;
}

/// Others may write there, too: the last good configuration, and what is known of the
/// entries, stay.
#[actix_rt::test]
async fn a_configuration_or_an_entrys_record_that_cannot_be_read_changes_nothing() {
    let (fixture, target) = serving().await;
    let peers = fixture.store.keys("hollowsail/peers/");
    for bytes in [&b"\xff\x00"[..], b"{}", b"null", &[b'['; 4_096]] {
        fixture.store.put("op/config", bytes);
        fixture.store.put("op/evacuate/", bytes);
        fixture.store.put("hollowsail/peers/other", bytes);
        fixture.store.put("hollowsail/refused/other", bytes);
        for key in &peers {
            fixture.store.put(key, bytes);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        let before = target.seen().len();
        assert!(fixture.call(&call()).await.is_whole);
        assert_eq!(target.seen().len(), before + 1);
    }
}
