//! Which targets there are, through outages of the store.

use hollowsail_fleet::{BookTiming, Position, TargetBook, Told};
use proptest::prelude::*;

const TIMING: BookTiming = BookTiming {
    return_ms: 2_000,
    lost_ms: 3_000,
    lapse_ms: 5_000,
};

/// A revision of a store that names no era.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// A record of the only start, written at a revision.
fn told(revision: u64, draining: bool) -> Told {
    Told {
        at: at(revision),
        start: 0,
        draining,
    }
}

/// A record of some start.
fn started(start: u64, revision: u64, draining: bool) -> Told {
    Told {
        start,
        ..told(revision, draining)
    }
}

fn book() -> TargetBook<&'static str> {
    let mut book = TargetBook::new(TIMING);
    book.put("a", told(1, false), "a");
    book.put("b", told(2, false), "b");
    book
}

fn usable(book: &TargetBook<&'static str>) -> Vec<&'static str> {
    book.usable().copied().collect()
}

/// A record went, by the word of the store that the book is of.
fn deleted(book: &mut TargetBook<&'static str>, id: &str, revision: u64, now: u64) -> bool {
    let is_unsettled = book.is_unsettled(now);
    book.deleted(id, at(revision), is_unsettled)
}

#[test]
fn a_record_that_goes_means_that_the_target_is_gone() {
    let mut book = book();
    assert!(deleted(&mut book, "a", 3, 10));
    assert_eq!(usable(&book), ["b"]);
    assert_eq!(book.reconcile(&[], at(4), 10), ["b"]);
}

#[test]
fn whoever_hears_from_the_store_says_for_sure_that_a_target_is_gone() {
    let mut book = book();
    book.store_away();
    assert!(book.deleted("a", at(3), false));
    assert_eq!(usable(&book), ["b"]);
}

#[test]
fn a_record_that_says_something_new_is_a_change() {
    let mut book = book();
    assert!(!book.put("a", told(5, false), "a"), "a renewal");
    assert!(book.put("a", told(6, false), "elsewhere"));
    assert_eq!(usable(&book), ["elsewhere", "b"]);
}

#[test]
fn a_draining_target_never_comes_back() {
    let mut book = book();
    assert!(book.put("a", told(5, true), "a"));
    assert_eq!(usable(&book), ["b"]);
    assert!(!book.put("a", told(3, false), "a"), "an older word");
    assert!(!book.put("a", told(6, false), "a"), "nor a newer one");
    assert_eq!(usable(&book), ["b"]);
}

#[test]
fn a_later_start_ends_the_one_before_in_whatever_order_they_come() {
    let mut book = book();
    book.put("a", started(10, 5, true), "a");
    assert_eq!(usable(&book), ["b"], "that start leaves");
    assert!(book.put("a", started(20, 6, false), "again"));
    assert_eq!(usable(&book), ["again", "b"]);
    assert!(!book.put("a", started(10, 7, false), "a"), "a late word");
    assert_eq!(usable(&book), ["again", "b"]);
    assert!(book.put("a", started(30, 4, false), "third"), "an old page");
    assert_eq!(usable(&book), ["third", "b"]);
}

#[test]
fn what_cannot_be_used_takes_its_target_out_until_the_next_good_record() {
    let mut book = book();
    assert!(!book.spoiled("a", at(0)), "older than what is known");
    assert!(book.spoiled("a", at(5)));
    assert_eq!(usable(&book), ["b"]);
    assert!(!book.spoiled("a", at(6)), "no news");
    assert!(book.put("a", told(7, false), "a"));
    assert_eq!(usable(&book), ["a", "b"]);
}

#[test]
fn a_record_that_lapses_in_an_outage_counts_until_it_is_settled() {
    let mut book = book();
    assert!(book.store_away() && !book.store_away());
    assert!(!deleted(&mut book, "a", 3, 100));
    assert_eq!(usable(&book), ["a", "b"]);
    assert!(book.store_back(1_000));
    assert_eq!(book.settles_at(), Some(3_000));
    assert!(
        book.reconcile(&["a"], at(9), 1_500).is_empty(),
        "b may come back, too"
    );
    assert!(book.settle(2_900).is_empty());
    book.put("b", told(10, false), "b");
    assert_eq!(book.settle(3_000), ["a"]);
    assert_eq!(usable(&book), ["b"]);
    assert_eq!(book.settles_at(), None);
}

#[test]
fn a_peers_word_is_taken_while_the_store_is_away_but_not_over_newer_records() {
    let mut book = book();
    book.store_away();
    book.put("c", told(9, false), "c");
    assert_eq!(book.adopt(&["b"], at(5)), ["a"]);
    assert_eq!(usable(&book), ["b", "c"], "c is newer than the peer's word");
}

#[derive(Debug, Clone)]
enum Event {
    Put { id: usize, draining: bool },
    Delete { id: usize },
    Away,
    Back,
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0usize..4, prop::bool::weighted(0.2)).prop_map(|(id, draining)| Event::Put { id, draining }),
        3 => (0usize..4).prop_map(|id| Event::Delete { id }),
        1 => Just(Event::Away),
        1 => Just(Event::Back),
        3 => (1u64..1_500).prop_map(Event::Pass),
    ]
}

proptest! {
    /// Against a plain account of the same events.
    #[test]
    fn the_book_agrees_with_a_plain_account(events in prop::collection::vec(event(), 1..120)) {
        const IDS: [&str; 4] = ["a", "b", "c", "d"];
        let mut book: TargetBook<&str> = TargetBook::new(TIMING);
        let mut recorded = [false; 4];
        let mut known = [false; 4];
        let mut drained = [false; 4];
        let (mut away, mut back, mut now) = (false, 0, 0);
        for (at, event) in events.into_iter().enumerate() {
            let revision = at as u64 + 1;
            match event {
                Event::Put { id, draining } => {
                    book.put(IDS[id], told(revision, draining), IDS[id]);
                    recorded[id] = true;
                    known[id] = true;
                    drained[id] |= draining;
                }
                Event::Delete { id } => {
                    deleted(&mut book, IDS[id], revision, now);
                    recorded[id] = false;
                    let unsettled = away || (back > 0 && now < back + TIMING.return_ms);
                    if !unsettled || drained[id] {
                        known[id] = false;
                        drained[id] = false;
                    }
                }
                Event::Away => {
                    book.store_away();
                    away = true;
                }
                Event::Back => {
                    if book.store_back(now) {
                        back = now.max(1);
                    }
                    away = false;
                }
                Event::Pass(ms) => now += ms,
            }
            book.settle(now);
            if !(away || back > 0 && now < back + TIMING.return_ms) {
                (0..4).filter(|&id| !recorded[id]).for_each(|id| known[id] = false);
            }
            let expected: Vec<&str> = (0..4)
                .filter(|&id| known[id] && !drained[id])
                .map(|id| IDS[id])
                .collect();
            let usable: Vec<&str> = book.usable().copied().collect();
            prop_assert_eq!(usable, expected);
        }
    }
}

/// A minute in which every target of a large deployment starts again thirteen times.
#[test]
fn ten_thousand_restarts_leave_one_entry_a_target() {
    let mut book: TargetBook<u64> = TargetBook::new(TIMING);
    let mut revision = 0;
    for start in 1..=13 {
        for target in 0..770 {
            revision += 1;
            let id = format!("i-{target}");
            assert!(book.put(&id, started(start, revision, false), start));
        }
    }
    assert_eq!(book.len(), 770);
    assert!(book.usable().all(|start| *start == 13));
}
