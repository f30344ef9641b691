//! Stateful fuzzing of membership: entries that exchange over a network that
//! loses messages, and that pause, die, restart and stop.
//!
//! Oracle: who really runs, what each has announced, and the highest revision.
//! While it goes on, nothing that is announced is taken back. At the end the
//! network heals, and all that run know each other and nothing else.

use std::net::SocketAddr;

use hollowsail_fleet::{member, Fleet, FleetTiming, Health, Member, Output, Stopping};
use proptest::prelude::*;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};
use rand::rngs::SmallRng;
use rand::SeedableRng;

const PLACES: usize = 5;
const TIMING: FleetTiming = FleetTiming {
    tick_ms: 100,
    suspect_ms: 400,
    forget_ms: 60_000,
    reach_out_ticks: 3,
};

#[derive(Debug, Clone)]
enum Step {
    /// The entry ticks; its exchange meets this fate.
    Tick {
        place: usize,
        fate: Fate,
    },
    Wait {
        ms: u64,
    },
    /// Dies and starts anew under a new incarnation at the same address.
    Restart {
        place: usize,
    },
    /// Answers nobody until it ticks again.
    Pause {
        place: usize,
    },
    Revision {
        place: usize,
        revision: u64,
    },
    Leave {
        place: usize,
    },
    Left {
        place: usize,
        successor: usize,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Exchanged,
    RequestLost,
    ReplyLost,
}

#[derive(Debug, Clone)]
struct AnySteps;

impl ReferenceStateMachine for AnySteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let place = 0..PLACES;
        let fate = prop_oneof![
            6 => Just(Fate::Exchanged),
            1 => Just(Fate::RequestLost),
            1 => Just(Fate::ReplyLost),
        ];
        prop_oneof![
            20 => (place.clone(), fate).prop_map(|(place, fate)| Step::Tick { place, fate }),
            6 => (0u64..300).prop_map(|ms| Step::Wait { ms }),
            1 => place.clone().prop_map(|place| Step::Restart { place }),
            2 => place.clone().prop_map(|place| Step::Pause { place }),
            2 => (place.clone(), 0u64..20)
                .prop_map(|(place, revision)| Step::Revision { place, revision }),
            1 => place.clone().prop_map(|place| Step::Leave { place }),
            1 => (place.clone(), place)
                .prop_map(|(place, successor)| Step::Left { place, successor }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

struct Place {
    fleet: Fleet,
    paused: bool,
    /// Stopped for good: answers nobody.
    left: bool,
}

struct World {
    now: u64,
    rng: SmallRng,
    next_incarnation: u64,
    places: Vec<Place>,
}

fn address(place: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + place as u16))
}

fn new_place(place: usize, incarnation: u64) -> Place {
    let own = Member {
        incarnation,
        name: format!("entry-{place}"),
        hall: "a".into(),
        peer: address(place),
        version: 0,
        health: Health::Alive,
        stopping: Stopping::No,
        successor: None,
        revision: 0,
        list_hash: 0,
    };
    Place {
        fleet: Fleet::new(own, (0..PLACES).map(address).collect(), TIMING),
        paused: false,
        left: false,
    }
}

impl World {
    fn new() -> World {
        World {
            now: 0,
            rng: SmallRng::seed_from_u64(5),
            next_incarnation: PLACES as u64,
            places: (0..PLACES)
                .map(|place| new_place(place, place as u64))
                .collect(),
        }
    }

    fn tick(&mut self, place: usize, fate: Fate) {
        if self.places[place].left {
            return;
        }
        self.places[place].paused = false;
        let outputs = self.places[place].fleet.tick(self.now, &mut self.rng);
        for Output::Exchange(peer) in outputs {
            let at = usize::from(peer.port() - 1000);
            let lost = fate == Fate::RequestLost;
            if lost || self.places[at].paused || self.places[at].left || at == place {
                self.places[place].fleet.fail(self.now, peer);
                continue;
            }
            let request = self.places[place].fleet.message();
            let newcomer = request.wants_all;
            self.places[at].fleet.receive(self.now, request);
            let reply = self.places[at].fleet.reply(newcomer);
            match fate {
                Fate::Exchanged => self.places[place].fleet.receive(self.now, reply),
                _ => self.places[place].fleet.fail(self.now, peer),
            }
        }
    }

    fn restart(&mut self, place: usize) {
        self.places[place] = new_place(place, self.next_incarnation);
        self.next_incarnation += 1;
    }

    fn running(&self) -> impl Iterator<Item = &Place> {
        self.places.iter().filter(|place| !place.left)
    }

    /// No faults any more: everybody ticks for a while.
    fn heal(&mut self) {
        for _ in 0..150 {
            self.now += TIMING.tick_ms;
            for place in 0..PLACES {
                self.tick(place, Fate::Exchanged);
            }
        }
    }

    fn all_agree(&self) {
        let mut running: Vec<u64> = self.running().map(|p| p.fleet.own().incarnation).collect();
        running.sort();
        let newest = self.running().map(|p| p.fleet.own().revision).max();
        for place in self.running() {
            let mut seen: Vec<u64> = place
                .fleet
                .others()
                .into_iter()
                .filter(|m| m.is_present())
                .map(|m| m.incarnation)
                .collect();
            seen.push(place.fleet.own().incarnation);
            seen.sort();
            assert_eq!(seen, running, "seen by {}", place.fleet.own().name);
            let others = place.fleet.newest_revision().map(|(revision, _)| revision);
            assert_eq!(others.max(Some(place.fleet.own().revision)), newest);
        }
    }
}

/// What must not be taken back, by incarnation, in one entry's view.
fn announced(place: &Place) -> Vec<(u64, Stopping, u64, u32)> {
    place
        .fleet
        .others()
        .iter()
        .map(|m| (m.incarnation, m.stopping, m.revision, m.version))
        .collect()
}

struct MembershipTest;

impl StateMachineTest for MembershipTest {
    type SystemUnderTest = World;
    type Reference = AnySteps;

    fn init_test(_: &()) -> World {
        World::new()
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        let before: Vec<_> = world.places.iter().map(announced).collect();
        let incarnations: Vec<_> = world
            .places
            .iter()
            .map(|p| p.fleet.own().incarnation)
            .collect();
        match step {
            Step::Tick { place, fate } => world.tick(place, fate),
            Step::Wait { ms } => world.now += ms,
            Step::Restart { place } => world.restart(place),
            Step::Pause { place } => world.places[place].paused = true,
            Step::Revision { place, revision } => world.places[place].fleet.set_revision(revision),
            Step::Leave { place } => world.places[place]
                .fleet
                .set_stopping(Stopping::Leaving, None),
            Step::Left { place, successor } => {
                // One always stays, as an operator would see to.
                if place != 0 && !world.places[place].left {
                    let successor = world.places[successor].fleet.own().incarnation;
                    let stopped = &mut world.places[place];
                    stopped.fleet.set_stopping(Stopping::Left, Some(successor));
                    let farewell = stopped.fleet.message();
                    stopped.left = true;
                    let now = world.now;
                    for other in world.places.iter_mut().filter(|p| !p.left && !p.paused) {
                        other.fleet.receive(now, farewell.clone());
                    }
                }
            }
        }
        for (at, place) in world.places.iter().enumerate() {
            if place.fleet.own().incarnation != incarnations[at] {
                continue;
            }
            let after = announced(place);
            for (incarnation, stopping, revision, version) in &before[at] {
                let Some(now) = after.iter().find(|m| m.0 == *incarnation) else {
                    continue;
                };
                assert!(now.1 >= *stopping, "a stop was taken back");
                assert!(now.2 >= *revision, "a revision was taken back");
                assert!(now.3 >= *version, "a version was taken back");
            }
        }
        world
    }

    fn teardown(mut world: World) {
        world.heal();
        world.all_agree();
    }
}

prop_state_machine! {
    #![proptest_config(crate::config(31))]
    #[test]
    fn announcements_stay_and_the_fleet_finds_itself_again(sequential 1..120 => MembershipTest);
}

fn member(incarnation: u64, stopping: Stopping, successor: Option<u64>) -> Member {
    let mut member = new_place(0, incarnation).fleet.own().clone();
    member.stopping = stopping;
    member.successor = successor;
    member
}

#[test]
fn a_chain_of_successors_is_followed_and_a_circle_ends() {
    let members = [
        member(1, Stopping::Left, Some(2)),
        member(2, Stopping::Left, Some(3)),
        member(3, Stopping::Leaving, None),
        member(4, Stopping::Left, None),
        member(5, Stopping::Left, Some(6)),
        member(6, Stopping::Left, Some(5)),
    ];
    let find = |wanted| members.iter().find(|m: &&Member| m.incarnation == wanted);
    let answering = |issuer| member::answering(issuer, find).map(|m| m.incarnation);
    assert_eq!(answering(1), Some(3));
    assert_eq!(answering(3), Some(3));
    assert_eq!(answering(4), None);
    assert_eq!(answering(5), None);
    assert_eq!(answering(9), None);
}

#[test]
fn a_newcomer_learns_in_one_exchange_who_left_long_ago() {
    let mut old = new_place(0, 1).fleet;
    for incarnation in 10..60 {
        let mut left = member(incarnation, Stopping::Left, Some(1));
        left.peer = address(incarnation as usize);
        let mut farewell = old.message();
        farewell.from = left;
        farewell.members = Vec::new();
        old.receive(0, farewell);
    }
    // Long ago: nothing of it is news any more.
    (0..200).for_each(|_| drop(old.message()));
    let mut newcomer = new_place(1, 2).fleet;
    let hello = newcomer.message();
    assert!(hello.wants_all && !newcomer.has_joined());
    old.receive(1, hello);
    newcomer.receive(1, old.reply(true));
    assert!(newcomer.has_joined() && !newcomer.message().wants_all);
    assert_eq!(newcomer.others().len(), 51);
}

#[test]
fn a_new_process_at_an_address_ends_the_earlier_one_at_once() {
    let mut peer = new_place(1, 7).fleet;
    let mut first = new_place(0, 1).fleet;
    peer.receive(0, first.message());
    let mut second = new_place(0, 2).fleet;
    peer.receive(1, second.message());
    let health = |incarnation| {
        let others = peer.others();
        let found = others.iter().find(|m| m.incarnation == incarnation);
        found.expect("it is known").health
    };
    assert_eq!(health(1), Health::Dead);
    assert_eq!(health(2), Health::Alive);
}
