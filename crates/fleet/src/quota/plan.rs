//! Which units to write, claim and remove, by the store's list.
//!
//! After a restore the list may lack units that are held, and may name holders of long ago. What a process
//! holds it knows itself: it writes these units again, whatever the list says. Units that nobody seems to
//! hold are claimed only once the units of the epochs before can't be in use any more; the first process
//! that has waited so long leaves a mark of that for those that start later.

use rand::seq::SliceRandom;
use rand::Rng;

use super::{Epoch, Quota, Round, UnitId, UnitList, UnitWrite, MAX_KEYS};
use crate::position::Position;
use crate::Millis;

/// Part of all units that the hosts hold together. The others are for processes that start while units
/// of those before them are still taken.
const TARGET_PART: f64 = 0.6;
/// Part of all units that a process claims in a round, since many may start together.
const CLAIM_PART: f64 = 0.125;
/// The same where all are few.
const MIN_CLAIM: usize = 4;
/// Part of all units that stays free for processes that start, when others borrow units.
const FREE_PART: f64 = 0.35;
/// How many times its part a process may hold while it needs more.
const MAX_BORROWED: usize = 2;

/// Units out of `total` that each of some hosts should hold; at least one.
pub fn target(total: u32, hosts: usize) -> usize {
    let part = f64::from(total) * TARGET_PART / hosts.max(1) as f64;
    (part as usize).max(1).min(total as usize)
}

/// The same for a process that needs more, and borrows what is free.
pub fn pressed_target(total: u32, hosts: usize) -> usize {
    (MAX_BORROWED * target(total, hosts)).min(total as usize)
}

impl Quota {
    /// Units whose keys were written in an earlier epoch.
    pub(super) fn outdated(&self) -> impl Iterator<Item = UnitId> + '_ {
        let epoch = self.epoch.map_or(0, |epoch| epoch.number);
        let outdated = self.held.iter().filter(move |(_, at)| at.epoch < epoch);
        outdated.map(|(unit, _)| *unit)
    }

    /// Chooses keys to write in one transaction.
    pub(super) fn plan_writes(
        &mut self,
        now: Millis,
        list: &UnitList,
        rng: &mut impl Rng,
    ) -> Vec<UnitWrite> {
        self.drop_outdated(now);
        let rewrites = self.outdated().map(|unit| UnitWrite {
            unit,
            expected: list.units.get(&unit).map(|listed| listed.at),
        });
        let mut writes: Vec<UnitWrite> = rewrites.collect();
        if writes.is_empty() && !self.round.has_claimed && self.may_claim(now) {
            writes = self.choose_claims(list, rng);
        }
        writes.truncate(MAX_KEYS);
        writes
    }

    /// Drops units of an earlier epoch that aren't usable any more, which others may claim.
    fn drop_outdated(&mut self, now: Millis) {
        let epoch = self.epoch.map_or(0, |epoch| epoch.number);
        let (extended, use_ms) = (&self.extended, self.timing.use_ms);
        let is_usable = |at: &Position| extended.get(&at.epoch).is_some_and(|t| t + use_ms > now);
        self.held.retain(|_, at| at.epoch >= epoch || is_usable(at));
        let held = &self.held;
        self.extended
            .retain(|known, _| *known >= epoch || held.values().any(|at| at.epoch == *known));
    }

    /// True once nobody uses units that the store may have forgotten.
    fn may_claim(&self, now: Millis) -> bool {
        self.epoch
            .is_some_and(|epoch| epoch.is_settled || self.is_past_settling(now, epoch))
    }

    fn is_past_settling(&self, now: Millis, epoch: Epoch) -> bool {
        epoch.known_since + self.timing.ttl_ms() <= now
    }

    /// The epoch that has to be marked as settled.
    pub(super) fn newly_settled(&self, now: Millis, list: &UnitList) -> Option<u64> {
        let epoch = self.epoch.filter(|epoch| !epoch.is_settled)?;
        let is_marked = list
            .settled
            .is_some_and(|(_, marked)| marked == epoch.number);
        (!is_marked && self.is_past_settling(now, epoch)).then_some(epoch.number)
    }

    /// Units that a write without a response may have claimed, and then free ones.
    fn choose_claims(&self, list: &UnitList, rng: &mut impl Rng) -> Vec<UnitWrite> {
        let total = self.round.total;
        let claims = self.unconfirmed(list).map(|(unit, at)| UnitWrite {
            unit,
            expected: Some(at),
        });
        let mut claims: Vec<UnitWrite> = claims.filter(|claim| claim.unit.0 < total).collect();
        let free = (0..total).map(UnitId);
        let is_free =
            |unit: &UnitId| !list.units.contains_key(unit) && !self.held.contains_key(unit);
        let mut free: Vec<UnitId> = free.filter(is_free).collect();
        let at_once = ((f64::from(total) * CLAIM_PART) as usize).max(MIN_CLAIM);
        // Some are left for processes that start next.
        let most = at_once.min(free.len().div_ceil(2));
        let kept = (f64::from(total) * FREE_PART).ceil() as usize;
        let may_borrow = free.len().saturating_sub(kept);
        free.shuffle(rng);
        free.truncate(most);
        claims.extend(free.into_iter().map(|unit| UnitWrite {
            unit,
            expected: None,
        }));
        let Round { part, target, .. } = self.round;
        let own = part.saturating_sub(self.held.len());
        let wanted = target.saturating_sub(self.held.len());
        claims.truncate(wanted.min(own.max(may_borrow)));
        claims
    }

    /// Keys of this process that it doesn't hold: a call without a response wrote them, or was to remove
    /// them.
    fn unconfirmed<'a>(
        &'a self,
        list: &'a UnitList,
    ) -> impl Iterator<Item = (UnitId, Position)> + 'a {
        let own = list.units.iter().filter(|(_, listed)| listed.is_own);
        own.filter(|(unit, _)| !self.held.contains_key(unit))
            .map(|(unit, listed)| (*unit, listed.at))
    }

    /// Keys of this process that it doesn't need.
    pub(super) fn leftovers(&self, list: &UnitList) -> Vec<(UnitId, Position)> {
        self.unconfirmed(list).take(MAX_KEYS).collect()
    }
}
