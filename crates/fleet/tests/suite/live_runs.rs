//! Which run of each host is live.

use hollowsail_fleet::LiveRuns;
use proptest::prelude::*;

/// A host and the number of its run.
type Run = (char, u32);

fn listed(runs: &[Run]) -> LiveRuns<Run, Run> {
    let mut live = LiveRuns::new(|run: &Run| *run);
    live.take_listed(runs.to_vec());
    live
}

#[test]
fn a_run_that_was_heard_takes_the_place_of_the_one_before() {
    let mut live = listed(&[('a', 1), ('b', 1)]);
    live.heard(('a', 1), ('a', 2));
    assert_eq!(live.live(), [('a', 2), ('b', 1)]);
    live.heard(('a', 2), ('a', 3));
    assert_eq!(live.live(), [('a', 3), ('b', 1)]);
}

#[test]
fn two_hosts_heard_one_after_the_other_both_keep_their_new_runs() {
    let mut live = listed(&[('a', 1), ('b', 1)]);
    live.heard(('a', 1), ('a', 2));
    live.heard(('b', 1), ('b', 2));
    assert_eq!(live.live(), [('a', 2), ('b', 2)]);
    live.take_listed(vec![('a', 1), ('b', 1)]);
    assert_eq!(live.live(), [('a', 2), ('b', 2)], "the store lags behind");
}

#[test]
fn the_stores_word_counts_once_it_has_caught_up() {
    let mut live = listed(&[('a', 1)]);
    live.heard(('a', 1), ('a', 2));
    live.take_listed(vec![('a', 2)]);
    assert_eq!(live.live(), [('a', 2)]);
    live.take_listed(vec![('a', 1)]);
    assert_eq!(live.live(), [('a', 1)], "it was forgotten");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: crate::cases(), failure_persistence: None, ..Default::default() })]
    #[test]
    fn each_host_is_live_once_by_its_newest_heard_run(
        steps in prop::collection::vec((0u8..4, prop::bool::ANY), 1..60),
    ) {
        let hosts = ['a', 'b', 'c', 'd'];
        let mut live = listed(&hosts.map(|host| (host, 0)));
        let mut heard = [0; 4];
        let mut told = [0; 4];
        for (host, store_catches_up) in steps {
            let host = usize::from(host);
            if store_catches_up {
                told[host] = heard[host];
                live.take_listed((0..4).map(|at| (hosts[at], told[at])).collect());
            } else {
                live.heard((hosts[host], heard[host]), (hosts[host], heard[host] + 1));
                heard[host] += 1;
            }
            let expected: Vec<Run> = (0..4).map(|at| (hosts[at], heard[at])).collect();
            prop_assert_eq!(live.live(), expected);
        }
    }
}
