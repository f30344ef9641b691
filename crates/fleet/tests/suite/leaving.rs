//! What is known of hosts, against an oracle of two sets.

use std::collections::HashSet;

use hollowsail_fleet::{HostView, LeavingHost, ListedHost};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Event {
    /// A list in which some hosts are replaced, leaving or missing.
    List(Vec<(u64, bool, bool)>),
    Learn(usize),
    FromPeer(usize, u64),
}

const HOSTS: [&str; 4] = ["a", "b", "c", "d"];

fn event() -> impl Strategy<Value = Event> {
    let line = (0u64..3, any::<bool>(), prop::bool::weighted(0.2));
    prop_oneof![
        prop::collection::vec(line, HOSTS.len()).prop_map(Event::List),
        (0..HOSTS.len()).prop_map(Event::Learn),
        (0..HOSTS.len(), 0u64..3).prop_map(|(host, inc)| Event::FromPeer(host, inc)),
    ]
}

proptest! {
    #![proptest_config(crate::config(21))]
    #[test]
    fn an_incarnation_that_leaves_never_takes_work_again(events in prop::collection::vec(event(), 1..60)) {
        let mut view = HostView::default();
        let mut listed = [0u64; HOSTS.len()];
        let mut leaving: HashSet<(usize, u64)> = HashSet::new();
        for event in events {
            match event {
                Event::List(lines) => {
                    let hosts: Vec<ListedHost> = lines
                        .iter()
                        .enumerate()
                        .filter(|(_, (_, _, missing))| !missing)
                        .map(|(at, (incarnation, leaving, _))| ListedHost {
                            name: HOSTS[at].into(),
                            incarnation: *incarnation,
                            leaving: *leaving,
                        })
                        .collect();
                    if view.observe(&hosts) {
                        for (at, (incarnation, leaves, missing)) in lines.iter().enumerate() {
                            if !missing {
                                listed[at] = *incarnation;
                                if *leaves {
                                    leaving.insert((at, *incarnation));
                                }
                            }
                        }
                    }
                }
                Event::Learn(at) => {
                    let host = HOSTS[at];
                    let known = !view.takes_work(host);
                    view.learn_by_name(host);
                    prop_assert!(!view.takes_work(host));
                    if !known {
                        leaving.insert((at, listed[at]));
                    }
                }
                Event::FromPeer(at, incarnation) => {
                    view.learn(LeavingHost { name: HOSTS[at].into(), incarnation });
                    leaving.insert((at, incarnation));
                }
            }
            for (at, host) in HOSTS.iter().enumerate() {
                if leaving.contains(&(at, listed[at])) {
                    prop_assert!(!view.takes_work(host), "{host} took work again");
                }
            }
        }
    }
}

fn live(names: &[&str]) -> Vec<ListedHost> {
    names
        .iter()
        .map(|name| ListedHost {
            name: (*name).into(),
            incarnation: 1,
            leaving: false,
        })
        .collect()
}

#[test]
fn a_list_that_lost_most_hosts_is_not_believed() {
    let mut view = HostView::default();
    assert!(view.observe(&live(&HOSTS)));
    for _ in 0..5 {
        assert!(!view.observe(&[]));
        assert!(!view.observe(&live(&["a"])));
    }
    assert!(HOSTS.iter().all(|host| view.takes_work(host)));
}

#[test]
fn a_host_is_gone_only_after_it_is_missing_repeatedly() {
    let mut view = HostView::default();
    view.observe(&live(&HOSTS));
    view.observe(&live(&["a", "b", "c"]));
    assert!(view.takes_work("d"), "one read is not enough");
    view.observe(&live(&["a", "b", "c"]));
    assert!(!view.takes_work("d"));
    view.observe(&live(&HOSTS));
    assert!(view.takes_work("d"), "it is listed again");
}

#[test]
fn a_host_the_list_never_showed_takes_work() {
    let mut view = HostView::default();
    view.observe(&live(&["a"]));
    assert!(view.takes_work("new"));
}

#[test]
fn reading_the_same_list_again_counts_too() {
    let mut view = HostView::default();
    view.observe(&live(&HOSTS));
    assert!(view.is_settled());
    view.observe(&live(&["a", "b", "c"]));
    assert!(view.takes_work("d") && !view.is_settled());
    view.read_again();
    assert!(!view.takes_work("d") && view.is_settled());
}
