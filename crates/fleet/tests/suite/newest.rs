//! Versions that spread from the store and between peers, in any order.

use hollowsail_fleet::Newest;
use proptest::prelude::*;

#[test]
fn only_a_higher_version_replaces_what_is_held() {
    let mut newest = Newest::default();
    assert_eq!((newest.version(), newest.get()), (None, None));
    assert!(newest.offer(0, "first"), "version 0 is one");
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
    /// The operators' next version, some steps above the last.
    Accept(u64),
    /// A host reads the store, or hears an old answer of it: so many versions back.
    Read { host: usize, back: usize },
    /// A host takes what a peer holds.
    AskPeer { host: usize, peer: usize },
    /// A host loses what it holds.
    Restart(usize),
    /// The store turns the host away, or serves it again.
    Turn { host: usize, away: bool },
}

fn event() -> impl Strategy<Value = Event> {
    let host = 0..HOSTS;
    prop_oneof![
        2 => (1u64..9).prop_map(Event::Accept),
        4 => (host.clone(), 0usize..3).prop_map(|(host, back)| Event::Read { host, back }),
        4 => (host.clone(), host.clone()).prop_map(|(host, peer)| Event::AskPeer { host, peer }),
        1 => host.clone().prop_map(Event::Restart),
        1 => (host, any::<bool>()).prop_map(|(host, away)| Event::Turn { host, away }),
    ]
}

/// A host takes over what a peer holds; tells the peer's version.
fn ask(hosts: &mut [Newest<u64>], host: usize, peer: usize) {
    if let Some(version) = hosts[peer].version() {
        let told = *hosts[peer].get().expect("a version has a value");
        hosts[host].offer(version, told);
    }
}

proptest! {
    #[test]
    fn versions_never_go_back_and_reach_everybody(
        events in prop::collection::vec(event(), 1..150),
        order in Just((0..HOSTS).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut accepted = vec![1u64];
        let mut hosts: Vec<Newest<u64>> = vec![Newest::default(); HOSTS];
        let mut turned_away = [false; HOSTS];
        for event in events {
            let before: Vec<_> = hosts.iter().map(Newest::version).collect();
            let mut restarted = None;
            match event {
                Event::Accept(steps) => accepted.push(accepted[accepted.len() - 1] + steps),
                Event::Read { host, back } if !turned_away[host] => {
                    let version = accepted[accepted.len() - 1 - back.min(accepted.len() - 1)];
                    hosts[host].offer(version, version);
                }
                Event::Read { .. } => {}
                Event::AskPeer { host, peer } => ask(&mut hosts, host, peer),
                Event::Restart(host) => {
                    hosts[host] = Newest::default();
                    restarted = Some(host);
                }
                Event::Turn { host, away } => turned_away[host] = away,
            }
            for (host, known) in hosts.iter().enumerate() {
                prop_assert_eq!(known.get().copied(), known.version(), "value and version belong together");
                prop_assert!(restarted == Some(host) || known.version() >= before[host]);
            }
        }
        // Quiet from here: whoever reaches the store reads it, the others ask
        // two peers each, again and again, as long as one knows.
        turned_away[order[0]] = false;
        let newest = *accepted.last().expect("there is one");
        (0..HOSTS).filter(|&host| !turned_away[host]).for_each(|host| {
            hosts[host].offer(newest, newest);
        });
        for _ in 0..HOSTS {
            for (at, &host) in order.iter().enumerate() {
                ask(&mut hosts, host, order[(at + 1) % HOSTS]);
                ask(&mut hosts, host, order[(at + 2) % HOSTS]);
            }
        }
        prop_assert!(hosts.iter().all(|known| known.version() == Some(newest)));
    }
}
