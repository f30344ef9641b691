//! A book of a whole fleet's records.

use std::time::{Duration, Instant};

use hollowsail_fleet::{BookTiming, Position, TargetBook, Told};

const TIMING: BookTiming = BookTiming {
    return_ms: 2_000,
    lost_ms: 3_000,
    lapse_ms: 5_000,
};

/// Times as long as a list of that many times the records may take: in proportion, and some
/// for a machine whose caches end.
const MOST_TIMES: f64 = 4.0 * 2.2;

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|at| format!("i-{at:016x}")).collect()
}

/// The shortest of some times that a list of so many records takes, by a change of the book.
fn takes(count: usize, change: fn(&mut TargetBook<u32>, &[&str])) -> Duration {
    let ids = ids(count);
    let mut book = TargetBook::new(TIMING);
    for id in &ids {
        let told = Told {
            at: Position::new(0, 1),
            start: 0,
            draining: false,
        };
        book.put(id, told, 1);
    }
    let present: Vec<&str> = ids.iter().map(String::as_str).collect();
    let runs = (0..5).map(|_| {
        let begun = Instant::now();
        change(&mut book, &present);
        begun.elapsed()
    });
    runs.min().unwrap_or_default()
}

fn expect_in_proportion(change: fn(&mut TargetBook<u32>, &[&str])) {
    let (few, many) = (takes(2_500, change), takes(10_000, change));
    let times = many.as_secs_f64() / few.as_secs_f64();
    assert!(times < MOST_TIMES, "{few:?} and {many:?}: {times:.1} times");
}

#[test]
fn a_list_takes_time_in_proportion_to_its_length() {
    expect_in_proportion(|book, present| {
        assert!(book.reconcile(present, Position::new(0, 2), 0).is_empty());
    });
}

#[test]
fn so_does_a_list_that_a_peer_tells() {
    expect_in_proportion(|book, present| {
        assert!(book.adopt(present, Position::new(0, 2)).is_empty());
    });
}

#[test]
fn a_change_of_any_entry_shows_in_the_number_of_changes() {
    let mut book = TargetBook::new(TIMING);
    let told = |revision, draining| Told {
        at: Position::new(0, revision),
        start: 0,
        draining,
    };
    let mut seen = vec![book.changes()];
    book.put("a", told(1, false), 1);
    seen.push(book.changes());
    book.put("a", told(2, true), 1);
    seen.push(book.changes());
    book.put("b", told(3, false), 1);
    seen.push(book.changes());
    book.deleted("b", Position::new(0, 4), true);
    seen.push(book.changes());
    book.settle(10);
    seen.push(book.changes());
    book.spoiled("a", Position::new(0, 5));
    seen.push(book.changes());
    seen.dedup();
    assert_eq!(seen.len(), 7, "{seen:?}");
    book.reconcile(&[], Position::new(0, 6), 20);
    assert_eq!(seen.last(), Some(&book.changes()), "nothing was there");
}
