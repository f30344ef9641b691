//! Demand bound for earliest deadline first: whether everything that is known can be done
//! by its due time.
//!
//! For every due time t, what is ready from a time s on and due by t must fit into the
//! capacity between s and t, less one call, because a result is available only at the end
//! of its call.

use crate::Millis;

/// Shortest time from ready to due that a request is tested with, in calls. A request that
/// is late by its own length is refused only if the queue delays it further.
const MIN_LEAD_CALLS: f64 = 1.25;

/// Rounding error of the sums, in pieces.
const ROUNDING: f64 = 1e-6;

/// Work that is ready at one time and due at another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    pub ready: Millis,
    pub due: Millis,
    /// In pieces of the average size.
    pub cost: f64,
}

/// Expected arrivals of a flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Earliest due time of an arrival.
    pub due: Millis,
    /// Pieces that it is entitled to and hasn't asked for yet.
    pub balance: f64,
    /// Pieces per ms from then on.
    pub rate: f64,
}

/// Change of the pieces that can be done by a time, as that time grows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SupplyChange {
    pub at: Millis,
    /// Pieces done at once.
    pub pieces: f64,
    /// Change of the rate, in pieces per ms.
    pub rate: f64,
}

/// Capacity of the available workers, in pieces of the average size.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Supply {
    /// Pieces per ms.
    pub rate: f64,
    /// Duration of a usual call, in milliseconds.
    pub call_ms: f64,
    /// Pieces that idle workers can start at once.
    pub idle: f64,
    /// Pieces that can be done in calls that start from now on, sorted by time.
    pub changes: Vec<SupplyChange>,
}

impl Supply {
    /// Pieces that can be done between a later time and `until`.
    fn between(&self, from: Millis, until: Millis) -> f64 {
        let window_ms = until.saturating_sub(from) as f64 - self.call_ms;
        self.rate * window_ms.max(0.0)
    }

    /// Earliest due time that work which is ready at a time is tested with.
    pub fn earliest_due(&self, ready: Millis) -> Millis {
        ready.saturating_add((MIN_LEAD_CALLS * self.call_ms).ceil() as Millis)
    }

    /// A need with the due time that it is tested with.
    pub fn testable(&self, need: Need) -> Need {
        let own_ms = need.cost / self.rate.max(f64::MIN_POSITIVE);
        let earliest = self
            .earliest_due(need.ready)
            .saturating_add(own_ms.ceil() as Millis);
        Need {
            due: need.due.max(earliest),
            ..need
        }
    }
}

/// True when `needs`, `new` and `claims` fit. All three are sorted by due time.
pub fn fits(needs: &[Need], new: &[Need], claims: &[Claim], supply: &Supply, now: Millis) -> bool {
    let first_due = new.first().map_or(0, |need| need.due);
    fits_from_now(by_due(needs, new), claims, supply, first_due)
        && new
            .iter()
            .filter(|need| need.ready > now)
            .all(|need| fits_from(by_due(needs, new), supply, need))
}

/// True when `needs` (sorted by due time) fit.
pub fn all_fit(needs: &[Need], supply: &Supply) -> bool {
    fits_from_now(needs.iter(), &[], supply, 0)
}

/// Merges two lists that are sorted by due time.
fn by_due<'a>(needs: &'a [Need], new: &'a [Need]) -> impl Iterator<Item = &'a Need> {
    let (mut needs, mut new) = (needs.iter().peekable(), new.iter().peekable());
    std::iter::from_fn(move || {
        let is_new_first = match (needs.peek(), new.peek()) {
            (Some(need), Some(new)) => new.due < need.due,
            (known, _) => known.is_none(),
        };
        match is_new_first {
            true => new.next(),
            false => needs.next(),
        }
    })
}

/// Tests the window from now to every due time at or after `first_due`.
fn fits_from_now<'a>(
    needs: impl Iterator<Item = &'a Need>,
    claims: &[Claim],
    supply: &Supply,
    first_due: Millis,
) -> bool {
    let mut claims = claims.iter().peekable();
    let mut changes = supply.changes.iter().peekable();
    let mut needs = needs.peekable();
    let (mut needed, mut claimed, mut supplied) = (0.0, 0.0, 0.0);
    let (mut claim_rate, mut supply_rate) = (0.0, 0.0);
    let mut at = 0;
    loop {
        let next_need = needs.peek().map(|need| need.due);
        let next_claim = claims.peek().map(|claim| claim.due);
        let Some(due) = next_need.into_iter().chain(next_claim).min() else {
            return true;
        };
        claimed += claim_rate * due.saturating_sub(at) as f64;
        while let Some(change) = changes.next_if(|change| change.at <= due) {
            supplied += supply_rate * change.at.saturating_sub(at) as f64 + change.pieces;
            supply_rate += change.rate;
            at = at.max(change.at);
        }
        supplied += supply_rate * due.saturating_sub(at) as f64;
        at = due;
        while let Some(claim) = claims.next_if(|claim| claim.due <= due) {
            claimed += claim.balance;
            claim_rate += claim.rate;
        }
        while let Some(need) = needs.next_if(|need| need.due <= due) {
            needed += need.cost;
        }
        if due >= first_due && needed + claimed > supplied + ROUNDING {
            return false;
        }
    }
}

/// Tests the windows from the ready time of `new` to every due time at or after its own.
fn fits_from<'a>(needs: impl Iterator<Item = &'a Need>, supply: &Supply, new: &Need) -> bool {
    let mut needed = 0.0;
    let mut later = needs.filter(|need| need.ready >= new.ready);
    later.all(|need| {
        needed += need.cost;
        need.due < new.due || needed <= supply.between(new.ready, need.due)
    })
}
