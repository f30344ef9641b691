//! Model-based test of membership under lost messages, pauses, restarts and stops.
//!
//! Stops, revisions and versions must never decrease in any view. After the network heals, all
//! running entries must list exactly each other.

use std::net::SocketAddr;

use hollowsail_fleet::{member, Fleet, FleetTiming, Health, Member, Output, Stopping};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const ENTRIES: usize = 5;
const TIMING: FleetTiming = FleetTiming {
    tick_ms: 100,
    suspect_ms: 400,
    forget_ms: 60_000,
    rejoin_ticks: 3,
};

#[derive(Debug, Clone)]
enum Step {
    /// The entry ticks; its exchange has this result.
    Tick {
        node: usize,
        delivery: Delivery,
    },
    Wait {
        ms: u64,
    },
    /// Crashes and restarts with a new incarnation at the same address.
    Restart {
        node: usize,
    },
    /// Doesn't answer until it ticks again.
    Pause {
        node: usize,
    },
    Revision {
        node: usize,
        revision: u64,
    },
    Leave {
        node: usize,
    },
    Left {
        node: usize,
        successor: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Delivery {
    Exchanged,
    RequestLost,
    ReplyLost,
}

#[derive(Debug, Clone)]
struct StepSequence;

impl ReferenceStateMachine for StepSequence {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let node = 0..ENTRIES;
        let delivery = prop_oneof![
            6 => Just(Delivery::Exchanged),
            1 => Just(Delivery::RequestLost),
            1 => Just(Delivery::ReplyLost),
        ];
        prop_oneof![
            20 => (node.clone(), delivery).prop_map(|(node, delivery)| Step::Tick { node, delivery }),
            6 => (0u64..300).prop_map(|ms| Step::Wait { ms }),
            1 => node.clone().prop_map(|node| Step::Restart { node }),
            2 => node.clone().prop_map(|node| Step::Pause { node }),
            2 => (node.clone(), 0u64..20)
                .prop_map(|(node, revision)| Step::Revision { node, revision }),
            1 => node.clone().prop_map(|node| Step::Leave { node }),
            1 => (node.clone(), node)
                .prop_map(|(node, successor)| Step::Left { node, successor }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

struct Node {
    fleet: Fleet,
    paused: bool,
    /// Has stopped and doesn't answer.
    left: bool,
}

struct Cluster {
    now: u64,
    rng: SmallRng,
    next_incarnation: u64,
    nodes: Vec<Node>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + node as u16))
}

fn new_node(node: usize, incarnation: u64) -> Node {
    let own = Member {
        incarnation,
        name: format!("entry-{node}"),
        hall: "a".into(),
        peer: address(node),
        version: 0,
        health: Health::Alive,
        stopping: Stopping::No,
        successor: None,
        revision: 0,
        list_hash: 0,
    };
    Node {
        fleet: Fleet::new(own, (0..ENTRIES).map(address).collect(), TIMING),
        paused: false,
        left: false,
    }
}

impl Cluster {
    fn new() -> Cluster {
        Cluster {
            now: 0,
            rng: SmallRng::seed_from_u64(5),
            next_incarnation: ENTRIES as u64,
            nodes: (0..ENTRIES)
                .map(|node| new_node(node, node as u64))
                .collect(),
        }
    }

    fn tick(&mut self, node: usize, delivery: Delivery) {
        if self.nodes[node].left {
            return;
        }
        self.nodes[node].paused = false;
        let outputs = self.nodes[node].fleet.tick(self.now, &mut self.rng);
        for Output::Exchange(peer) in outputs {
            let other = usize::from(peer.port() - 1000);
            let lost = delivery == Delivery::RequestLost;
            if lost || self.nodes[other].paused || self.nodes[other].left || other == node {
                self.nodes[node].fleet.fail(self.now, peer);
                continue;
            }
            let request = self.nodes[node].fleet.message();
            let is_joining = request.wants_all;
            self.nodes[other].fleet.receive(self.now, request);
            let reply = self.nodes[other].fleet.reply(is_joining);
            match delivery {
                Delivery::Exchanged => self.nodes[node].fleet.receive(self.now, reply),
                _ => self.nodes[node].fleet.fail(self.now, peer),
            }
        }
    }

    fn restart(&mut self, node: usize) {
        self.nodes[node] = new_node(node, self.next_incarnation);
        self.next_incarnation += 1;
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| !node.left)
    }

    /// Ticks all entries without faults until they have converged.
    fn heal(&mut self) {
        for _ in 0..150 {
            self.now += TIMING.tick_ms;
            for node in 0..ENTRIES {
                self.tick(node, Delivery::Exchanged);
            }
        }
    }

    fn assert_converged(&self) {
        let mut running: Vec<u64> = self
            .running()
            .map(|node| node.fleet.own().incarnation)
            .collect();
        running.sort();
        let newest = self.running().map(|node| node.fleet.own().revision).max();
        for node in self.running() {
            let mut seen: Vec<u64> = node
                .fleet
                .others()
                .into_iter()
                .filter(|m| m.is_present())
                .map(|m| m.incarnation)
                .collect();
            seen.push(node.fleet.own().incarnation);
            seen.sort();
            assert_eq!(seen, running, "seen by {}", node.fleet.own().name);
            let others = node.fleet.newest_revision().map(|(revision, _)| revision);
            assert_eq!(others.max(Some(node.fleet.own().revision)), newest);
        }
    }
}

/// Incarnation, stop, revision and version of each member in one entry's view.
fn monotonic_fields(node: &Node) -> Vec<(u64, Stopping, u64, u32)> {
    node.fleet
        .others()
        .iter()
        .map(|m| (m.incarnation, m.stopping, m.revision, m.version))
        .collect()
}

struct MembershipTest;

impl StateMachineTest for MembershipTest {
    type SystemUnderTest = Cluster;
    type Reference = StepSequence;

    fn init_test(_: &()) -> Cluster {
        Cluster::new()
    }

    fn apply(mut cluster: Cluster, _: &(), step: Step) -> Cluster {
        let before: Vec<_> = cluster.nodes.iter().map(monotonic_fields).collect();
        let incarnations: Vec<_> = cluster
            .nodes
            .iter()
            .map(|node| node.fleet.own().incarnation)
            .collect();
        match step {
            Step::Tick { node, delivery } => cluster.tick(node, delivery),
            Step::Wait { ms } => cluster.now += ms,
            Step::Restart { node } => cluster.restart(node),
            Step::Pause { node } => cluster.nodes[node].paused = true,
            Step::Revision { node, revision } => cluster.nodes[node].fleet.set_revision(revision),
            Step::Leave { node } => cluster.nodes[node]
                .fleet
                .set_stopping(Stopping::Leaving, None),
            Step::Left { node, successor } => {
                // Entry 0 always stays, so that the fleet isn't empty.
                if node != 0 && !cluster.nodes[node].left {
                    let successor = cluster.nodes[successor].fleet.own().incarnation;
                    let stopped = &mut cluster.nodes[node];
                    stopped.fleet.set_stopping(Stopping::Left, Some(successor));
                    let last_message = stopped.fleet.message();
                    stopped.left = true;
                    let now = cluster.now;
                    for other in cluster
                        .nodes
                        .iter_mut()
                        .filter(|node| !node.left && !node.paused)
                    {
                        other.fleet.receive(now, last_message.clone());
                    }
                }
            }
        }
        for (index, node) in cluster.nodes.iter().enumerate() {
            if node.fleet.own().incarnation != incarnations[index] {
                continue;
            }
            let after = monotonic_fields(node);
            for (incarnation, stopping, revision, version) in &before[index] {
                let Some(now) = after.iter().find(|m| m.0 == *incarnation) else {
                    continue;
                };
                assert!(now.1 >= *stopping, "a stop decreased");
                assert!(now.2 >= *revision, "a revision decreased");
                assert!(now.3 >= *version, "a version decreased");
            }
        }
        cluster
    }

    fn teardown(mut cluster: Cluster) {
        cluster.heal();
        cluster.assert_converged();
    }
}

prop_state_machine! {
    #![proptest_config(crate::config(31))]
    #[test]
    fn views_never_regress_and_converge(sequential 1..120 => MembershipTest);
}

fn member(incarnation: u64, stopping: Stopping, successor: Option<u64>) -> Member {
    let mut member = new_node(0, incarnation).fleet.own().clone();
    member.stopping = stopping;
    member.successor = successor;
    member
}

#[test]
fn successor_chain_resolves_and_cycle_ends() {
    let members = [
        member(1, Stopping::Left, Some(2)),
        member(2, Stopping::Left, Some(3)),
        member(3, Stopping::Leaving, None),
        member(4, Stopping::Left, None),
        member(5, Stopping::Left, Some(6)),
        member(6, Stopping::Left, Some(5)),
    ];
    let find = |incarnation| {
        members
            .iter()
            .find(|m: &&Member| m.incarnation == incarnation)
    };
    let resolve = |issuer| member::resolve_issuer(issuer, find).map(|m| m.incarnation);
    assert_eq!(resolve(1), Some(3));
    assert_eq!(resolve(3), Some(3));
    assert_eq!(resolve(4), None);
    assert_eq!(resolve(5), None);
    assert_eq!(resolve(9), None);
}

#[test]
fn joining_entry_receives_all_departed_members() {
    let mut old = new_node(0, 1).fleet;
    for incarnation in 10..60 {
        let mut left = member(incarnation, Stopping::Left, Some(1));
        left.peer = address(incarnation as usize);
        let mut last_message = old.message();
        last_message.from = left;
        last_message.members = Vec::new();
        old.receive(0, last_message);
    }
    // Until no record is new any more.
    (0..200).for_each(|_| drop(old.message()));
    let mut joining = new_node(1, 2).fleet;
    let request = joining.message();
    assert!(request.wants_all && !joining.has_joined());
    old.receive(1, request);
    joining.receive(1, old.reply(true));
    assert!(joining.has_joined() && !joining.message().wants_all);
    assert_eq!(joining.others().len(), 51);
}

#[test]
fn new_process_ends_predecessor_at_address() {
    let mut peer = new_node(1, 7).fleet;
    let mut first = new_node(0, 1).fleet;
    peer.receive(0, first.message());
    let mut second = new_node(0, 2).fleet;
    peer.receive(1, second.message());
    let health = |incarnation| {
        let others = peer.others();
        let found = others.iter().find(|m| m.incarnation == incarnation);
        found.expect("the member is known").health
    };
    assert_eq!(health(1), Health::Dead);
    assert_eq!(health(2), Health::Alive);
}
