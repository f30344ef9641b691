//! Model of many processes that share an allowance of repeats through the store.
//!
//! Whatever joins, kills, stops, pauses, cuts, restores, lost answers, wrong beliefs about other hosts and
//! late arrivals come, in whatever order: no window has more repeats than are allowed, counted by what
//! targets receive. [`Defect`]s show that the search finds what was wrong before.

mod arrivals;
mod incidents;
mod pieces;
mod search;
mod store;
mod world;

use hollowsail_fleet::QuotaTiming;
use hollowsail_routing::repeats::LOST_MS;
use proptest::collection::vec;
use proptest::prelude::*;

use self::store::Link;
use self::world::World;
use crate::config_of_many;
use crate::repeat_windows::{WorstWindow, RULES};

type Millis = u64;

const TIMING: QuotaTiming = QuotaTiming {
    use_ms: 20_000,
    window_ms: RULES.window_ms + RULES.arrival_ms,
    settle_ms: LOST_MS + RULES.window_ms + RULES.arrival_ms,
    extend_ms: 6_000,
};

/// Sequences for each case of a usual property, since a fault shows in few of them.
const SEQUENCES: u32 = 16;

/// What was wrong once, or could be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    /// Each process takes a part of the whole by the hosts that run now.
    SharedByKnownHosts,
    /// What a killed process used isn't remembered.
    LeaseEndsWithProcess,
    /// Units are claimed at a restored store as at any other.
    RestoresIgnored,
    /// A send that was given up counts as gone.
    AbandonedIsGone,
    /// Units are used after their lease may have ended.
    UsedWithoutLease,
    /// Units are given up although a window still has repeats of theirs.
    ChargedUnitsGivenUp,
    /// Writes don't depend on what the store has.
    UnguardedWrites,
    /// A process charges more than its units cover when somebody else may repeat its work.
    UncoveredCharges,
    /// What a process had sent that has ended counts as read.
    EndedIsSettled,
    /// What a process had that is in touch again counts as read.
    HeardIsSettled,
    /// A permit is used whenever its process goes on.
    PermitsLast,
    /// A process says that it sends a piece only after it did.
    LateNotices,
    /// Requests earn from when they are read.
    ReadIsSent,
}

/// Requests, and how their attempts fare.
#[derive(Debug, Clone, Copy)]
struct Press {
    requests: usize,
    /// Repeats that are wanted for each.
    repeats: u32,
    /// Attempts, by bit, that targets leave unread.
    unread: u8,
    /// How late the others arrive.
    late_ms: Millis,
    /// The last permits are used only when the process goes on after a pause.
    permits_wait: bool,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Wait(Millis),
    Start(usize),
    Kill(usize),
    Stop(usize),
    Pause(usize),
    Resume(usize),
    /// A round, beside those at regular intervals.
    Round(usize),
    /// A host takes this many hosts to exist.
    Believe(usize, usize),
    SetLink(usize, Link),
    SetStore(bool),
    /// The store goes back by this time; its leases run anew, or are gone.
    Restore(Millis, bool),
    Press(usize, Press),
    /// Targets read what they haven't read.
    ReadAll,
    /// The first host has the second one send this many pieces.
    Pass(usize, usize, usize),
    /// A host sends the pieces that it has for others; targets read them, or stand still.
    SendPassed(usize, bool),
    /// A host stops waiting for targets that stand still.
    GiveUp(usize),
    /// Others lose touch with a host that has their pieces.
    LoseTouch(usize),
    /// Others ask a host what has become of their pieces.
    Ask(usize),
}

fn press() -> impl Strategy<Value = Press> {
    let unread = prop_oneof![3 => Just(0u8), 1 => Just(1u8), 1 => 0..8u8];
    let late_ms = prop_oneof![Just(0), 0..=RULES.arrival_ms];
    // Many requests earn so much that the fixed allowance is never used up.
    let requests = prop_oneof![4 => 1..6usize, 1 => 6..40usize];
    let all = (
        requests,
        0..4u32,
        unread,
        late_ms,
        prop::bool::weighted(0.05),
    );
    all.prop_map(|(requests, repeats, unread, late_ms, permits_wait)| Press {
        requests,
        repeats,
        unread,
        late_ms,
        permits_wait,
    })
}

fn link() -> impl Strategy<Value = Link> {
    prop_oneof![
        3 => Just(Link::Up),
        1 => Just(Link::Down),
        2 => (0..9_000u64).prop_map(|late_ms| Link::Mute { late_ms }),
    ]
}

/// Events that follow each other closely, or with waits in which leases and windows end.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let dense = (1..900u64).prop_map(Step::Wait).boxed();
    let sparse = prop_oneof![
        6 => 1..3_000u64,
        2 => 3_000..30_000u64,
        1 => 30_000..120_000u64,
    ];
    let sparse = sparse.prop_map(Step::Wait).boxed();
    let gap = (20_000..180_000u64).prop_map(|ms| vec![Step::Wait(ms)]);
    let with_gap = (
        vec(step(dense.clone()), 1..60),
        gap,
        vec(step(dense.clone()), 1..60),
    );
    prop_oneof![
        vec(step(dense), 1..120),
        vec(step(sparse), 1..120),
        with_gap.prop_map(|(before, gap, after)| [before, gap, after].concat()),
    ]
}

fn step(wait: BoxedStrategy<Step>) -> impl Strategy<Value = Step> {
    let host = || 0..12usize;
    prop_oneof![
        10 => wait,
        6 => host().prop_map(Step::Start),
        3 => host().prop_map(Step::Kill),
        2 => host().prop_map(Step::Stop),
        1 => host().prop_map(Step::Pause),
        2 => host().prop_map(Step::Resume),
        3 => host().prop_map(Step::Round),
        2 => (host(), 1..14usize).prop_map(|(host, count)| Step::Believe(host, count)),
        2 => (host(), link()).prop_map(|(host, link)| Step::SetLink(host, link)),
        1 => prop::bool::weighted(0.7).prop_map(Step::SetStore),
        1 => (0..40_000u64, any::<bool>()).prop_map(|(lost, keeps)| Step::Restore(lost, keeps)),
        14 => (host(), press()).prop_map(|(host, press)| Step::Press(host, press)),
        2 => Just(Step::ReadAll),
        4 => (host(), host(), 1..9usize).prop_map(|(from, to, count)| Step::Pass(from, to, count)),
        4 => (host(), prop::bool::weighted(0.7)).prop_map(|(host, still)| Step::SendPassed(host, still)),
        2 => host().prop_map(Step::GiveUp),
        2 => host().prop_map(Step::LoseTouch),
        2 => host().prop_map(Step::Ask),
    ]
}

fn extras() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), Just(5.0), Just(12.0), Just(56.0)]
}

/// A sequence that is played in a fleet.
#[derive(Debug, Clone)]
struct Play {
    hosts: usize,
    extra: f64,
    steps: Vec<Step>,
}

fn plays() -> impl Strategy<Value = Play> {
    let parts = (1..12usize, extras(), steps());
    parts.prop_map(|(hosts, extra, steps)| Play {
        hosts,
        extra,
        steps,
    })
}

impl Play {
    fn worst_window(&self, defect: Option<Defect>) -> WorstWindow {
        let mut world = World::new(self.hosts, self.extra, defect);
        self.steps.iter().for_each(|step| world.apply(*step));
        world.apply(Step::Wait(RULES.arrival_ms));
        world.apply(Step::ReadAll);
        world.arrivals.worst_window(self.extra)
    }
}

proptest! {
    #![proptest_config(config_of_many(83, SEQUENCES))]

    // Guards against any order of events in which processes together exceed the allowance.
    #[test]
    fn any_sequence_stays_within_the_allowance(play in plays()) {
        let worst = play.worst_window(None);
        prop_assert!(!worst.is_exceeded(), "{worst:?}");
    }
}

// The same, searched near the sequences that come nearest to the allowance.
#[test]
fn no_search_exceeds_the_allowance() {
    let (play, worst) = search::nearest(None);
    println!("nearest: {worst:?}");
    assert!(
        !worst.is_exceeded(),
        "{worst:?}: {:?}",
        search::shrink(play, None)
    );
}

// Guards against repeats that are earned by requests of a window that is over.
#[test]
fn requests_read_after_a_standstill_earn_nothing() {
    let worst = incidents::stands_still().worst_window(None);
    assert!(!worst.is_exceeded(), "{worst:?}");
}

// Guards against a search that can't find what it is for.
#[test]
fn search_finds_each_defect() {
    for defect in [
        Defect::SharedByKnownHosts,
        Defect::LeaseEndsWithProcess,
        Defect::RestoresIgnored,
        Defect::AbandonedIsGone,
        Defect::UsedWithoutLease,
        Defect::ChargedUnitsGivenUp,
        Defect::UnguardedWrites,
        Defect::UncoveredCharges,
        Defect::EndedIsSettled,
        Defect::HeardIsSettled,
        Defect::PermitsLast,
        Defect::LateNotices,
        Defect::ReadIsSent,
    ] {
        let (play, worst) = search::nearest(Some(defect));
        println!("{defect:?}: {worst:?}");
        assert!(
            worst.is_exceeded(),
            "{defect:?} isn't found: {worst:?}: {play:#?}"
        );
    }
}
