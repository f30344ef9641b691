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
    /// A reader's watch tells it all up to so many revisions behind the newest.
    Watch { reader: usize, behind: u64 },
    /// A reader reads the list anew: its history was gone.
    Read { reader: usize },
    /// The listener asks a reader, and an answer may be lost.
    Ask { reader: usize, is_lost: bool },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => any::<bool>().prop_map(|is_followed| Event::Change { is_followed }),
        3 => (0..2usize, 0..3u64).prop_map(|(reader, behind)| Event::Watch { reader, behind }),
        1 => (0..2usize).prop_map(|reader| Event::Read { reader }),
        4 => (0..2usize, any::<bool>()).prop_map(|(reader, is_lost)| Event::Ask { reader, is_lost }),
    ]
}

proptest! {
    #![proptest_config(config(0x109))]

    /// A listener that asks any readers in any order hears each change once and in order,
    /// up to its revision, unless it is told that a part isn't known.
    #[test]
    fn what_a_listener_hears_is_what_changed(
        events in proptest::collection::vec(event(), 1..80),
    ) {
        // Changes of the followed keys by their revisions; the store's newest revision.
        let mut changed: Vec<u64> = Vec::new();
        let mut newest = 0u64;
        let mut logs = [WatchLog::new(MOST), WatchLog::new(MOST)];
        let mut told = [0u64; 2];
        let mut heard: Vec<u64> = Vec::new();
        let mut revision = 0u64;
        for event in events {
            match event {
                Event::Change { is_followed } => {
                    newest += 1;
                    changed.extend(is_followed.then_some(newest));
                }
                Event::Watch { reader, behind } => {
                    let to = newest.saturating_sub(behind).max(told[reader]);
                    let is_news = |known: &&u64| **known > told[reader] && **known <= to;
                    let news = changed.iter().filter(is_news);
                    let news: Vec<(Position, u64)> = news.map(|n| (at(*n), *n)).collect();
                    logs[reader].extend(news, at(to));
                    told[reader] = to;
                }
                Event::Read { reader } => {
                    logs[reader].begin(at(newest));
                    told[reader] = newest;
                }
                Event::Ask { reader, is_lost } => match logs[reader].since(at(revision)) {
                    _ if is_lost => {}
                    Since::Changes { changes, to } => {
                        prop_assert!(to > at(revision));
                        heard.extend(changes);
                        revision = to.revision;
                    }
                    Since::NothingNew => prop_assert!(told[reader] <= revision),
                    Since::Unknown => {
                        // It reads the list at the store.
                        heard = changed.clone();
                        revision = newest;
                    }
                },
            }
            let expected: Vec<u64> = changed.iter().copied().filter(|at| *at <= revision).collect();
            prop_assert_eq!(&heard, &expected);
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
