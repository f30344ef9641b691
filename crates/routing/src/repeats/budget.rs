//! The repeats of one service that one process may send.

use std::collections::VecDeque;

use super::{RepeatReason, SendPermit};
use crate::Millis;

/// Part of the allowed ratio that a request earns. What is earned in one window may be spent in the
/// next, so that a window may have repeats that the requests of two windows earned.
const EARNED_PART: f64 = 0.5;
/// Part of the share that hedges may not use.
const KEPT_FROM_HEDGES: f64 = 0.5;
/// Number of steps of a window in which amounts are added up.
const STEPS_PER_WINDOW: Millis = 50;
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

/// What was added in a part of a window, and when the first and the last of it was.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Step {
    first: Millis,
    last: Millis,
    amount: f64,
}

/// Adds an amount to the step that has begun, or begins one.
fn add(steps: &mut VecDeque<Step>, now: Millis, rules: BudgetRules, amount: f64) {
    let step_ms = rules.window_ms / STEPS_PER_WINDOW;
    match steps.back_mut() {
        Some(step) if step.first + step_ms > now => {
            step.last = now;
            step.amount += amount;
        }
        _ => steps.push_back(Step {
            first: now,
            last: now,
            amount,
        }),
    }
}

/// Grants repeats from what requests earned in the last window, and then from the process's share of
/// the fixed allowance.
#[derive(Debug, Clone, Default)]
pub struct RepeatBudget {
    /// What requests earned and no repeat has spent, oldest first.
    earned: VecDeque<Step>,
    /// What repeats of the last window charged to the share, oldest first.
    charged: VecDeque<Step>,
}

impl RepeatBudget {
    /// Permits the first send of a request of a caller, and counts the request.
    pub fn first_of_request(&mut self, now: Millis, rules: BudgetRules) -> SendPermit {
        self.expire(now, rules);
        add(&mut self.earned, now, rules, rules.ratio * EARNED_PART);
        SendPermit::new()
    }

    /// Permits the first send of a piece of a stage, which is no request of a caller.
    pub fn first_of_piece() -> SendPermit {
        SendPermit::new()
    }

    /// Permits a repeat; `None` if neither earnings nor `share` cover it. Hedges leave half of the
    /// share to repeats of what has failed.
    pub fn repeat(
        &mut self,
        now: Millis,
        rules: BudgetRules,
        share: f64,
        reason: RepeatReason,
    ) -> Option<SendPermit> {
        let kept = match reason.is_hedge() {
            true => share * KEPT_FROM_HEDGES,
            false => 0.0,
        };
        if self.left(now, rules, share) < 1.0 + kept {
            return None;
        }
        let from_share = self.spend_earned(1.0);
        if from_share > 0.0 {
            add(&mut self.charged, now, rules, from_share);
        }
        Some(SendPermit::new())
    }

    /// Repeats that are covered now, with fractions.
    pub fn left(&mut self, now: Millis, rules: BudgetRules, share: f64) -> f64 {
        self.expire(now, rules);
        let sum = |steps: &VecDeque<Step>| steps.iter().map(|step| step.amount).sum::<f64>();
        let of_share = (share - sum(&self.charged)).max(0.0);
        sum(&self.earned) + of_share + ROUNDING
    }

    fn expire(&mut self, now: Millis, rules: BudgetRules) {
        let earned_ms = rules.window_ms.saturating_sub(rules.arrival_ms);
        let charged_ms = rules.window_ms + rules.arrival_ms;
        // A whole step expires with its first earning, and with its last charge.
        let is_earned = |step: &Step| step.first + earned_ms >= now;
        let is_charged = |step: &Step| step.last + charged_ms >= now;
        while self.earned.front().is_some_and(|step| !is_earned(step)) {
            self.earned.pop_front();
        }
        while self.charged.front().is_some_and(|step| !is_charged(step)) {
            self.charged.pop_front();
        }
    }

    /// Spends earnings, oldest first, and returns what they don't cover.
    fn spend_earned(&mut self, mut amount: f64) -> f64 {
        while let Some(oldest) = self.earned.front_mut() {
            if oldest.amount > amount {
                oldest.amount -= amount;
                return 0.0;
            }
            amount -= oldest.amount;
            self.earned.pop_front();
        }
        amount
    }
}
