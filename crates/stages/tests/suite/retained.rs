//! Results that the workers of a queue retain.

use std::time::{Duration, Instant};

use hollowsail_stages::{RetainedRecord, RetainedResults, WorkerKey};

fn record(requester: u64, expires: u64) -> RetainedRecord<u64> {
    RetainedRecord {
        worker: WorkerKey::default(),
        bytes: 6_000,
        called_at: None,
        expires,
        requester: Some(requester),
    }
}

fn filled(count: u64) -> RetainedResults<u64> {
    let mut results = RetainedResults::default();
    for number in 0..count {
        let replaced = results.insert(&format!("10.0.0.1:80/{number}"), record(number, 10));
        assert_eq!(replaced, None);
    }
    results
}

/// Shortest time of some rounds in which requesters give up results that aren't there.
fn time_to_cancel(results: &RetainedResults<u64>) -> Duration {
    let rounds = (0..5).map(|_| {
        let started = Instant::now();
        let found = (0..2_000).filter(|number| results.handle_of(&(1_000_000 + number)).is_some());
        assert_eq!(found.count(), 0);
        started.elapsed()
    });
    rounds.min().expect("there are rounds")
}

/// Guards against owners that lag because each piece that is given up makes them pass over all results.
#[test]
fn time_to_give_up_a_piece_does_not_grow_with_the_results() {
    let (few, many) = (
        time_to_cancel(&filled(100)),
        time_to_cancel(&filled(20_000)),
    );
    assert!(
        many < few * 20,
        "{many:?} with 200 times as many, {few:?} with few"
    );
}

#[test]
fn result_is_found_by_its_requester_until_it_is_released() {
    let mut results = filled(3);
    assert_eq!(results.handle_of(&1).as_deref(), Some("10.0.0.1:80/1"));
    assert_eq!(results.remove("10.0.0.1:80/1"), Some(record(1, 10)));
    assert_eq!(results.handle_of(&1), None);
    assert_eq!(results.remove("10.0.0.1:80/1"), None);
    assert_eq!(results.handles_where(|requester| *requester > 0).len(), 1);
}

#[test]
fn requester_of_two_results_keeps_the_newer() {
    let mut results = filled(1);
    assert_eq!(results.insert("again", record(0, 20)), None);
    assert_eq!(results.remove("10.0.0.1:80/0"), Some(record(0, 10)));
    assert_eq!(results.handle_of(&0).as_deref(), Some("again"));
}

#[test]
fn expired_results_are_taken_once() {
    let mut results = filled(4);
    assert_eq!(results.insert("later", record(9, 30)), None);
    assert_eq!(results.take_expired(10).len(), 4);
    assert_eq!(results.take_expired(10), []);
    assert!(results.contains("later") && !results.is_empty());
}

/// Guards against memory that nobody releases since another result took its place.
#[test]
fn result_that_replaces_another_gives_it_back() {
    let mut results = filled(1);
    let replaced = results.insert("10.0.0.1:80/0", record(7, 40));
    assert_eq!(replaced, Some(record(0, 10)));
    assert_eq!((results.handle_of(&0), results.values().count()), (None, 1));
}
