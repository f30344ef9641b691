//! Tests of entries that follow other entries' logs, against the store's changes.

use hollowsail_fleet::{ChangesSince, Position, WatchLog};
use proptest::prelude::*;

use crate::config;

/// Capacity of the logs.
const CAPACITY: usize = 5;

/// A revision of a store that reports no epoch.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

#[derive(Debug, Clone)]
enum Event {
    /// A key of the store changes, which may not be a followed one.
    Change { is_followed: bool },
    /// The store is restored without its last changes, in a new epoch.
    Restore { lost: u64 },
    /// A store follower's watch returns all changes but the newest `behind` revisions; in a
    /// new epoch it reads the list instead.
    Watch { follower: usize, behind: u64 },
    /// A store follower reads the list, because its history is gone.
    Read { follower: usize },
    /// The client polls a store follower; the reply may be lost.
    Poll { follower: usize, is_lost: bool },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => any::<bool>().prop_map(|is_followed| Event::Change { is_followed }),
        1 => (0..4u64).prop_map(|lost| Event::Restore { lost }),
        6 => (0..2usize, 0..3u64).prop_map(|(follower, behind)| Event::Watch { follower, behind }),
        2 => (0..2usize).prop_map(|follower| Event::Read { follower }),
        8 => (0..2usize, any::<bool>()).prop_map(|(follower, is_lost)| Event::Poll { follower, is_lost }),
    ]
}

/// A change of a followed key: its position and its sequence number.
type Change = (Position, u64);

/// The store: its newest position and the changes of followed keys that it still has.
#[derive(Default)]
struct Store {
    newest: Position,
    changed: Vec<Change>,
    sequence: u64,
}

impl Store {
    fn change(&mut self, is_followed: bool) {
        self.newest.revision += 1;
        self.sequence += 1;
        self.changed
            .extend(is_followed.then_some((self.newest, self.sequence)));
    }

    fn restore(&mut self, lost: u64) {
        let revision = self.newest.revision.saturating_sub(lost);
        self.newest = Position::new(self.newest.epoch + 1, revision);
        self.changed.retain(|(at, _)| at.revision <= revision);
        // The remaining changes belong to the new epoch, at the same revisions.
        for (at, _) in &mut self.changed {
            at.epoch = self.newest.epoch;
        }
    }

    fn list(&self) -> Vec<u64> {
        self.changed.iter().map(|(_, sequence)| *sequence).collect()
    }
}

proptest! {
    #![proptest_config(config(0x109))]

    /// A client that polls followers in any order must receive each change once and in order,
    /// and no change of another epoch.
    #[test]
    fn client_receives_every_change_once(
        events in proptest::collection::vec(event(), 1..80),
    ) {
        let mut store = Store::default();
        let mut logs = [WatchLog::new(CAPACITY), WatchLog::new(CAPACITY)];
        let mut logged = [Position::default(); 2];
        let mut received: Vec<u64> = Vec::new();
        let mut known = Position::default();
        for event in events {
            match event {
                Event::Change { is_followed } => store.change(is_followed),
                Event::Restore { lost } => store.restore(lost),
                Event::Watch { follower, .. } | Event::Read { follower }
                    if logged[follower].epoch < store.newest.epoch =>
                {
                    logs[follower].restart_at(store.newest);
                    logged[follower] = store.newest;
                }
                Event::Watch { follower, behind } => {
                    let to = store.newest.revision.saturating_sub(behind);
                    let to = Position::new(store.newest.epoch, to).max(logged[follower]);
                    let is_new = |change: &&Change| change.0 > logged[follower] && change.0 <= to;
                    let new: Vec<Change> = store.changed.iter().filter(is_new).copied().collect();
                    logs[follower].extend(new, to);
                    logged[follower] = to;
                }
                Event::Read { follower } => {
                    logs[follower].restart_at(store.newest);
                    logged[follower] = store.newest;
                }
                Event::Poll { follower, is_lost } => match logs[follower].since(known) {
                    _ if is_lost => {}
                    ChangesSince::Changes { changes, to } => {
                        prop_assert!(to > known && to.epoch == known.epoch);
                        received.extend(changes);
                        known = to;
                    }
                    ChangesSince::NothingNew => prop_assert!(logged[follower] <= known),
                    ChangesSince::Unknown => {
                        // The client reads the list from the store.
                        received = store.list();
                        known = store.newest;
                    }
                },
            }
            if known.epoch == store.newest.epoch {
                let changed = store.changed.iter().filter(|(at, _)| *at <= known);
                let expected: Vec<u64> = changed.map(|(_, sequence)| *sequence).collect();
                prop_assert_eq!(&received, &expected);
            }
        }
    }
}

#[test]
fn full_log_drops_oldest_and_reports_it() {
    let mut log = WatchLog::new(2);
    log.extend([(at(1), "a"), (at(2), "b"), (at(3), "c")], at(4));
    assert_eq!(log.since(at(0)), ChangesSince::Unknown);
    let (changes, to) = (vec!["b", "c"], at(4));
    assert_eq!(log.since(at(1)), ChangesSince::Changes { changes, to });
    assert_eq!(log.since(at(4)), ChangesSince::NothingNew);
}

#[test]
fn log_of_large_changes_drops_oldest() {
    let mut log = WatchLog::new(8).with_max_bytes(5, |text: &&str| text.len());
    log.extend([(at(1), "aa"), (at(2), "bb"), (at(3), "cc")], at(3));
    assert_eq!(log.since(at(0)), ChangesSince::Unknown);
    let (changes, to) = (vec!["bb", "cc"], at(3));
    assert_eq!(log.since(at(1)), ChangesSince::Changes { changes, to });
    log.extend([(at(4), "longer")], at(5));
    assert_eq!(log.since(at(3)), ChangesSince::Unknown);
    let (changes, to) = (Vec::new(), at(5));
    assert_eq!(log.since(at(4)), ChangesSince::Changes { changes, to });
}

#[test]
fn log_returns_no_changes_to_another_epoch() {
    let mut log = WatchLog::new(8);
    log.restart_at(Position::new(2, 5));
    log.extend([(Position::new(2, 6), "a")], Position::new(2, 7));
    assert_eq!(log.since(Position::new(1, 6)), ChangesSince::Unknown);
    assert_eq!(log.since(Position::new(1, 900)), ChangesSince::Unknown);
    assert_eq!(log.since(Position::new(3, 1)), ChangesSince::NothingNew);
}
