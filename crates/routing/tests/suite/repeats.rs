//! Any window of any service stays within its allowance of repeats, over all hosts.

use hollowsail_fleet::quota;
use hollowsail_routing::repeats::{
    RepeatBudget, RepeatReason, RetiredUnits, Share, TrackedSend, Work,
};
use hollowsail_routing::Millis;
use proptest::collection::vec;
use proptest::prelude::*;

use crate::repeat_windows::{WorstWindow, RULES};

/// What callers and targets of one service see.
#[derive(Debug, Default)]
struct Seen {
    requests: Vec<Millis>,
    repeats: Vec<Millis>,
}

impl Seen {
    /// Greatest excess of repeats over what is allowed, in all windows. All times are in order.
    fn worst_excess(&self, extra: f64) -> f64 {
        WorstWindow::of(&self.requests, &self.repeats, extra).excess()
    }
}

/// Units of the allowance that each of some hosts holds.
fn share(extra: f64, hosts: usize) -> f64 {
    quota::target(extra as u32, hosts) as f64
}

/// A process of a host.
#[derive(Default)]
struct Process {
    budget: RepeatBudget,
}

impl Process {
    /// Number of repeats that are granted, at most `wanted`.
    fn repeat(&mut self, now: Millis, wanted: usize, share: f64) -> usize {
        let mut repeat = || {
            self.budget.repeat(
                now,
                RULES,
                share,
                RepeatReason::AttemptFailed,
                &Work::default(),
            )
        };
        let granted = (0..wanted).take_while(|_| repeat().is_some());
        granted.count()
    }

    fn request(&mut self, now: Millis) {
        let _permit = self.budget.first_of_request(now, now, RULES);
    }
}

#[test]
fn a_fleet_of_any_size_that_fails_everything_stays_within_the_allowance() {
    for (hosts, extra) in [(1, 50.0), (8, 56.0), (9, 58.0), (78, 162.0), (986, 1_040.0)] {
        let mut processes: Vec<Process> = (0..hosts).map(|_| Process::default()).collect();
        let mut seen = Seen::default();
        // Everything is well, then nothing is.
        for second in 0..40 {
            let now = 20_000 + second * 1_000;
            for process in &mut processes {
                process.request(now);
                let share = share(extra, hosts);
                let wanted = if second < 15 { 0 } else { 9 };
                let granted = process.repeat(now, wanted, share);
                seen.requests.push(now);
                seen.repeats.extend(std::iter::repeat_n(now, granted));
            }
        }
        let excess = seen.worst_excess(extra);
        assert!(excess <= 0.0, "{excess} too many at {hosts} hosts");
        let used = seen.repeats.len() as f64 / (0.1 * seen.requests.len() as f64);
        assert!(
            used > 0.5,
            "{used} of what requests earned at {hosts} hosts"
        );
    }
}

#[test]
fn a_host_alone_keeps_to_its_share() {
    let mut process = Process::default();
    let share = share(56.0, 8);
    assert_eq!(
        process.repeat(20_000, 100, share),
        4,
        "0.6 of 56, by 8 hosts"
    );
    assert_eq!(process.repeat(31_200, 100, share), 0);
    assert_eq!(
        process.repeat(31_201, 100, share),
        4,
        "a window later, also on a clock that is fast by a hundredth"
    );
}

#[test]
fn requests_earn_for_one_window() {
    let mut process = Process::default();
    (0..100).for_each(|_| process.request(20_000));
    assert_eq!(process.repeat(25_000, 4, 1.0), 4);
    assert_eq!(process.repeat(29_001, 100, 1.0), 0, "the rest has expired");
}

#[test]
fn earnings_free_the_share_of_repeats_that_have_settled() {
    let mut process = Process::default();
    (0..14).for_each(|_| process.request(20_000));
    assert_eq!(process.repeat(20_000, 9, 1.0), 2, "1.4 are earned");
    assert_eq!(
        process.repeat(20_000, 9, 1.6),
        1,
        "of the share 0.6 is charged"
    );
}

// Guards against repeats that requests have earned, and that arrive when these don't count any more.
#[test]
fn repeats_that_may_still_arrive_are_covered_by_the_share() {
    let mut budget = RepeatBudget::default();
    (0..100).for_each(|_| drop(budget.first_of_request(20_000, 20_000, RULES)));
    let mut sent = Vec::new();
    for _ in 0..9 {
        let reason = RepeatReason::AttemptFailed;
        let granted = budget.repeat(20_000, RULES, 4.0, reason, &Work::default());
        sent.extend(granted.inspect(|permit| permit.send().begin(20_000, false)));
    }
    assert_eq!(sent.len(), 4);
    sent.iter().for_each(|permit| permit.send().settle());
    assert!(
        budget.left(20_001, RULES, 4.0) >= 4.0,
        "earnings cover them"
    );
}

#[test]
fn share_ends_with_the_time_for_which_its_units_are_held() {
    let mut share = Share::default();
    assert_eq!(share.at(0), 0.0);
    share.set_units(4, 20_000);
    assert_eq!((share.at(19_999), share.at(20_000)), (4.0, 0.0));
}

// Guards against units that somebody else uses in a window in which this process has used them.
#[test]
fn share_keeps_units_that_repeats_are_charged_to() {
    let mut share = Share::default();
    share.set_units(4, 20_000);
    share.raise_charged(1.2, 0);
    share.raise_charged(0.5, 0);
    assert_eq!((share.give_up(9), share.at(0)), (2, 2.0));
    share.set_charged(0.0, 0);
    assert_eq!((share.give_up(9), share.at(0)), (2, 0.0));
}

// Guards against units of repeats that were granted since the charges were updated.
#[test]
fn share_of_a_process_that_ends_keeps_units_of_its_last_repeats() {
    let mut share = Share::default();
    share.set_units(6, 20_000);
    share.set_charged(1.0, 0);
    share.raise_charged(3.0, 2);
    let RetiredUnits { spare, settled } = share.retire();
    assert_eq!((spare, settled), (3, 1));
}

// Guards against units that are free again while sends of a process that has ended may still arrive.
#[test]
fn share_of_a_process_that_ends_keeps_units_of_unsettled_sends() {
    let mut share = Share::default();
    share.set_units(6, 20_000);
    share.set_charged(3.5, 1);
    let RetiredUnits { spare, settled } = share.retire();
    assert_eq!((spare, settled, share.at(0)), (2, 3, 0.0));
}

#[test]
fn hedges_leave_half_of_the_share() {
    let mut budget = RepeatBudget::default();
    let mut granted = |reason| {
        let repeat = || budget.repeat(20_000, RULES, 8.0, reason, &Work::default());
        std::iter::from_fn(repeat).take(20).count()
    };
    assert_eq!(granted(RepeatReason::CallOverdue), 4);
    assert_eq!(granted(RepeatReason::CallFailed), 4);
}

/// A request whose first send is given up, and is repeated if the budget permits that. Returns the
/// abandoned send; the repeat is answered at once.
fn repeat_abandoned(budget: &mut RepeatBudget, now: Millis, share: f64) -> Option<TrackedSend> {
    let first = budget.first_of_request(now, now, RULES);
    let (work, abandoned) = (first.work().clone(), first.send().clone());
    abandoned.begin(now, false);
    abandoned.abandon(now);
    let repeat = budget.repeat(now, RULES, share, RepeatReason::AttemptFailed, &work)?;
    repeat.send().begin(now, false);
    repeat.send().settle();
    Some(abandoned)
}

/// A step of a run with a target that stands still.
#[derive(Debug, Clone, Copy)]
enum LateStep {
    Wait(Millis),
    Requests(usize),
    /// At most this many repeats of requests that failed at once.
    Repeats(usize),
    /// At most this many repeats of requests that the target hasn't read.
    Abandoned(usize),
    /// The target reads everything, and closes the connections.
    Resume,
    /// It reads everything; its answers to later requests show that.
    Answer,
}

fn late_steps() -> impl Strategy<Value = Vec<(usize, LateStep)>> {
    let step = prop_oneof![
        4 => (1..4_000u64).prop_map(LateStep::Wait),
        3 => (1..40usize).prop_map(LateStep::Requests),
        2 => (1..20usize).prop_map(LateStep::Repeats),
        4 => (1..20usize).prop_map(LateStep::Abandoned),
        1 => Just(LateStep::Resume),
        1 => Just(LateStep::Answer),
    ];
    vec((0..9usize, step), 1..120)
}

proptest! {
    /// Guards against charges that expire before the abandoned send has arrived.
    #[test]
    fn sends_that_arrive_in_any_later_window_stay_within_the_allowance(
        steps in late_steps(),
        hosts in 1..10usize,
        extra in prop_oneof![Just(0.0), Just(5.0), Just(56.0), Just(162.0)],
    ) {
        let mut now = 20_000;
        let mut seen = Seen::default();
        let mut processes: Vec<Process> = (0..hosts).map(|_| Process::default()).collect();
        let mut unread: Vec<TrackedSend> = Vec::new();
        for (host, step) in steps {
            let process = &mut processes[host % hosts];
            let share = share(extra, hosts);
            match step {
                LateStep::Wait(ms) => now += ms,
                LateStep::Requests(count) => {
                    (0..count).for_each(|_| process.request(now));
                    seen.requests.extend(std::iter::repeat_n(now, count));
                }
                LateStep::Repeats(wanted) => {
                    let granted = process.repeat(now, wanted, share);
                    seen.repeats.extend(std::iter::repeat_n(now, granted));
                }
                LateStep::Abandoned(wanted) => {
                    let budget = &mut process.budget;
                    seen.requests.extend(std::iter::repeat_n(now, wanted));
                    unread.extend((0..wanted).filter_map(|_| repeat_abandoned(budget, now, share)));
                }
                LateStep::Resume => {
                    unread.iter().for_each(TrackedSend::settle);
                    seen.repeats.extend(unread.drain(..).map(|_| now));
                }
                LateStep::Answer => {
                    now += 1;
                    unread.iter().for_each(|send| send.target_answered(now));
                    seen.repeats.extend(unread.drain(..).map(|_| now));
                }
            }
        }
        seen.repeats.sort();
        prop_assert!(seen.worst_excess(extra) <= 0.001, "{seen:?}");
    }
}

// Guards against a share that is used up for a minute by work whose first sends may still arrive.
#[test]
fn repeats_of_unread_work_leave_a_part_of_the_share() {
    let mut budget = RepeatBudget::default();
    let unread = (0..9).filter_map(|_| repeat_abandoned(&mut budget, 20_000, 4.0));
    let unread: Vec<TrackedSend> = unread.collect();
    assert_eq!(unread.len(), 2);
    let reason = RepeatReason::CallFailed;
    let failed = budget.repeat(20_001, RULES, 4.0, reason, &Work::default());
    assert!(failed.is_some());
}

// Guards against repeats for which a charge counts that has just been released.
#[test]
fn each_repeat_of_the_same_work_is_charged() {
    let mut budget = RepeatBudget::default();
    let work = Work::default();
    let mut repeat = || {
        let permit = budget.repeat(20_000, RULES, 2.0, RepeatReason::AttemptFailed, &work)?;
        permit.send().begin(20_000, false);
        permit.send().settle();
        Some(())
    };
    assert_eq!((0..9).filter_map(|_| repeat()).count(), 2);
}

#[test]
fn repeats_of_sends_that_targets_close_at_once_cost_what_they_did() {
    let mut budget = RepeatBudget::default();
    (0..100).for_each(|_| drop(budget.first_of_request(20_000, 20_000, RULES)));
    let repeats = (0..200).filter(|_| {
        let abandoned = repeat_abandoned(&mut budget, 20_000, 4.0);
        abandoned.inspect(TrackedSend::settle).is_some()
    });
    // 100 requests earn 10, the others that are made here up to 30 more, and 4 are of the share.
    assert!((14..=34).contains(&repeats.count()));
}

#[test]
fn permits_that_wait_hold_their_charge() {
    let mut budget = RepeatBudget::default();
    let work = Work::default();
    let reason = RepeatReason::CallFailed;
    let waiting = budget.repeat(20_000, RULES, 4.0, reason, &work);
    let late = 20_000 + 3 * RULES.window_ms;
    assert!(budget.left(late, RULES, 4.0) < 3.1 && waiting.is_some());
    drop(waiting);
    let left = budget.left(late + 1, RULES, 4.0);
    assert!(left < 3.1, "it may have been sent until now: {left}");
    assert!(budget.left(late + 2 * RULES.window_ms, RULES, 4.0) >= 4.0);
}

// Guards against a process that stands still between a grant and the send.
#[test]
fn charge_of_a_repeat_that_is_sent_late_lasts_a_window_from_the_send() {
    let mut budget = RepeatBudget::default();
    let work = Work::default();
    let reason = RepeatReason::CallFailed;
    let permit = budget.repeat(20_000, RULES, 4.0, reason, &work);
    let sent_at = 20_000 + 2 * RULES.window_ms;
    let send = permit.as_ref().expect("the share covers it").send();
    send.begin(sent_at, false);
    send.settle();
    let last = sent_at + RULES.window_ms;
    assert!(budget.left(last, RULES, 4.0) < 3.1);
    assert!(budget.left(last + 2 * RULES.window_ms, RULES, 4.0) >= 4.0);
}
