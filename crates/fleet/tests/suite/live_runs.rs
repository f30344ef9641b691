//! Tests of which run of each host is live.

use hollowsail_fleet::LiveRuns;
use proptest::prelude::*;

/// A host and the number of its run.
type Run = (char, u32);

fn listed(runs: &[Run]) -> LiveRuns<Run, Run> {
    let mut live = LiveRuns::new(|run: &Run| *run);
    live.set_listed(runs.to_vec());
    live
}

#[test]
fn observed_run_replaces_previous() {
    let mut live = listed(&[('a', 1), ('b', 1)]);
    live.observed(('a', 1), ('a', 2));
    assert_eq!(live.live(), [('a', 2), ('b', 1)]);
    live.observed(('a', 2), ('a', 3));
    assert_eq!(live.live(), [('a', 3), ('b', 1)]);
}

#[test]
fn observed_runs_of_two_hosts_are_both_kept() {
    let mut live = listed(&[('a', 1), ('b', 1)]);
    live.observed(('a', 1), ('a', 2));
    live.observed(('b', 1), ('b', 2));
    assert_eq!(live.live(), [('a', 2), ('b', 2)]);
    live.set_listed(vec![('a', 1), ('b', 1)]);
    assert_eq!(
        live.live(),
        [('a', 2), ('b', 2)],
        "the store still lists the previous runs"
    );
}

#[test]
fn listed_run_counts_once_store_catches_up() {
    let mut live = listed(&[('a', 1)]);
    live.observed(('a', 1), ('a', 2));
    live.set_listed(vec![('a', 2)]);
    assert_eq!(live.live(), [('a', 2)]);
    live.set_listed(vec![('a', 1)]);
    assert_eq!(live.live(), [('a', 1)], "the observed run was dropped");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: crate::cases(), failure_persistence: None, ..Default::default() })]
    #[test]
    fn live_run_is_newest_observed(
        steps in prop::collection::vec((0u8..4, prop::bool::ANY), 1..60),
    ) {
        let hosts = ['a', 'b', 'c', 'd'];
        let mut live = listed(&hosts.map(|host| (host, 0)));
        let mut observed = [0; 4];
        let mut listed_runs = [0; 4];
        for (host, store_catches_up) in steps {
            let host = usize::from(host);
            if store_catches_up {
                listed_runs[host] = observed[host];
                live.set_listed((0..4).map(|index| (hosts[index], listed_runs[index])).collect());
            } else {
                live.observed((hosts[host], observed[host]), (hosts[host], observed[host] + 1));
                observed[host] += 1;
            }
            let expected: Vec<Run> = (0..4).map(|index| (hosts[index], observed[index])).collect();
            prop_assert_eq!(live.live(), expected);
        }
    }
}
