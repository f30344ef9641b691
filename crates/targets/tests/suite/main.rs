//! What an entry knows of targets, by their starts.

mod limit_words;
mod table;
mod words;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowsail_connect::EndCheck;
use hollowsail_platform::deployment::Deployment;
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
    Deployment::decode(&json.bytes()).expect("it is whole")
}

fn usable(id: &str, born: u64, service: &str) -> UsableTarget {
    let record = TargetRecord {
        incarnation: Incarnation {
            id: id.to_string(),
            born,
        },
        service: service.to_string(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        hall: "hall-a".to_string(),
        version: "v1".to_string(),
        slots: 8,
        draining: false,
        cold_ms: 0,
    };
    UsableTarget {
        record: Arc::new(record),
        cold_until: None,
    }
}

fn only(table: &TargetTable, deployment: &Deployment) -> Rc<Target> {
    let service = deployment.service_named("plain").expect("it is named");
    let targets = table.of(service);
    assert_eq!(targets.len(), 1);
    targets[0].clone()
}

#[test]
fn a_target_that_started_again_begins_with_nothing() {
    let deployment = deployment();
    let mut table = TargetTable::default();
    table.take(0, &deployment, &[usable("i-1", 1_000, "plain")], &[]);
    let first = only(&table, &deployment);
    let _in_flight = first.enter(500);
    for _ in 0..3 {
        first.observe(Observation::Failed, 1);
    }
    table.take(0, &deployment, &[usable("i-1", 1_000, "plain")], &[]);
    assert!(
        Rc::ptr_eq(&first, &only(&table, &deployment)),
        "the same start"
    );
    table.take(0, &deployment, &[usable("i-1", 2_000, "plain")], &[]);
    let again = only(&table, &deployment);
    assert_eq!((again.in_flight.get(), again.unread_tokens.get()), (0, 0));
    let service = deployment.service_named("plain").expect("it is named");
    assert!(
        table.eject_worst(service, 0).is_empty(),
        "failures of before"
    );
    assert!(
        table.get(first.incarnation()).is_none(),
        "the start before is gone"
    );
    assert_eq!(first.in_flight.get(), 1, "until its request has ended");
}

#[test]
fn a_service_that_is_not_named_has_no_targets() {
    let deployment = deployment();
    let mut table = TargetTable::default();
    let targets = [usable("i-1", 1, "plain"), usable("i-2", 1, "nobody's")];
    table.take(0, &deployment, &targets, &[]);
    only(&table, &deployment);
    assert!(table.get(&targets[1].record.incarnation).is_none());
}

#[test]
fn ten_thousand_restarts_leave_one_start_a_target() {
    let deployment = deployment();
    let mut table = TargetTable::default();
    let ids: Vec<String> = (0..770).map(|id| format!("i-{id}")).collect();
    let mut gone = Vec::new();
    for born in 1..=13 {
        let starts: Vec<_> = ids.iter().map(|id| usable(id, born, "plain")).collect();
        table.take(0, &deployment, &starts, &[]);
        let first = table.get(&starts[0].record.incarnation).expect("there");
        gone.push(Rc::downgrade(&first));
    }
    let living = gone.iter().filter(|start| start.upgrade().is_some());
    assert_eq!(living.count(), 1, "nothing keeps the starts before");
}

#[actix_rt::test]
async fn a_target_that_ended_refuses_connections() {
    let target = TargetStandin::start(|seen| vec![Step::Write(stream_head(seen)), Step::End]).await;
    assert!(
        !EndCheck::default().has_ended(target.addr).await,
        "it lives"
    );
    let mut caller = TcpStream::connect(target.addr).await.expect("it listens");
    let sent = caller.write_all(b"GET / HTTP/1.1\r\n\r\n").await;
    sent.expect("it reads");
    let mut answer = Vec::new();
    // It breaks off.
    let _ended = caller.read_to_end(&mut answer).await;
    assert!(EndCheck::default().has_ended(target.addr).await);
}

/// A process that is about to end takes one more connection, which closes at once.
#[actix_rt::test]
async fn a_target_whose_listener_closes_last_has_ended() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let addr = listener.local_addr().expect("it is bound");
    let ending = actix_rt::spawn(async move {
        let taken = listener.accept().await;
        drop(listener);
        drop(taken);
    });
    assert!(EndCheck::default().has_ended(addr).await);
    ending.await.expect("it took one");
}

/// A target that closes what comes, with its places taken, lives.
#[actix_rt::test]
async fn a_target_that_closes_connections_lives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let addr = listener.local_addr().expect("it is bound");
    actix_rt::spawn(async move { while listener.accept().await.is_ok() {} });
    assert!(!EndCheck::default().has_ended(addr).await);
}

#[actix_rt::test]
async fn those_whose_answers_broke_off_together_share_one_question() {
    let target = TargetStandin::answering("alive", Duration::ZERO).await;
    let check = EndCheck::default();
    let all = (0..20).map(|_| check.has_ended(target.addr));
    let all = futures_util::future::join_all(all).await;
    assert!(all.iter().all(|ended| !ended));
    assert_eq!(target.connections(), 1);
}
