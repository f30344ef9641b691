//! A planned stop cuts no request and hands its ledger on.

use std::time::Duration;

use hollowsail_local::{Caller, CallerError};
use hollowsail_routing::Outcome;

use crate::fixture::{self, BOTH, NORTH};

#[actix_rt::test]
async fn requests_in_flight_end_whole_and_new_ones_are_served_while_the_balancer_lags() {
    let mut options = fixture::options(2);
    options.profile.engine.token = 20.0;
    options.limits.stop_grace_ms = 1_500;
    let mut fleet = fixture::start_with(options).await;
    let address = fleet.entry(0).callers;
    let mut calls = Vec::new();
    let stop = actix_rt::spawn(fleet.take_entry(0).expect("it runs").stop());
    // The balancer has not noticed yet: requests still come.
    for at in 0..8 {
        calls.push(actix_rt::spawn(async move {
            let id = format!("late-{at}");
            let request = fixture::request("read", BOTH, &id);
            Caller::default().call(address, &request).await
        }));
        actix_rt::time::sleep(Duration::from_millis(15)).await;
    }
    for call in calls {
        let answered = call.await.expect("no panic").expect("an answer");
        assert_eq!(answered.body.outcome, Outcome::Whole);
    }
    stop.await.expect("no panic");
    let request = fixture::request("read", BOTH, "after");
    let refused = Caller::default().call(address, &request).await;
    assert!(
        matches!(refused, Err(CallerError::NotSent { .. })),
        "the listener is closed"
    );
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn kept_outcomes_and_unused_tickets_go_to_a_successor() {
    let mut fleet = fixture::start(3).await;
    let used = fixture::ticket(&fleet, 0, BOTH).await;
    let unused = fixture::ticket(&fleet, 0, BOTH).await;
    let first = fixture::payment(BOTH, "used", &used);
    let kept = fixture::call(&fleet, 0, &first).await.body;
    fleet.take_entry(0).expect("it runs").stop().await;
    for place in [1, 2] {
        let again = fixture::call(&fleet, place, &first).await.body;
        assert_eq!(again, kept);
        let second = fixture::payment(BOTH, "unused", &unused);
        let answer = fixture::call(&fleet, place, &second).await.body;
        assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
    }
    assert_eq!(fixture::executions(&fleet, "used", "confirm"), 1);
    assert_eq!(fixture::executions(&fleet, "unused", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_chain_of_stops_keeps_the_first_entrys_outcomes() {
    let mut fleet = fixture::start(3).await;
    let ticket = fixture::ticket(&fleet, 0, BOTH).await;
    let payment = fixture::payment(BOTH, "chained", &ticket);
    let kept = fixture::call(&fleet, 0, &payment).await.body;
    for place in [0, 2] {
        fleet.take_entry(place).expect("it runs").stop().await;
    }
    let again = fixture::call(&fleet, 1, &payment).await.body;
    assert_eq!(again, kept);
    assert_eq!(fixture::executions(&fleet, "chained", "confirm"), 1);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn replacing_every_entry_one_by_one_loses_no_outcome() {
    let mut fleet = fixture::start(3).await;
    let ticket = fixture::ticket(&fleet, 0, BOTH).await;
    let payment = fixture::payment(BOTH, "rolling", &ticket);
    let kept = fixture::call(&fleet, 0, &payment).await.body;
    for place in 0..3 {
        fleet.start_entry().await.expect("it starts");
        fleet.wait_for_members().await;
        fleet.take_entry(place).expect("it runs").stop().await;
    }
    for place in 3..6 {
        let again = fixture::call(&fleet, place, &payment).await.body;
        assert_eq!(again, kept, "at the entry in place {place}");
    }
    assert_eq!(fixture::executions(&fleet, "rolling", "confirm"), 1);
    fleet.shut_down().await;
}

/// Longer than closing listeners wait for connections by themselves.
#[actix_rt::test]
async fn a_long_stream_is_not_cut_here_nor_where_it_is_passed_on() {
    let mut options = fixture::options(3);
    options.profile.engine.token = 800.0;
    let mut fleet = fixture::start_with(options).await;
    // The second entry stands in the south and passes the north's stream on.
    let streams: Vec<_> = [(0, BOTH), (1, NORTH)]
        .into_iter()
        .map(|(place, key)| {
            let address = fleet.entry(place).callers;
            actix_rt::spawn(async move {
                let id = format!("long-{place}");
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
        .map(|place| actix_rt::spawn(fleet.take_entry(place).expect("it runs").stop()))
        .collect();
    for stream in streams {
        let answer = stream.await.expect("no panic").expect("the whole stream");
        assert_eq!(answer.body.outcome, Outcome::Whole);
    }
    for stop in stops {
        stop.await.expect("no panic");
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_body_that_never_ends_is_refused_at_its_deadline_and_holds_up_no_stop() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut fleet = fixture::start(2).await;
    let mut socket = tokio::net::TcpStream::connect(fleet.entry(0).callers)
        .await
        .expect("it connects");
    let head = format!(
        "POST /v1/pipelines/read HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {BOTH}\r\n\
         hollowsail-deadline-ms: 500\r\ncontent-length: 100\r\n\r\n{{"
    );
    socket.write_all(head.as_bytes()).await.expect("it is sent");
    let mut answer = vec![0; 4096];
    let read = socket.read(&mut answer).await.expect("an answer comes");
    let answer = String::from_utf8_lossy(&answer[..read]);
    assert!(answer.contains("\"not_run\""), "{answer}");
    assert!(answer.contains("deadline_exceeded"), "{answer}");
    fleet.take_entry(0).expect("it runs").stop().await;
    fleet.shut_down().await;
}
