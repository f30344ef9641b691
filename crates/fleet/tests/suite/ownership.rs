//! Who owns what, among hosts of unlike sizes.

use hollowsail_fleet::ownership::{owner, Candidate};
use proptest::prelude::*;

fn entry(host: &str, capacity: u32) -> Candidate<'_> {
    Candidate {
        host,
        capacity,
        is_slow: false,
    }
}

#[test]
fn small_hosts_own_nothing_while_a_large_one_lives() {
    let entries = [
        entry("small-1", 10),
        entry("large-1", 200),
        entry("small-2", 10),
        entry("large-2", 150),
    ];
    for queue in 0..50 {
        let at = owner(&format!("queue-{queue}"), entries.into_iter()).expect("there are some");
        assert!(entries[at].capacity >= 150, "{}", entries[at].host);
    }
    let small = [entries[0], entries[2]];
    assert!(owner("queue-1", small.into_iter()).is_some());
    assert_eq!(owner("queue-1", [].into_iter()), None);
}

#[test]
fn a_slow_host_owns_nothing_unless_all_are_slow() {
    let mut entries = [entry("one", 200), entry("two", 200), entry("small", 10)];
    entries[0].is_slow = true;
    for queue in 0..50 {
        let queue = format!("queue-{queue}");
        assert_eq!(owner(&queue, entries.into_iter()), Some(1));
    }
    entries.iter_mut().for_each(|entry| entry.is_slow = true);
    let owned = (0..50).filter_map(|queue| owner(&format!("queue-{queue}"), entries.into_iter()));
    assert!(owned.into_iter().any(|at| at == 0));
}

proptest! {
    /// Whoever leaves takes only what it owned along, as long as the largest stays.
    #[test]
    fn an_entry_that_leaves_moves_only_its_own(
        capacities in prop::collection::vec(100u32..199, 2..12),
        gone in any::<prop::sample::Index>(),
        queue in 0u32..1000,
    ) {
        let hosts: Vec<String> = (0..capacities.len()).map(|at| format!("host-{at}")).collect();
        let entries: Vec<Candidate> = hosts
            .iter()
            .zip(&capacities)
            .map(|(host, capacity)| entry(host, *capacity))
            .collect();
        let queue = format!("queue-{queue}");
        let gone = gone.index(entries.len());
        let before = entries[owner(&queue, entries.iter().copied()).expect("some")];
        let left: Vec<Candidate> = entries.iter().copied().filter(|e| *e != entries[gone]).collect();
        let after = left[owner(&queue, left.iter().copied()).expect("some")];
        prop_assert!(before == entries[gone] || before == after);
    }
}
