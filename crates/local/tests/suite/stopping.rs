//! A planned stop cuts no request and hands the ledger over.

use std::time::Duration;

use hollowsail_local::{Caller, CallerError};
use hollowsail_routing::Outcome;

use crate::fixture::{self, BOTH_KEY, NORTH_KEY};

#[actix_rt::test]
async fn stop_serves_requests_during_grace_period() {
    let mut options = fixture::options(2);
    options.profile.engine.token = 20.0;
    options.limits.stop_grace_ms = 1_500;
    let mut fleet = fixture::start_with(options).await;
    let address = fleet.entry(0).callers;
    let mut calls = Vec::new();
    let stop = actix_rt::spawn(fleet.take_entry(0).expect("the entry runs").stop());
    // The load balancer still sends requests after the stop begins.
    for index in 0..8 {
        calls.push(actix_rt::spawn(async move {
            let id = format!("late-{index}");
            let request = fixture::request("read", BOTH_KEY, &id);
            Caller::default().call(address, &request).await
        }));
        actix_rt::time::sleep(Duration::from_millis(15)).await;
    }
    for call in calls {
        let response = call.await.expect("no panic").expect("an answer");
        assert_eq!(response.body.outcome, Outcome::Whole);
    }
    stop.await.expect("no panic");
    let request = fixture::request("read", BOTH_KEY, "after");
    let refused = Caller::default().call(address, &request).await;
    assert!(
        matches!(refused, Err(CallerError::NotSent { .. })),
        "the listener is closed"
    );
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn stop_hands_outcomes_and_tickets_over() {
    let mut fleet = fixture::start(3).await;
    let used = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let unused = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let first = fixture::payment(BOTH_KEY, "used", &used);
    let expected = fixture::call(&fleet, 0, &first).await.body;
    fleet.take_entry(0).expect("the entry runs").stop().await;
    for index in [1, 2] {
        let again = fixture::call(&fleet, index, &first).await.body;
        assert_eq!(again, expected);
        let second = fixture::payment(BOTH_KEY, "unused", &unused);
        let answer = fixture::call(&fleet, index, &second).await.body;
        assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
    }
    assert_eq!(fixture::executions(&fleet, "used", "confirm"), 1);
    assert_eq!(fixture::executions(&fleet, "unused", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn outcomes_survive_successive_stops() {
    let mut fleet = fixture::start(3).await;
    let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "chained", &ticket);
    let expected = fixture::call(&fleet, 0, &payment).await.body;
    for index in [0, 2] {
        fleet
            .take_entry(index)
            .expect("the entry runs")
            .stop()
            .await;
    }
    let again = fixture::call(&fleet, 1, &payment).await.body;
    assert_eq!(again, expected);
    assert_eq!(fixture::executions(&fleet, "chained", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn outcomes_survive_rolling_replacement() {
    let mut fleet = fixture::start(3).await;
    let ticket = fixture::ticket(&fleet, 0, BOTH_KEY).await;
    let payment = fixture::payment(BOTH_KEY, "rolling", &ticket);
    let expected = fixture::call(&fleet, 0, &payment).await.body;
    for index in 0..3 {
        fleet.start_entry().await.expect("the entry starts");
        fleet.wait_for_members().await;
        fleet
            .take_entry(index)
            .expect("the entry runs")
            .stop()
            .await;
    }
    for index in 3..6 {
        let again = fixture::call(&fleet, index, &payment).await.body;
        assert_eq!(again, expected, "at entry {index}");
    }
    assert_eq!(fixture::executions(&fleet, "rolling", "confirm"), 1);
    fleet.shut_down().await;
}

/// The streams outlast the HTTP server's own shutdown timeout.
#[actix_rt::test]
async fn stop_does_not_cut_local_or_relayed_stream() {
    let mut options = fixture::options(3);
    options.profile.engine.token = 800.0;
    let mut fleet = fixture::start_with(options).await;
    // The second entry is in the south and relays the north's stream.
    let streams: Vec<_> = [(0, BOTH_KEY), (1, NORTH_KEY)]
        .into_iter()
        .map(|(index, key)| {
            let address = fleet.entry(index).callers;
            actix_rt::spawn(async move {
                let id = format!("long-{index}");
                let request = fixture::request("read", key, &id);
                Caller::default().stream(address, &request).await
            })
        })
        .collect();
    let log = fleet.targets.log.clone();
    fixture::wait_until("both streams have begun", || {
        log.count("long-0", "generate") == 1 && log.count("long-1", "generate") == 1
    })
    .await;
    let stops: Vec<_> = [1, 0]
        .into_iter()
        .map(|index| actix_rt::spawn(fleet.take_entry(index).expect("the entry runs").stop()))
        .collect();
    for stream in streams {
        let answer = stream.await.expect("no panic").expect("a complete stream");
        assert_eq!(answer.body.outcome, Outcome::Whole);
    }
    for stop in stops {
        stop.await.expect("no panic");
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn endless_body_times_out_and_allows_stop() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut fleet = fixture::start(2).await;
    let mut socket = tokio::net::TcpStream::connect(fleet.entry(0).callers)
        .await
        .expect("the entry accepts");
    let head = format!(
        "POST /v1/pipelines/read HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {BOTH_KEY}\r\n\
         hollowsail-deadline-ms: 500\r\ncontent-length: 100\r\n\r\n{{"
    );
    socket
        .write_all(head.as_bytes())
        .await
        .expect("the request is sent");
    let mut answer = vec![0; 4096];
    let length = socket.read(&mut answer).await.expect("an answer");
    let answer = String::from_utf8_lossy(&answer[..length]);
    assert!(answer.contains("\"not_run\""), "{answer}");
    assert!(answer.contains("deadline_exceeded"), "{answer}");
    fleet.take_entry(0).expect("the entry runs").stop().await;
    fleet.shut_down().await;
}
