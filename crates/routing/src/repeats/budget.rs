//! The repeats of one service that one process may send.

use std::collections::VecDeque;

use super::charges::Charges;
use super::{RepeatReason, SendPermit, Work};
use crate::Millis;

/// Part of the allowed ratio that a request earns. What is earned in one window may be spent in the
/// next, so that a window may have repeats that the requests of two windows earned.
const EARNED_PART: f64 = 0.5;
/// Part of the share that hedges may not use.
const KEPT_FROM_HEDGES: f64 = 0.5;
/// Part of the share for work whose earlier sends may still arrive. Such a charge may last for a minute,
/// and other repeats have to be covered meanwhile.
const UNREAD_PART: f64 = 0.65;
/// Number of steps of a window in which earnings are added up.
const STEPS_PER_WINDOW: Millis = 50;
/// How much longer than a window a charge lasts, as part of it: clocks of hosts and targets differ by up to a
/// hundredth.
const CLOCK_TOLERANCE: f64 = 0.02;
/// Allows for rounding in sums of fractions.
const ROUNDING: f64 = 1e-9;

/// Bounds of the repeats of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetRules {
    /// Repeats for each request, 0 to 1.
    pub ratio: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: Millis,
    /// How much later than it is sent work may arrive, in milliseconds.
    pub arrival_ms: Millis,
}

impl BudgetRules {
    /// True while a request that was sent at `at` covers repeats that are sent now.
    fn is_earned(&self, now: Millis, at: Millis) -> bool {
        at + self.window_ms.saturating_sub(self.arrival_ms) >= now
    }

    /// How long a repeat is charged after it has arrived, in milliseconds.
    pub(super) fn charge_ms(&self) -> Millis {
        (self.window_ms as f64 * (1.0 + CLOCK_TOLERANCE)) as Millis
    }
}

/// What was earned in a part of a window, and when the first of it was.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Step {
    first: Millis,
    amount: f64,
}

/// Grants repeats from the process's share of the fixed allowance. What requests have earned in the last
/// window covers repeats once their sends have settled, so that the share is free again.
#[derive(Debug, Clone, Default)]
pub struct RepeatBudget {
    /// What requests earned and no repeat has spent.
    earned: VecDeque<Step>,
    charges: Charges,
}

impl RepeatBudget {
    /// Permits the first send of a request of a caller, and counts the request in the window that
    /// begins at `sent_after`, the earliest time at which the caller may have sent it.
    pub fn first_of_request(
        &mut self,
        now: Millis,
        sent_after: Millis,
        rules: BudgetRules,
    ) -> SendPermit {
        self.update(now, rules);
        let at = sent_after.min(now);
        if rules.is_earned(now, at) {
            self.earn(at, rules, rules.ratio * EARNED_PART);
        }
        SendPermit::new(now, &Work::default())
    }

    /// Permits the first send of a piece of a stage, which is no request of a caller.
    pub fn first_of_piece(now: Millis) -> SendPermit {
        SendPermit::new(now, &Work::default())
    }

    /// Permits `work` to be sent once more; `None` if `share` doesn't cover it. Hedges leave half of the
    /// share to repeats of what has failed. Whatever requests have earned, a send that isn't settled yet
    /// may arrive in a window without requests, so that the share has to cover it until then.
    pub fn repeat(
        &mut self,
        now: Millis,
        rules: BudgetRules,
        share: f64,
        reason: RepeatReason,
        work: &Work,
    ) -> Option<SendPermit> {
        let kept = match reason.is_hedge() {
            true => share * KEPT_FROM_HEDGES,
            false => 0.0,
        };
        let left = self.left(now, rules, share);
        let to_hold = self.charges.to_hold(now, work);
        if left < to_hold as f64 + kept {
            return None;
        }
        if work.unsettled(now) > 0 {
            let unread = self.charges.held_for_earlier(now) as f64 + 1.0;
            if unread > (share * UNREAD_PART).max(1.0) + ROUNDING {
                return None;
            }
        }
        let permit = SendPermit::new(now, work);
        self.charges.add(now, work);
        Some(permit)
    }

    /// Charges all sends of `work` that may still arrive, so that somebody else may have it sent again
    /// without charging them. False if `share` doesn't cover that.
    pub fn cover(&mut self, now: Millis, rules: BudgetRules, share: f64, work: &Work) -> bool {
        let to_hold = self.charges.to_hold_all(now, work);
        if to_hold == 0 {
            return true;
        }
        let unread = (self.charges.held() + to_hold) as f64;
        let is_covered = to_hold as f64 <= self.left(now, rules, share)
            && unread <= (share * UNREAD_PART).max(1.0) + ROUNDING;
        if is_covered {
            self.charges.hold_all(now, work);
        }
        is_covered
    }

    /// Repeats that the share covers now, with fractions.
    pub fn left(&mut self, now: Millis, rules: BudgetRules, share: f64) -> f64 {
        self.update(now, rules);
        (share - self.charges.of_share()).max(0.0) + ROUNDING
    }

    /// Number of repeats whose sends may still arrive.
    pub fn held(&self) -> usize {
        self.charges.held()
    }

    /// Repeats of the last window, and held ones, that are charged to the share, with fractions.
    pub fn charged(&self) -> f64 {
        self.charges.of_share()
    }

    fn earn(&mut self, at: Millis, rules: BudgetRules, amount: f64) {
        let step_ms = rules.window_ms / STEPS_PER_WINDOW;
        // A whole step expires with its first earning.
        match self.earned.back_mut() {
            Some(step) if (step.first..step.first + step_ms).contains(&at) => step.amount += amount,
            _ => self.earned.push_back(Step { first: at, amount }),
        }
    }

    /// Applies what has become of the sends until now.
    pub fn update(&mut self, now: Millis, rules: BudgetRules) {
        self.earned.retain(|step| rules.is_earned(now, step.first));
        let earned = &mut self.earned;
        self.charges
            .update(now, rules, || spend_earned(earned, 1.0));
    }
}

/// Spends earnings, in the order in which requests were read, and returns what they don't cover.
fn spend_earned(earned: &mut VecDeque<Step>, mut amount: f64) -> f64 {
    while let Some(oldest) = earned.front_mut() {
        if oldest.amount > amount {
            oldest.amount -= amount;
            return 0.0;
        }
        amount -= oldest.amount;
        earned.pop_front();
    }
    amount
}
