//! Tests of the evacuated halls, against the operators' changes.

use hollowsail_fleet::{EvacuatedHalls, Position};
use proptest::prelude::*;

use crate::config;

const HALLS: [&str; 3] = ["a", "b", "c"];

/// A revision of a store that reports no epoch.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

#[derive(Debug, Clone)]
enum Event {
    /// An operator evacuates or reinstates a hall.
    Operator { hall: usize, evacuates: bool },
    /// An entry's watch applies the changes, except for the newest `behind` revisions.
    Watch { entry: usize, behind: u64 },
    /// An entry reads the list as it was `behind` revisions ago.
    List { entry: usize, behind: u64 },
    /// An entry adopts the state of another one.
    Peer { to: usize, from: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..3usize, any::<bool>())
            .prop_map(|(hall, evacuates)| Event::Operator { hall, evacuates }),
        (0..3usize, 0..4u64).prop_map(|(entry, behind)| Event::Watch { entry, behind }),
        (0..3usize, 0..4u64).prop_map(|(entry, behind)| Event::List { entry, behind }),
        (0..3usize, 0..3usize).prop_map(|(to, from)| Event::Peer { to, from }),
    ]
}

/// The operators' changes in order; the revision is the position, from 1.
type History = Vec<(usize, bool)>;

/// Halls that are evacuated as of a revision, each with the revision of its evacuation.
fn evacuated_at(history: &History, revision: u64) -> Vec<(String, u64)> {
    let mut halls = [None; 3];
    for (index, (hall, evacuates)) in history.iter().take(revision as usize).enumerate() {
        halls[*hall] = match (evacuates, halls[*hall]) {
            (true, _) => Some(index as u64 + 1),
            (false, _) => None,
        };
    }
    let evacuated = HALLS.iter().zip(halls);
    evacuated
        .filter_map(|(name, since)| Some((name.to_string(), since?)))
        .collect()
}

/// Applies the changes between two revisions, as a watch does.
fn apply_changes(halls: &mut EvacuatedHalls, history: &History, from: u64, to: u64) {
    for known in from..to {
        let (hall, evacuates) = history[known as usize];
        let _changed = match evacuates {
            true => halls.apply_evacuation(HALLS[hall], at(known + 1)),
            false => halls.apply_reinstatement(HALLS[hall], at(known + 1)),
        };
    }
    halls.advance_to(at(to));
}

fn names(halls: &EvacuatedHalls) -> Vec<String> {
    halls.names().map(str::to_string).collect()
}

proptest! {
    #![proptest_config(config(0xe3))]

    #[test]
    fn state_matches_operator_changes_by_revision(
        events in proptest::collection::vec(event(), 1..60),
    ) {
        let mut history = History::new();
        let mut entries = vec![EvacuatedHalls::default(); 3];
        // The revision from which each entry's watch continues, independent of peers.
        let mut watched = [0u64; 3];
        for event in events {
            let newest = history.len() as u64;
            match event {
                Event::Operator { hall, evacuates } => history.push((hall, evacuates)),
                Event::Watch { entry, behind } => {
                    let to = newest.saturating_sub(behind).max(watched[entry]);
                    apply_changes(&mut entries[entry], &history, watched[entry], to);
                    watched[entry] = to;
                }
                Event::List { entry, behind } => {
                    let as_of = newest.saturating_sub(behind);
                    let listed = evacuated_at(&history, as_of);
                    let listed = listed.into_iter().map(|(hall, since)| (hall, at(since)));
                    entries[entry].apply_list(at(as_of), listed.collect());
                    watched[entry] = as_of;
                }
                Event::Peer { to, from } => {
                    let state = entries[from].clone();
                    entries[to].adopt(state);
                }
            }
            for halls in &entries {
                let expected = evacuated_at(&history, halls.as_of().revision);
                let expected: Vec<String> = expected.into_iter().map(|(hall, _)| hall).collect();
                prop_assert_eq!(names(halls), expected);
            }
        }
    }
}

#[test]
fn outdated_input_changes_nothing() {
    let mut halls = EvacuatedHalls::default();
    assert!(halls.apply_list(at(5), vec![("a".to_string(), at(4))]));
    assert!(!halls.apply_list(at(3), Vec::new()), "an older list");
    assert!(!halls.apply_reinstatement("a", at(5)), "already applied");
    assert!(halls.contains("a"));
    assert!(halls.apply_reinstatement("a", at(6)));
    assert!(!halls.contains("a"));
}
