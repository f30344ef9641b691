//! Tests of versions that spread from the store and between peers, in any order.

use hollowsail_fleet::Newest;
use proptest::prelude::*;

#[test]
fn only_higher_version_replaces_value() {
    let mut newest = Newest::default();
    assert_eq!((newest.version(), newest.get()), (None, None));
    assert!(newest.offer(0, "first"), "version 0 is valid");
    assert!(newest.offer(7, "seventh"));
    assert!(!newest.offer(7, "another seventh"));
    assert!(!newest.offer(3, "third"));
    assert_eq!(
        (newest.version(), newest.get()),
        (Some(7), Some(&"seventh"))
    );
}

const HOSTS: usize = 5;

#[derive(Debug, Clone)]
enum Event {
    /// Operators write a version, the given number above the last.
    Accept(u64),
    /// A host reads the store, possibly an outdated version.
    Read { host: usize, behind: usize },
    /// A host takes over a peer's version.
    ReadPeer { host: usize, peer: usize },
    /// A host loses its version.
    Restart(usize),
    /// The store starts or stops refusing a host.
    Refuse { host: usize, refused: bool },
}

fn event() -> impl Strategy<Value = Event> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => (1u64..9).prop_map(Event::Accept),
        4 => (host.clone(), 0usize..3).prop_map(|(host, behind)| Event::Read { host, behind }),
        4 => (host.clone(), host.clone()).prop_map(|(host, peer)| Event::ReadPeer { host, peer }),
        1 => host.clone().prop_map(Event::Restart),
        1 => (host, any::<bool>()).prop_map(|(host, refused)| Event::Refuse { host, refused }),
    ]
}

/// Offers the peer's version to a host.
fn read_peer(hosts: &mut [Newest<u64>], host: usize, peer: usize) {
    if let Some(version) = hosts[peer].version() {
        let value = *hosts[peer].get().expect("a version has a value");
        hosts[host].offer(version, value);
    }
}

proptest! {
    #[test]
    fn versions_never_decrease_and_reach_all_hosts(
        events in prop::collection::vec(event(), 1..150),
        order in Just((0..HOSTS).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut accepted = vec![1u64];
        let mut hosts: Vec<Newest<u64>> = vec![Newest::default(); HOSTS];
        let mut is_refused = [false; HOSTS];
        for event in events {
            let before: Vec<_> = hosts.iter().map(Newest::version).collect();
            let mut restarted = None;
            match event {
                Event::Accept(steps) => accepted.push(accepted[accepted.len() - 1] + steps),
                Event::Read { host, behind } if !is_refused[host] => {
                    let version = accepted[accepted.len() - 1 - behind.min(accepted.len() - 1)];
                    hosts[host].offer(version, version);
                }
                Event::Read { .. } => {}
                Event::ReadPeer { host, peer } => read_peer(&mut hosts, host, peer),
                Event::Restart(host) => {
                    hosts[host] = Newest::default();
                    restarted = Some(host);
                }
                Event::Refuse { host, refused } => is_refused[host] = refused,
            }
            for (host, known) in hosts.iter().enumerate() {
                prop_assert_eq!(known.get().copied(), known.version(), "value and version differ");
                prop_assert!(restarted == Some(host) || known.version() >= before[host]);
            }
        }
        // Without further changes, hosts that reach the store read it, and all hosts
        // repeatedly read two peers.
        is_refused[order[0]] = false;
        let newest = *accepted.last().expect("at least one version exists");
        (0..HOSTS).filter(|&host| !is_refused[host]).for_each(|host| {
            hosts[host].offer(newest, newest);
        });
        for _ in 0..HOSTS {
            for (index, &host) in order.iter().enumerate() {
                read_peer(&mut hosts, host, order[(index + 1) % HOSTS]);
                read_peer(&mut hosts, host, order[(index + 2) % HOSTS]);
            }
        }
        prop_assert!(hosts.iter().all(|known| known.version() == Some(newest)));
    }
}
