//! Entries that follow other entries' logs, against all that changed at the store.

use hollowsail_fleet::{Position, Since, WatchLog};
use proptest::prelude::*;

use crate::config;

/// Changes that a log holds here.
const MOST: usize = 5;

/// A revision of a store that names no era.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// What happens next.
#[derive(Debug, Clone)]
enum Event {
    /// Something changes at the store; not all of it is under the keys that are followed.
    Change { is_followed: bool },
    /// The store comes back as it was so many changes ago, in a new era.
    Return { lost: u64 },
    /// A reader's watch tells it all up to so many revisions behind the newest; in a new
    /// era it reads the list instead.
    Watch { reader: usize, behind: u64 },
    /// A reader reads the list anew: its history was gone.
    Read { reader: usize },
    /// The listener asks a reader, and an answer may be lost.
    Ask { reader: usize, is_lost: bool },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => any::<bool>().prop_map(|is_followed| Event::Change { is_followed }),
        1 => (0..4u64).prop_map(|lost| Event::Return { lost }),
        6 => (0..2usize, 0..3u64).prop_map(|(reader, behind)| Event::Watch { reader, behind }),
        2 => (0..2usize).prop_map(|reader| Event::Read { reader }),
        8 => (0..2usize, any::<bool>()).prop_map(|(reader, is_lost)| Event::Ask { reader, is_lost }),
    ]
}

/// A change of the followed keys: where, and which of all that were ever made it is.
type Change = (Position, u64);

/// The store: its newest position, and the changes of the followed keys that it still has.
#[derive(Default)]
struct Store {
    newest: Position,
    changed: Vec<Change>,
    made: u64,
}

impl Store {
    fn change(&mut self, is_followed: bool) {
        self.newest.revision += 1;
        self.made += 1;
        self.changed
            .extend(is_followed.then_some((self.newest, self.made)));
    }

    fn come_back(&mut self, lost: u64) {
        let revision = self.newest.revision.saturating_sub(lost);
        self.newest = Position::new(self.newest.era + 1, revision);
        self.changed.retain(|(at, _)| at.revision <= revision);
        // What is left lies in the new era, at the same revisions.
        for (at, _) in &mut self.changed {
            at.era = self.newest.era;
        }
    }

    fn list(&self) -> Vec<u64> {
        self.changed.iter().map(|(_, made)| *made).collect()
    }
}

proptest! {
    #![proptest_config(config(0x109))]

    /// A listener that asks any readers in any order hears each change once and in order,
    /// up to its position, unless it is told that a part isn't known; and nothing across
    /// the end of an era.
    #[test]
    fn what_a_listener_hears_is_what_changed(
        events in proptest::collection::vec(event(), 1..80),
    ) {
        let mut store = Store::default();
        let mut logs = [WatchLog::new(MOST), WatchLog::new(MOST)];
        let mut told = [Position::default(); 2];
        let mut heard: Vec<u64> = Vec::new();
        let mut known = Position::default();
        for event in events {
            match event {
                Event::Change { is_followed } => store.change(is_followed),
                Event::Return { lost } => store.come_back(lost),
                Event::Watch { reader, .. } | Event::Read { reader }
                    if told[reader].era < store.newest.era =>
                {
                    logs[reader].begin(store.newest);
                    told[reader] = store.newest;
                }
                Event::Watch { reader, behind } => {
                    let to = store.newest.revision.saturating_sub(behind);
                    let to = Position::new(store.newest.era, to).max(told[reader]);
                    let is_news = |change: &&Change| change.0 > told[reader] && change.0 <= to;
                    let news: Vec<Change> = store.changed.iter().filter(is_news).copied().collect();
                    logs[reader].extend(news, to);
                    told[reader] = to;
                }
                Event::Read { reader } => {
                    logs[reader].begin(store.newest);
                    told[reader] = store.newest;
                }
                Event::Ask { reader, is_lost } => match logs[reader].since(known) {
                    _ if is_lost => {}
                    Since::Changes { changes, to } => {
                        prop_assert!(to > known && to.era == known.era);
                        heard.extend(changes);
                        known = to;
                    }
                    Since::NothingNew => prop_assert!(told[reader] <= known),
                    Since::Unknown => {
                        // It reads the list at the store.
                        heard = store.list();
                        known = store.newest;
                    }
                },
            }
            if known.era == store.newest.era {
                let changed = store.changed.iter().filter(|(at, _)| *at <= known);
                let expected: Vec<u64> = changed.map(|(_, made)| *made).collect();
                prop_assert_eq!(&heard, &expected);
            }
        }
    }
}

#[test]
fn a_full_log_forgets_the_oldest_and_says_so() {
    let mut log = WatchLog::new(2);
    log.extend([(at(1), "a"), (at(2), "b"), (at(3), "c")], at(4));
    assert_eq!(log.since(at(0)), Since::Unknown);
    let (changes, to) = (vec!["b", "c"], at(4));
    assert_eq!(log.since(at(1)), Since::Changes { changes, to });
    assert_eq!(log.since(at(4)), Since::NothingNew);
}

#[test]
fn a_listener_of_another_era_is_told_nothing_of_this_one() {
    let mut log = WatchLog::new(8);
    log.begin(Position::new(2, 5));
    log.extend([(Position::new(2, 6), "a")], Position::new(2, 7));
    assert_eq!(log.since(Position::new(1, 6)), Since::Unknown);
    assert_eq!(log.since(Position::new(1, 900)), Since::Unknown);
    assert_eq!(log.since(Position::new(3, 1)), Since::NothingNew);
}
