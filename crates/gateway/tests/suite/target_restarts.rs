//! Targets that restart under the same id, and malformed records.

use std::time::Duration;

use hollowsail_platform_standins::TargetStandin;

use crate::fixture::{eventually, plain_deployment, Call, Fixture};

async fn serving() -> (Fixture, TargetStandin) {
    let fixture = Fixture::start(&plain_deployment(1, "/a/")).await;
    let target = TargetStandin::answering("good", Duration::ZERO).await;
    fixture
        .store
        .put_incarnation("i-1", 1_000, "plain", target.addr);
    fixture.call(&call()).await;
    (fixture, target)
}

fn call() -> Call {
    Call::new("GET", "/a/x")
}

/// Only the incarnation differs: address, slots and state stay the same.
#[actix_rt::test]
async fn restarted_target_gets_new_connections() {
    let (fixture, target) = serving().await;
    fixture.call(&call()).await;
    assert_eq!(target.connections(), 1, "the connection is reused");
    fixture
        .store
        .put_incarnation("i-1", 2_000, "plain", target.addr);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(fixture.call(&call()).await.is_whole);
    assert_eq!(
        target.connections(),
        2,
        "the connection to the earlier incarnation is not reused"
    );
}

#[actix_rt::test]
async fn earlier_incarnation_is_ignored() {
    let (fixture, target) = serving().await;
    fixture
        .store
        .put_incarnation("i-1", 2_000, "plain", target.addr);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let stale = TargetStandin::answering("stale", Duration::ZERO).await;
    fixture
        .store
        .put_incarnation("i-1", 1_000, "plain", stale.addr);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(fixture.call(&call()).await.is_whole);
    assert!(stale.received().is_empty());
}

#[actix_rt::test]
async fn drained_target_is_used_after_restart() {
    let (fixture, target) = serving().await;
    fixture
        .store
        .put_target("i-1", "plain", target.addr, "hall-a", "draining");
    fixture
        .store
        .put_incarnation("i-1", 2_000, "plain", target.addr);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(fixture.call(&call()).await.is_whole);
}

#[actix_rt::test]
async fn malformed_record_disables_its_target() {
    let (fixture, target) = serving().await;
    let other = TargetStandin::answering("other", Duration::ZERO).await;
    fixture
        .store
        .put_incarnation("i-2", 1_000, "plain", other.addr);
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
        let before = target.received().len();
        for _ in 0..6 {
            assert_eq!(
                fixture.call(&call()).await.body,
                "other",
                "the other target serves"
            );
        }
        assert_eq!(
            target.received().len(),
            before,
            "the target gets no requests"
        );
    }
    fixture
        .store
        .put_incarnation("i-1", 1_000, "plain", target.addr);
    let before = target.received().len();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for _ in 0..12 {
        fixture.call(&call()).await;
    }
    eventually("the target is used again", || {
        target.received().len() > before
    })
    .await;
}

/// The last good configuration and the known entries stay in use.
#[actix_rt::test]
async fn malformed_keys_change_nothing() {
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
        let before = target.received().len();
        assert!(fixture.call(&call()).await.is_whole);
        assert_eq!(target.received().len(), before + 1);
    }
}
