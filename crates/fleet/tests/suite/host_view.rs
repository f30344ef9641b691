//! Tests of the host view, against a reference model.

use std::collections::HashSet;

use hollowsail_fleet::{HostView, LeavingHost, ListedHost};
use proptest::prelude::*;

#[derive(Debug, Clone)]
enum Event {
    /// Incarnation, leaving and missing flag of each host.
    List(Vec<(u64, bool, bool)>),
    ByName(usize),
    FromPeer(usize, u64),
}

const HOSTS: [&str; 4] = ["a", "b", "c", "d"];

fn event() -> impl Strategy<Value = Event> {
    let row = (0u64..3, any::<bool>(), prop::bool::weighted(0.2));
    prop_oneof![
        prop::collection::vec(row, HOSTS.len()).prop_map(Event::List),
        (0..HOSTS.len()).prop_map(Event::ByName),
        (0..HOSTS.len(), 0u64..3)
            .prop_map(|(host, incarnation)| Event::FromPeer(host, incarnation)),
    ]
}

proptest! {
    #![proptest_config(crate::config(21))]
    #[test]
    fn leaving_incarnation_never_takes_work(events in prop::collection::vec(event(), 1..60)) {
        let mut view = HostView::default();
        let mut listed = [0u64; HOSTS.len()];
        let mut leaving: HashSet<(usize, u64)> = HashSet::new();
        for event in events {
            match event {
                Event::List(rows) => {
                    let hosts: Vec<ListedHost> = rows
                        .iter()
                        .enumerate()
                        .filter(|(_, (_, _, missing))| !missing)
                        .map(|(index, (incarnation, leaving, _))| ListedHost {
                            name: HOSTS[index].into(),
                            incarnation: *incarnation,
                            leaving: *leaving,
                        })
                        .collect();
                    if view.observe(&hosts) {
                        for (index, (incarnation, is_leaving, missing)) in rows.iter().enumerate() {
                            if !missing {
                                listed[index] = *incarnation;
                                if *is_leaving {
                                    leaving.insert((index, *incarnation));
                                }
                            }
                        }
                    }
                }
                Event::ByName(index) => {
                    let host = HOSTS[index];
                    let known = !view.takes_work(host);
                    view.mark_leaving(host);
                    prop_assert!(!view.takes_work(host));
                    if !known {
                        leaving.insert((index, listed[index]));
                    }
                }
                Event::FromPeer(index, incarnation) => {
                    view.learn(LeavingHost { name: HOSTS[index].into(), incarnation });
                    leaving.insert((index, incarnation));
                }
            }
            for (index, host) in HOSTS.iter().enumerate() {
                if leaving.contains(&(index, listed[index])) {
                    prop_assert!(!view.takes_work(host), "{host} takes work although it is leaving");
                }
            }
        }
    }
}

fn listed_hosts(names: &[&str]) -> Vec<ListedHost> {
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
fn list_without_most_hosts_is_rejected() {
    let mut view = HostView::default();
    assert!(view.observe(&listed_hosts(&HOSTS)));
    for _ in 0..5 {
        assert!(!view.observe(&[]));
        assert!(!view.observe(&listed_hosts(&["a"])));
    }
    assert!(HOSTS.iter().all(|host| view.takes_work(host)));
}

#[test]
fn host_is_gone_after_two_reads_without_it() {
    let mut view = HostView::default();
    view.observe(&listed_hosts(&HOSTS));
    view.observe(&listed_hosts(&["a", "b", "c"]));
    assert!(view.takes_work("d"), "one read is not enough");
    view.observe(&listed_hosts(&["a", "b", "c"]));
    assert!(!view.takes_work("d"));
    view.observe(&listed_hosts(&HOSTS));
    assert!(view.takes_work("d"), "it is listed again");
}

#[test]
fn unlisted_host_takes_work() {
    let mut view = HostView::default();
    view.observe(&listed_hosts(&["a"]));
    assert!(view.takes_work("new"));
}

#[test]
fn unchanged_read_counts_as_missing() {
    let mut view = HostView::default();
    view.observe(&listed_hosts(&HOSTS));
    assert!(view.is_settled());
    view.observe(&listed_hosts(&["a", "b", "c"]));
    assert!(view.takes_work("d") && !view.is_settled());
    view.reread_unchanged();
    assert!(!view.takes_work("d") && view.is_settled());
}
