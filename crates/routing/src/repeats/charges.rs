//! The charges of repeats, which last until the work can't arrive any more.

use super::budget::BudgetRules;
use super::Work;
use crate::Millis;

/// What covers one repeat.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Charge {
    /// The share covers it whole, for as long as one of the sends may still arrive.
    Held,
    /// The share covers this part of it, and requests earned the rest. Expires a window later.
    Aging { since: Millis, of_share: f64 },
}

/// The repeats of one request or piece.
#[derive(Debug, Clone)]
struct Repeated {
    work: Work,
    /// Repeats that were granted; some of their charges may have expired.
    granted: usize,
    charges: Vec<Charge>,
}

impl Repeated {
    fn held(&self) -> usize {
        let charges = self.charges.iter();
        charges.filter(|charge| **charge == Charge::Held).count()
    }

    /// Holds as many charges as sends may arrive, but one: the first arrival is no repeat.
    fn hold(&mut self, unsettled: usize) {
        for _ in self.held()..unsettled.min(self.granted) {
            let mut charges = self.charges.iter_mut();
            match charges.find(|charge| **charge != Charge::Held) {
                Some(charge) => *charge = Charge::Held,
                None => self.charges.push(Charge::Held),
            }
        }
    }

    /// Has the charges of sends that have settled expire. `cover` says which part of one the share
    /// covers.
    fn release(&mut self, now: Millis, unsettled: usize, mut cover: impl FnMut() -> f64) {
        let released = self.held().saturating_sub(unsettled);
        let held = self.charges.iter_mut();
        let held = held.filter(|charge| **charge == Charge::Held);
        for charge in held.take(released) {
            *charge = Charge::Aging {
                since: now,
                of_share: cover(),
            };
        }
    }
}

/// Charges of all repeats of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct Charges(Vec<Repeated>);

impl Charges {
    /// Applies what has become of the sends. `cover` says which part of a repeat the share covers
    /// that doesn't have to hold it any more.
    pub fn update(&mut self, now: Millis, rules: BudgetRules, mut cover: impl FnMut() -> f64) {
        for repeated in &mut self.0 {
            let unsettled = repeated.work.unsettled(now);
            repeated.hold(unsettled);
            repeated.release(now, unsettled, &mut cover);
            // Somebody else may use a permit that was passed on.
            let arrival_ms = match repeated.work.has_unused() {
                true => rules.arrival_ms,
                false => 0,
            };
            repeated.charges.retain(|charge| match charge {
                Charge::Held => true,
                Charge::Aging { since, .. } => *since + arrival_ms + rules.charge_ms() >= now,
            });
        }
        self.0
            .retain(|repeated| !repeated.charges.is_empty() || repeated.work.unsettled(now) > 0);
    }

    /// Charges that the share has to hold if `work` is sent once more, beyond those that it holds.
    pub fn to_hold(&self, now: Millis, work: &Work) -> usize {
        let repeated = self.0.iter().find(|repeated| repeated.work.is_same(work));
        let (granted, held) = repeated.map_or((0, 0), |known| (known.granted, known.held()));
        let sends = work.unsettled(now) + 1;
        sends.min(granted + 1).saturating_sub(held)
    }

    /// Charges a repeat that was permitted, for as long as sends of its work may arrive.
    pub fn add(&mut self, now: Millis, work: &Work) {
        let unsettled = work.unsettled(now);
        let repeated = self.of(work);
        repeated.granted += 1;
        repeated.charges.push(Charge::Held);
        repeated.hold(unsettled);
    }

    /// Charges that the share has to hold, beyond those that it holds, for all sends of `work` that may
    /// still arrive.
    pub fn to_hold_all(&self, now: Millis, work: &Work) -> usize {
        let repeated = self.0.iter().find(|repeated| repeated.work.is_same(work));
        let held = repeated.map_or(0, Repeated::held);
        work.unsettled(now).saturating_sub(held)
    }

    /// Holds charges for all sends of `work` that may still arrive.
    pub fn hold_all(&mut self, now: Millis, work: &Work) {
        let unsettled = work.unsettled(now);
        if unsettled > 0 {
            let repeated = self.of(work);
            repeated.granted = repeated.granted.max(unsettled);
            repeated.hold(unsettled);
        }
    }

    fn of(&mut self, work: &Work) -> &mut Repeated {
        let known = self.0.iter().position(|known| known.work.is_same(work));
        let index = known.unwrap_or_else(|| {
            self.0.push(Repeated {
                work: work.clone(),
                granted: 0,
                charges: Vec::new(),
            });
            self.0.len() - 1
        });
        &mut self.0[index]
    }

    /// What the share covers.
    pub fn of_share(&self) -> f64 {
        let charges = self.0.iter().flat_map(|repeated| &repeated.charges);
        let amounts = charges.map(|charge| match charge {
            Charge::Held => 1.0,
            Charge::Aging { of_share, .. } => *of_share,
        });
        amounts.sum()
    }

    /// Number of charges that are held for sends that others followed.
    pub fn held_for_earlier(&self, now: Millis) -> usize {
        let held = self.0.iter().map(|repeated| {
            let earlier = repeated.work.unsettled_earlier(now);
            repeated.held().min(earlier)
        });
        held.sum()
    }

    /// Number of charges that are held.
    pub fn held(&self) -> usize {
        self.0.iter().map(Repeated::held).sum()
    }
}
