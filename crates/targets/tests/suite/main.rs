//! The state of targets at an entry, by incarnation.

mod limit_reports;
mod reports;
mod table;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowsail_connect::CrashCheck;
use hollowsail_platform::deployment::Deployment;
use hollowsail_platform::headers::TargetLoad;
use hollowsail_platform::targets::{Incarnation, TargetRecord};
use hollowsail_platform_standins::target::stream_head;
use hollowsail_platform_standins::{DeploymentJson, Step, TargetStandin};
use hollowsail_routing::Observation;
use hollowsail_targets::{Target, TargetTable, UsableTarget};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn deployment() -> Deployment {
    let json = DeploymentJson::new(1)
        .service("plain")
        .route("/a/", "safe", "plain", json!({}));
    Deployment::decode(&json.bytes()).expect("the deployment decodes")
}

fn usable(id: &str, started: u64, service: &str) -> UsableTarget {
    let record = TargetRecord {
        incarnation: Incarnation {
            id: id.to_string(),
            started,
        },
        service: service.to_string(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        hall: "hall-a".to_string(),
        version: "v1".to_string(),
        slots: 8,
        draining: false,
        warm_up_ms: 0,
    };
    UsableTarget {
        record: Arc::new(record),
        warm_up_until: None,
    }
}

fn only(table: &TargetTable, deployment: &Deployment) -> Rc<Target> {
    let service = deployment
        .service_named("plain")
        .expect("the service exists");
    let targets = table.targets_of(service);
    assert_eq!(targets.len(), 1);
    targets[0].clone()
}

/// Guards against choices by reports that are no longer true.
#[test]
fn load_report_is_kept_with_its_time() {
    let deployment = deployment();
    let mut table = TargetTable::default();
    table.update(0, &deployment, &[usable("t", 1, "plain")], &[]);
    let target = only(&table, &deployment);
    assert_eq!(target.reported_load(1_000), 0.0);
    let load = |work_percent| TargetLoad {
        running: 6,
        waiting: 2,
        slots: 4,
        work_percent,
    };
    target.record_load(1_000, load(Some(300)));
    assert_eq!(target.reported_work_percent(), Some((300, 1_000)));
    assert_eq!(target.reported_load(1_000), 2.0);
    assert_eq!(target.reported_load(1_250), 1.0, "it counts less with age");
    assert_eq!(target.reported_load(1_500), 0.0);
    assert!(target.speed.get().slowness(1_000) > 2.9);
    target.record_load(1_100, load(None));
    assert_eq!(target.reported_work_percent(), None);
}

/// Guards against an overflow by prompt lengths from callers' headers.
#[test]
fn absurd_prompt_lengths_are_added_without_overflow() {
    let deployment = deployment();
    let mut table = TargetTable::default();
    table.update(0, &deployment, &[usable("t", 1, "plain")], &[]);
    let target = only(&table, &deployment);
    let requests = [target.track_request(u64::MAX), target.track_request(1)];
    assert_eq!(target.pending_prefill_tokens.get(), u64::MAX);
    drop(requests);
    assert_eq!(target.pending_prefill_tokens.get(), 0);
}

#[test]
fn restarted_target_has_fresh_state() {
    let deployment = deployment();
    let mut table = TargetTable::default();
    table.update(0, &deployment, &[usable("i-1", 1_000, "plain")], &[]);
    let first = only(&table, &deployment);
    let _in_flight = first.track_request(500);
    for _ in 0..3 {
        first.observe(Observation::Failed, 1);
    }
    table.update(0, &deployment, &[usable("i-1", 1_000, "plain")], &[]);
    assert!(
        Rc::ptr_eq(&first, &only(&table, &deployment)),
        "same incarnation"
    );
    table.update(0, &deployment, &[usable("i-1", 2_000, "plain")], &[]);
    let restarted = only(&table, &deployment);
    assert_eq!(
        (
            restarted.in_flight.get(),
            restarted.pending_prefill_tokens.get()
        ),
        (0, 0)
    );
    let service = deployment
        .service_named("plain")
        .expect("the service exists");
    assert!(
        table.eject_worst(service, 0).is_empty(),
        "failures of the previous incarnation don't count"
    );
    assert!(
        table.get(first.incarnation()).is_none(),
        "the previous incarnation is removed"
    );
    assert_eq!(first.in_flight.get(), 1, "its request is still in flight");
}

#[test]
fn targets_of_unknown_service_are_ignored() {
    let deployment = deployment();
    let mut table = TargetTable::default();
    let targets = [usable("i-1", 1, "plain"), usable("i-2", 1, "unknown")];
    table.update(0, &deployment, &targets, &[]);
    only(&table, &deployment);
    assert!(table.get(&targets[1].record.incarnation).is_none());
}

#[test]
fn restarts_do_not_leak_incarnations() {
    let deployment = deployment();
    let mut table = TargetTable::default();
    let ids: Vec<String> = (0..770).map(|id| format!("i-{id}")).collect();
    let mut seen = Vec::new();
    for started in 1..=13 {
        let incarnations: Vec<_> = ids.iter().map(|id| usable(id, started, "plain")).collect();
        table.update(0, &deployment, &incarnations, &[]);
        let first = table
            .get(&incarnations[0].record.incarnation)
            .expect("it is usable");
        seen.push(Rc::downgrade(&first));
    }
    let alive = seen
        .iter()
        .filter(|incarnation| incarnation.upgrade().is_some());
    assert_eq!(alive.count(), 1, "previous incarnations are freed");
}

#[actix_rt::test]
async fn refused_connection_means_crashed() {
    let target =
        TargetStandin::start(|seen| vec![Step::Write(stream_head(seen)), Step::Crash]).await;
    assert!(
        !CrashCheck::default().has_crashed(target.addr).await,
        "it is running"
    );
    let mut caller = TcpStream::connect(target.addr).await.expect("it accepts");
    let sent = caller.write_all(b"GET / HTTP/1.1\r\n\r\n").await;
    sent.expect("the request is written");
    let mut answer = Vec::new();
    // The answer breaks off.
    let _broken = caller.read_to_end(&mut answer).await;
    assert!(CrashCheck::default().has_crashed(target.addr).await);
}

/// Guards against missing a crash when an exiting process still accepts one connection.
#[actix_rt::test]
async fn listener_that_closes_last_means_crashed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let addr = listener.local_addr().expect("it is bound");
    let accepting = actix_rt::spawn(async move {
        let accepted = listener.accept().await;
        drop(listener);
        drop(accepted);
    });
    assert!(CrashCheck::default().has_crashed(addr).await);
    accepting.await.expect("it accepted a connection");
}

/// Guards against taking an overloaded target, which closes connections, for a crashed one.
#[actix_rt::test]
async fn closed_connection_is_not_a_crash() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let addr = listener.local_addr().expect("it is bound");
    actix_rt::spawn(async move { while listener.accept().await.is_ok() {} });
    assert!(!CrashCheck::default().has_crashed(addr).await);
}

/// An answer that ended after a check says nothing of its target before.
#[actix_rt::test]
async fn crash_after_a_check_is_not_missed() {
    let target = TargetStandin::start(|_| vec![Step::Crash]).await;
    let check = CrashCheck::default();
    assert!(!check.has_crashed(target.addr).await);
    let mut caller = TcpStream::connect(target.addr).await.expect("it listens");
    caller
        .write_all(b"GET / HTTP/1.1\r\n\r\n")
        .await
        .expect("it reads");
    caller
        .read_to_end(&mut Vec::new())
        .await
        .expect("it closes");
    assert!(check.has_crashed(target.addr).await);
}

#[actix_rt::test]
async fn concurrent_crash_checks_share_one_probe() {
    let target = TargetStandin::answering("alive", Duration::ZERO).await;
    let check = CrashCheck::default();
    let all = (0..20).map(|_| check.has_crashed(target.addr));
    let all = futures_util::future::join_all(all).await;
    assert!(all.iter().all(|crashed| !crashed));
    assert_eq!(target.connections(), 1);
}
