//! Tests of owner assignment among hosts of different sizes.

use hollowsail_fleet::ownership::{owner, Candidate};
use proptest::prelude::*;

fn entry(host: &str, capacity: u32) -> Candidate<'_> {
    Candidate {
        host,
        capacity,
        is_lagging: false,
    }
}

#[test]
fn small_hosts_own_nothing_beside_large_ones() {
    let entries = [
        entry("small-1", 10),
        entry("large-1", 200),
        entry("small-2", 10),
        entry("large-2", 150),
    ];
    for queue in 0..50 {
        let index =
            owner(&format!("queue-{queue}"), entries.into_iter()).expect("there are candidates");
        assert!(entries[index].capacity >= 150, "{}", entries[index].host);
    }
    let small = [entries[0], entries[2]];
    assert!(owner("queue-1", small.into_iter()).is_some());
    assert_eq!(owner("queue-1", [].into_iter()), None);
}

#[test]
fn lagging_host_owns_nothing_unless_all_lag() {
    let mut entries = [entry("one", 200), entry("two", 200), entry("small", 10)];
    entries[0].is_lagging = true;
    for queue in 0..50 {
        let queue = format!("queue-{queue}");
        assert_eq!(owner(&queue, entries.into_iter()), Some(1));
    }
    entries.iter_mut().for_each(|entry| entry.is_lagging = true);
    let owned = (0..50).filter_map(|queue| owner(&format!("queue-{queue}"), entries.into_iter()));
    assert!(owned.into_iter().any(|index| index == 0));
}

/// Guards against a load that no host bears and that is moved from host to host until all lag.
#[test]
fn key_that_makes_its_owners_lag_stops_moving() {
    let hosts: Vec<String> = (0..12).map(|index| format!("host-{index}")).collect();
    let mut entries: Vec<Candidate> = hosts.iter().map(|host| entry(host, 200)).collect();
    let mut owners = Vec::new();
    for _ in 0..entries.len() {
        let index = owner("queue-1", entries.iter().copied()).expect("there are candidates");
        entries[index].is_lagging = true;
        owners.push(index);
    }
    owners.sort_unstable();
    owners.dedup();
    assert!(owners.len() <= 3, "{} hosts owned the key", owners.len());
}

proptest! {
    /// The removal of an entry must not change the owner of keys that it didn't own.
    #[test]
    fn removed_entry_moves_only_its_own_keys(
        capacities in prop::collection::vec(100u32..199, 2..12),
        removed in any::<prop::sample::Index>(),
        queue in 0u32..1000,
    ) {
        let hosts: Vec<String> = (0..capacities.len()).map(|index| format!("host-{index}")).collect();
        let entries: Vec<Candidate> = hosts
            .iter()
            .zip(&capacities)
            .map(|(host, capacity)| entry(host, *capacity))
            .collect();
        let queue = format!("queue-{queue}");
        let removed = removed.index(entries.len());
        let before = entries[owner(&queue, entries.iter().copied()).expect("there are candidates")];
        let remaining: Vec<Candidate> = entries.iter().copied().filter(|e| *e != entries[removed]).collect();
        let after = remaining[owner(&queue, remaining.iter().copied()).expect("there are candidates")];
        prop_assert!(before == entries[removed] || before == after);
    }
}
