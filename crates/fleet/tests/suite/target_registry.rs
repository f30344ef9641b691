//! Tests of the target registry, through outages of the store.

use hollowsail_fleet::{Position, RecordMeta, RegistryTiming, TargetRegistry};
use proptest::prelude::*;

const TIMING: RegistryTiming = RegistryTiming {
    return_ms: 2_000,
    lost_ms: 3_000,
    expiry_ms: 5_000,
};

/// A revision of a store that reports no epoch.
fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// A record of the first incarnation, written at a revision.
fn meta(revision: u64, draining: bool) -> RecordMeta {
    RecordMeta {
        at: at(revision),
        incarnation: 0,
        draining,
    }
}

/// A record of an incarnation.
fn meta_of(incarnation: u64, revision: u64, draining: bool) -> RecordMeta {
    RecordMeta {
        incarnation,
        ..meta(revision, draining)
    }
}

fn registry() -> TargetRegistry<&'static str> {
    let mut registry = TargetRegistry::new(TIMING);
    registry.put("a", meta(1, false), "a");
    registry.put("b", meta(2, false), "b");
    registry
}

fn usable(registry: &TargetRegistry<&'static str>) -> Vec<&'static str> {
    registry.usable().copied().collect()
}

/// Applies the removal of a record as read from the store itself.
fn deleted(registry: &mut TargetRegistry<&'static str>, id: &str, revision: u64, now: u64) -> bool {
    let is_unsettled = registry.is_unsettled(now);
    registry.apply_deletion(id, at(revision), is_unsettled)
}

#[test]
fn removed_record_removes_target() {
    let mut registry = registry();
    assert!(deleted(&mut registry, "a", 3, 10));
    assert_eq!(usable(&registry), ["b"]);
    assert_eq!(registry.reconcile(&[], at(4), 10), ["b"]);
}

#[test]
fn conclusive_removal_counts_during_outage() {
    let mut registry = registry();
    registry.store_unreachable();
    assert!(registry.apply_deletion("a", at(3), false));
    assert_eq!(usable(&registry), ["b"]);
}

#[test]
fn changed_record_is_a_change() {
    let mut registry = registry();
    assert!(!registry.put("a", meta(5, false), "a"), "a renewal");
    assert!(registry.put("a", meta(6, false), "elsewhere"));
    assert_eq!(usable(&registry), ["elsewhere", "b"]);
}

#[test]
fn draining_target_stays_unusable() {
    let mut registry = registry();
    assert!(registry.put("a", meta(5, true), "a"));
    assert_eq!(usable(&registry), ["b"]);
    assert!(!registry.put("a", meta(3, false), "a"), "an older record");
    assert!(!registry.put("a", meta(6, false), "a"), "a newer record");
    assert_eq!(usable(&registry), ["b"]);
}

#[test]
fn later_incarnation_wins_in_any_order() {
    let mut registry = registry();
    registry.put("a", meta_of(10, 5, true), "a");
    assert_eq!(usable(&registry), ["b"], "incarnation 10 is draining");
    assert!(registry.put("a", meta_of(20, 6, false), "again"));
    assert_eq!(usable(&registry), ["again", "b"]);
    assert!(
        !registry.put("a", meta_of(10, 7, false), "a"),
        "a late record of incarnation 10"
    );
    assert_eq!(usable(&registry), ["again", "b"]);
    assert!(
        registry.put("a", meta_of(30, 4, false), "third"),
        "an earlier revision"
    );
    assert_eq!(usable(&registry), ["third", "b"]);
}

#[test]
fn malformed_record_removes_target_until_next() {
    let mut registry = registry();
    assert!(
        !registry.mark_malformed("a", at(0)),
        "older than the known record"
    );
    assert!(registry.mark_malformed("a", at(5)));
    assert_eq!(usable(&registry), ["b"]);
    assert!(!registry.mark_malformed("a", at(6)), "already removed");
    assert!(registry.put("a", meta(7, false), "a"));
    assert_eq!(usable(&registry), ["a", "b"]);
}

#[test]
fn record_expired_in_outage_stays_until_settled() {
    let mut registry = registry();
    assert!(registry.store_unreachable() && !registry.store_unreachable());
    assert!(!deleted(&mut registry, "a", 3, 100));
    assert_eq!(usable(&registry), ["a", "b"]);
    assert!(registry.store_reachable(1_000));
    assert_eq!(registry.settles_at(), Some(3_000));
    assert!(
        registry.reconcile(&["a"], at(9), 1_500).is_empty(),
        "b may be written again"
    );
    assert!(registry.settle(2_900).is_empty());
    registry.put("b", meta(10, false), "b");
    assert_eq!(registry.settle(3_000), ["a"]);
    assert_eq!(usable(&registry), ["b"]);
    assert_eq!(registry.settles_at(), None);
}

#[test]
fn peer_list_in_outage_keeps_newer_records() {
    let mut registry = registry();
    registry.store_unreachable();
    registry.put("c", meta(9, false), "c");
    assert_eq!(registry.adopt(&["b"], at(5), 0), ["a"]);
    assert_eq!(
        usable(&registry),
        ["b", "c"],
        "c is newer than the peer's list"
    );
}

#[derive(Debug, Clone)]
enum Event {
    Put { id: usize, draining: bool },
    Delete { id: usize },
    Unreachable,
    Reachable,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0usize..4, prop::bool::weighted(0.2)).prop_map(|(id, draining)| Event::Put { id, draining }),
        3 => (0usize..4).prop_map(|id| Event::Delete { id }),
        1 => Just(Event::Unreachable),
        1 => Just(Event::Reachable),
        3 => (1u64..1_500).prop_map(Event::Wait),
    ]
}

proptest! {
    /// Compares the registry with a simple model of the same events.
    #[test]
    fn registry_matches_model(events in prop::collection::vec(event(), 1..120)) {
        const IDS: [&str; 4] = ["a", "b", "c", "d"];
        let mut registry: TargetRegistry<&str> = TargetRegistry::new(TIMING);
        let mut recorded = [false; 4];
        let mut known = [false; 4];
        let mut drained = [false; 4];
        let (mut unreachable, mut returned_at, mut now) = (false, 0, 0);
        for (index, event) in events.into_iter().enumerate() {
            let revision = index as u64 + 1;
            match event {
                Event::Put { id, draining } => {
                    registry.put(IDS[id], meta(revision, draining), IDS[id]);
                    recorded[id] = true;
                    known[id] = true;
                    drained[id] |= draining;
                }
                Event::Delete { id } => {
                    deleted(&mut registry, IDS[id], revision, now);
                    recorded[id] = false;
                    let unsettled = unreachable || (returned_at > 0 && now < returned_at + TIMING.return_ms);
                    if !unsettled || drained[id] {
                        known[id] = false;
                        drained[id] = false;
                    }
                }
                Event::Unreachable => {
                    registry.store_unreachable();
                    unreachable = true;
                }
                Event::Reachable => {
                    if registry.store_reachable(now) {
                        returned_at = now.max(1);
                    }
                    unreachable = false;
                }
                Event::Wait(ms) => now += ms,
            }
            registry.settle(now);
            if !(unreachable || returned_at > 0 && now < returned_at + TIMING.return_ms) {
                (0..4).filter(|&id| !recorded[id]).for_each(|id| known[id] = false);
            }
            let expected: Vec<&str> = (0..4)
                .filter(|&id| known[id] && !drained[id])
                .map(|id| IDS[id])
                .collect();
            let usable: Vec<&str> = registry.usable().copied().collect();
            prop_assert_eq!(usable, expected);
        }
    }
}

/// Frequent restarts of all targets must not accumulate entries.
#[test]
fn restarts_keep_one_entry_per_target() {
    let mut registry: TargetRegistry<u64> = TargetRegistry::new(TIMING);
    let mut revision = 0;
    for incarnation in 1..=13 {
        for target in 0..770 {
            revision += 1;
            let id = format!("i-{target}");
            assert!(registry.put(&id, meta_of(incarnation, revision, false), incarnation));
        }
    }
    assert_eq!(registry.len(), 770);
    assert!(registry.usable().all(|incarnation| *incarnation == 13));
}

/// Guards against deriving everything anew from each list of a peer that has nothing new.
#[test]
fn records_at_known_positions_change_nothing() {
    let mut registry = registry();
    registry.store_unreachable();
    let changes = registry.change_count();
    assert!(!registry.put("a", meta(1, false), "a"));
    assert!(registry.adopt(&["a", "b"], at(5), 0).is_empty());
    assert_eq!(registry.change_count(), changes);
    assert!(registry.put("a", meta(3, true), "a"));
    assert_eq!(usable(&registry), ["b"]);
}

/// Guards against taking a restored record for a new one because this process never saw it go.
#[test]
fn record_that_a_peer_saw_go_is_unused_until_it_is_written_again() {
    let mut registry = registry();
    let known = meta(1, false);
    assert!(!registry.mark_restored("a", known.incarnation, at(9)));
    assert!(registry.mark_restored("a", known.incarnation, known.at));
    assert_eq!(usable(&registry), ["b"]);
    assert_eq!(registry.restored().count(), 1);
    assert!(!registry.mark_restored("a", known.incarnation, known.at));
    assert!(registry.put("a", meta(7, false), "a"));
    assert_eq!(usable(&registry), ["a", "b"]);
    assert!(!registry.mark_restored("a", known.incarnation, known.at));
}

/// Guards against promoting a record of an epoch that only a peer has heard of as if it had outlived the
/// expiry time in an earlier one.
#[test]
fn restored_record_of_an_epoch_that_a_peer_heard_of_waits_for_its_own_expiry() {
    let mut registry: TargetRegistry<&str> = TargetRegistry::new(TIMING);
    let of_epoch = |epoch: u64, revision: u64| RecordMeta {
        at: Position::new(epoch, revision),
        incarnation: 1,
        draining: false,
    };
    registry.put("a", of_epoch(1, 4), "a");
    registry.epoch_began(1_000);
    registry.reconcile(&["a"], Position::new(2, 3), 1_000);
    registry.put("a", of_epoch(2, 5), "a");
    assert!(registry.apply_deletion("a", Position::new(2, 9), false));
    registry.store_unreachable();
    let heard_at = 1_000 + TIMING.expiry_ms;
    registry.put("a", of_epoch(4, 4), "a");
    registry.adopt(&["a"], Position::new(4, 7), heard_at);
    assert!(!registry.promote_restored(heard_at + 1));
    assert_eq!(usable(&registry), [""; 0]);
    assert!(registry.promote_restored(heard_at + TIMING.expiry_ms));
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against a copy of another age, in a store that is restored once more, taken for a record that its
/// target wrote.
#[test]
fn target_that_is_gone_stays_unused_after_a_second_restore() {
    let mut registry: TargetRegistry<&str> = TargetRegistry::new(TIMING);
    let of_epoch = |epoch: u64, revision: u64| RecordMeta {
        at: Position::new(epoch, revision),
        incarnation: 1,
        draining: false,
    };
    registry.put("a", of_epoch(1, 9), "a");
    assert!(registry.apply_deletion("a", Position::new(1, 12), false));
    for (epoch, revision) in [(2, 7), (3, 5), (4, 6)] {
        let now = 1_000 * epoch;
        registry.epoch_began(now);
        registry.put("a", of_epoch(epoch, revision), "a");
        registry.reconcile(&["a"], Position::new(epoch, 8), now);
        assert_eq!(usable(&registry), [""; 0], "in epoch {epoch}");
    }
    registry.put("a", of_epoch(4, 9), "a");
    assert_eq!(usable(&registry), ["a"]);
}

/// Guards against a restored record that is read only after peers have said that its target drains.
#[test]
fn target_that_a_peer_knows_to_drain_is_unused_once_it_is_listed() {
    let mut registry: TargetRegistry<&str> = TargetRegistry::new(TIMING);
    assert!(!registry.mark_draining("a", 1));
    let of_epoch = |incarnation: u64, revision: u64| RecordMeta {
        at: Position::new(3, revision),
        incarnation,
        draining: false,
    };
    registry.put("a", of_epoch(1, 7), "a");
    assert_eq!(usable(&registry), [""; 0]);
    registry.put("a", of_epoch(2, 8), "a again");
    assert_eq!(usable(&registry), ["a again"]);
}

#[test]
fn record_that_a_peer_found_missing_is_kept_until_that_is_final() {
    let mut registry = registry();
    assert!(registry.adopt(&["a", "b"], at(5), 0).is_empty());
    assert!(registry.adopt_missing([("a", at(4))]));
    registry.outage_reported_until(10_000, 10_500);
    assert_eq!(usable(&registry), ["a", "b"]);
    assert_eq!(registry.missing().collect::<Vec<_>>(), [("a", at(4))]);
    assert_eq!(registry.settles_at(), Some(10_500));
    assert!(registry.settle(10_499).is_empty());
    assert_eq!(registry.settle(10_500), ["a"]);
}

#[test]
fn record_written_after_a_peer_found_it_missing_stays() {
    let mut registry = registry();
    registry.put("a", meta(6, false), "a");
    assert!(!registry.adopt_missing([("a", at(4)), ("unknown", at(4))]));
    registry.put("b", meta(2, false), "b");
    assert!(registry.adopt_missing([("b", at(4))]));
    registry.put("b", meta(7, false), "b");
    assert_eq!(registry.missing().count(), 0);
    registry.outage_reported_until(0, 100);
    assert!(registry.settle(200).is_empty());
    assert_eq!(usable(&registry), ["a", "b"]);
}
