//! Emptied halls, against what the operators last said.

use hollowsail_fleet::{EmptiedHalls, Position};
use proptest::prelude::*;

use crate::config;

const HALLS: [&str; 3] = ["a", "b", "c"];

/// A revision of a store that names no era.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// What happens next.
#[derive(Debug, Clone)]
enum Event {
    /// An operator empties a hall or takes it back.
    Operator { hall: usize, empties: bool },
    /// An entry's watch tells of changes, up to some revisions behind the newest.
    Watch { entry: usize, behind: u64 },
    /// An entry reads the list anew, as it was some revisions ago.
    List { entry: usize, behind: u64 },
    /// An entry hears another one's account.
    Peer { to: usize, from: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..3usize, any::<bool>()).prop_map(|(hall, empties)| Event::Operator { hall, empties }),
        (0..3usize, 0..4u64).prop_map(|(entry, behind)| Event::Watch { entry, behind }),
        (0..3usize, 0..4u64).prop_map(|(entry, behind)| Event::List { entry, behind }),
        (0..3usize, 0..3usize).prop_map(|(to, from)| Event::Peer { to, from }),
    ]
}

/// The operators' changes in order; the revision is the position, from 1.
type History = Vec<(usize, bool)>;

/// Halls that are emptied after a revision, each with the revision at which it was.
fn emptied_at(history: &History, revision: u64) -> Vec<(String, u64)> {
    let mut halls = [None; 3];
    for (at, (hall, empties)) in history.iter().take(revision as usize).enumerate() {
        halls[*hall] = match (empties, halls[*hall]) {
            (true, _) => Some(at as u64 + 1),
            (false, _) => None,
        };
    }
    let emptied = HALLS.iter().zip(halls);
    emptied
        .filter_map(|(name, since)| Some((name.to_string(), since?)))
        .collect()
}

/// Tells an entry of the changes since a revision, as a watch does.
fn tell_changes(halls: &mut EmptiedHalls, history: &History, from: u64, to: u64) {
    for known in from..to {
        let (hall, empties) = history[known as usize];
        let _news = match empties {
            true => halls.emptied(HALLS[hall], at(known + 1)),
            false => halls.taken_back(HALLS[hall], at(known + 1)),
        };
    }
    halls.told_until(at(to));
}

fn names(halls: &EmptiedHalls) -> Vec<String> {
    halls.names().map(str::to_string).collect()
}

proptest! {
    #![proptest_config(config(0xe3))]

    #[test]
    fn every_account_is_what_the_operators_said_by_its_revision(
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut history = History::new();
        let mut entries = vec![EmptiedHalls::default(); 3];
        // Where each entry's watch goes on from: its own, whatever peers told since.
        let mut watched = [0u64; 3];
        for event in events {
            let newest = history.len() as u64;
            match event {
                Event::Operator { hall, empties } => history.push((hall, empties)),
                Event::Watch { entry, behind } => {
                    let to = newest.saturating_sub(behind).max(watched[entry]);
                    tell_changes(&mut entries[entry], &history, watched[entry], to);
                    watched[entry] = to;
                }
                Event::List { entry, behind } => {
                    let as_of = newest.saturating_sub(behind);
                    let listed = emptied_at(&history, as_of);
                    let listed = listed.into_iter().map(|(hall, since)| (hall, at(since)));
                    entries[entry].take_list(at(as_of), listed.collect());
                    watched[entry] = as_of;
                }
                Event::Peer { to, from } => {
                    let told = entries[from].clone();
                    entries[to].adopt(told);
                }
            }
            for halls in &entries {
                let expected = emptied_at(&history, halls.as_of().revision);
                let expected: Vec<String> = expected.into_iter().map(|(hall, _)| hall).collect();
                prop_assert_eq!(names(halls), expected);
            }
        }
    }
}

#[test]
fn an_account_never_goes_back() {
    let mut halls = EmptiedHalls::default();
    assert!(halls.take_list(at(5), vec![("a".to_string(), at(4))]));
    assert!(!halls.take_list(at(3), Vec::new()), "an older list");
    assert!(!halls.taken_back("a", at(5)), "told before");
    assert!(halls.contains("a"));
    assert!(halls.taken_back("a", at(6)));
    assert!(!halls.contains("a"));
}
