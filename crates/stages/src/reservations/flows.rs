//! What each flow offers, is entitled to, and has used.
//!
//! Offered rates are moving averages over the pieces asked for, corrected for the time before a
//! flow's first request: else a new owner of a queue would take every flow for a small one. A flow's balance grows at
//! the rate it is entitled to and falls with what is reserved for it.
//!
//! A request within the share of its flow leaves room for the balances of more urgent flows. Any
//! other leaves room for the balances of all flows, and for what they are expected to ask for.
//! Balances count for no more than independent arrivals of all these flows bunch up: that many
//! small flows spend theirs at once is as good as impossible.

use std::collections::BTreeMap;

use super::demand::Claim;
use super::Flow;
use crate::shares::{entitlements, usable_weight, Offer};
use crate::Millis;

/// Time constant of the offered rates, in milliseconds.
const RATE_MS: f64 = 1_000.0;
/// Least time over which a new flow's rate is taken, in milliseconds: a single request says little.
const MIN_RATE_MS: f64 = 250.0;
/// Weight of the newest request in the averages of a flow's requests.
const NEWEST_REQUEST_WEIGHT: f64 = 0.1;
/// Largest balance, as time at the entitled rate in milliseconds. Covers the unevenness of
/// arrivals; more would leave capacity unused while a flow pauses.
const BALANCE_MS: f64 = 400.0;
/// Standard deviations by which the arrivals of all flows together may exceed their mean within
/// [`BALANCE_MS`] before the balances stop to cover them.
const BUNCHING_DEVIATIONS: f64 = 2.0;
/// Entitlements are computed for offers greater by this factor, so that the balance of a
/// flow that offers less than its share stays full and covers its bunched arrivals.
const OFFER_MARGIN: f64 = 1.25;
/// Interval between computations of the entitlements, in milliseconds.
const REFRESH_MS: Millis = 10;
/// A flow without requests for this long is forgotten, in milliseconds.
const FORGET_MS: Millis = 10_000;

/// Rates are in pieces of the average size per ms.
#[derive(Debug, Clone, Copy)]
pub struct FlowState {
    pub weight: f64,
    /// Rate of the pieces asked for.
    pub offered: f64,
    /// The same as if the flow had asked for nothing before its first request.
    recent: f64,
    first_request: Millis,
    pub entitled: f64,
    pub balance: f64,
    /// Entitled to less than it offers.
    is_limited: bool,
    /// Mean time from request to due time, in milliseconds.
    lead_ms: f64,
    /// Mean cost of a request.
    request_cost: f64,
    last_request: Millis,
    /// Latest time at which a refused caller is to return.
    last_return: Millis,
}

impl FlowState {
    /// At least one request, so that a flow with rare requests gets in.
    fn max_balance(&self) -> f64 {
        (self.entitled * BALANCE_MS).max(self.request_cost)
    }

    /// Share of [`Self::recent`] in a steady rate since the first request.
    fn observed_share(&self, now: Millis) -> f64 {
        let observed_ms = now.saturating_sub(self.first_request) as f64;
        1.0 - (-observed_ms.max(MIN_RATE_MS) / RATE_MS).exp()
    }

    /// Variance of independent arrivals within [`BALANCE_MS`], in pieces squared.
    fn variance(&self) -> f64 {
        self.offered.min(self.entitled) * BALANCE_MS * self.request_cost
    }

    /// Expected arrivals of the flow.
    fn claim(&self, now: Millis) -> Claim {
        Claim {
            due: now + self.lead_ms as Millis,
            balance: self.balance.max(0.0),
            rate: self.offered.min(self.entitled),
        }
    }

    fn advance(&mut self, now: Millis, ms: f64, is_scarce: bool) {
        let decay = (-ms / RATE_MS).exp();
        // The integral of the decaying rate, so that a flow with rare requests earns what
        // its last request cost.
        let earned = self.entitled * RATE_MS * (1.0 - decay);
        let limit = self.max_balance();
        // While there is enough for all, nobody pays for what it used, and balances fill up
        // for the time when there isn't.
        let refilled = if is_scarce {
            0.0
        } else {
            limit * ms / BALANCE_MS
        };
        self.recent *= decay;
        self.offered = self.recent / self.observed_share(now);
        self.balance = (self.balance + earned + refilled).clamp(-limit, limit);
    }
}

#[derive(Debug, Default)]
pub struct Flows {
    states: BTreeMap<Flow, FlowState>,
    refreshed: Millis,
}

impl Flows {
    /// Brings rates, balances and entitlements up to date.
    pub fn refresh(&mut self, now: Millis, capacity: f64) {
        let elapsed = now.saturating_sub(self.refreshed);
        if elapsed < REFRESH_MS {
            return;
        }
        self.refreshed = now;
        self.states
            .retain(|_, state| now.saturating_sub(state.last_request) < FORGET_MS);
        let offered: f64 = self.states.values().map(|state| state.offered).sum();
        for state in self.states.values_mut() {
            state.advance(now, elapsed as f64, offered > capacity);
        }
        let offers = self.states.iter().map(|(flow, state)| Offer {
            flow: *flow,
            weight: state.weight,
            rate: state.offered * OFFER_MARGIN,
        });
        let entitled = entitlements(&offers.collect::<Vec<_>>(), capacity);
        for (state, entitled) in self.states.values_mut().zip(entitled) {
            state.entitled = entitled;
            state.is_limited = entitled < state.offered;
        }
    }

    /// Counts a request towards what its flow offers.
    pub fn record_offer(&mut self, flow: Flow, weight: f64, cost: f64, lead_ms: f64, now: Millis) {
        let state = self.states.entry(flow).or_insert(FlowState {
            weight: 1.0,
            offered: 0.0,
            recent: 0.0,
            first_request: now,
            entitled: 0.0,
            balance: 0.0,
            is_limited: false,
            lead_ms,
            request_cost: cost,
            last_request: now,
            last_return: 0,
        });
        state.weight = usable_weight(weight);
        state.recent += cost / RATE_MS;
        state.offered = state.recent / state.observed_share(now);
        state.lead_ms += NEWEST_REQUEST_WEIGHT * (lead_ms - state.lead_ms);
        state.request_cost += NEWEST_REQUEST_WEIGHT * (cost - state.request_cost);
        state.last_request = now;
    }

    /// Charges a flow for capacity that was reserved for it. Returns the charge, which the
    /// limit of the balance may make less than the cost.
    pub fn record_reserved(&mut self, flow: Flow, cost: f64) -> f64 {
        let Some(state) = self.states.get_mut(&flow) else {
            return 0.0;
        };
        let before = state.balance;
        state.balance = (before - cost).max(-state.max_balance()).min(before);
        before - state.balance
    }

    /// Returns a charge for capacity that was reserved and not used.
    pub fn record_unused(&mut self, flow: Flow, charge: f64) {
        if let Some(state) = self.states.get_mut(&flow) {
            let limit = state.max_balance();
            state.balance = (state.balance + charge).min(limit);
        }
    }

    /// Counts a refused caller that is to return at a time.
    pub fn record_return(&mut self, flow: Flow, at: Millis) {
        if let Some(state) = self.states.get_mut(&flow) {
            state.last_return = state.last_return.max(at);
        }
    }

    /// Latest time at which a refused caller of a flow is to return. Those refused later
    /// return no earlier.
    pub fn last_return(&self, flow: Flow) -> Millis {
        self.states.get(&flow).map_or(0, |state| state.last_return)
    }

    /// True when a flow may use this much without leaving its share. A flow that offers no more
    /// than it is entitled to may be ahead of its balance by what others of its level have saved:
    /// the requests of a small flow are too rare for a balance of its own.
    pub fn is_within_share(&self, flow: Flow, cost: f64) -> bool {
        let Some(own) = self.states.get(&flow) else {
            return false;
        };
        if own.balance >= cost.min(own.max_balance()) {
            return true;
        }
        let level = self.states.iter();
        let level = level.filter(|(other, _)| other.urgency == flow.urgency);
        let saved: f64 = level.map(|(_, state)| state.balance.max(0.0)).sum();
        !own.is_limited && saved >= cost
    }

    /// Arrivals that a request within the share of its flow leaves room for.
    pub fn claims_of_more_urgent(&self, flow: Flow, now: Millis) -> Vec<Claim> {
        let mut claims = self.claims_of(|other| other.urgency < flow.urgency, now);
        claims.iter_mut().for_each(|claim| claim.rate = 0.0);
        claims
    }

    /// Expected arrivals of the other flows.
    pub fn claims_of_others(&self, flow: Flow, now: Millis) -> Vec<Claim> {
        self.claims_of(|other| *other != flow, now)
    }

    /// Expected arrivals of the flows that match, sorted by due time.
    pub fn claims_of(&self, matches: impl Fn(&Flow) -> bool, now: Millis) -> Vec<Claim> {
        let flows = self.states.iter().filter(|(flow, _)| matches(flow));
        let (mut claims, mut claimed, mut variance) = (Vec::new(), 0.0, 0.0_f64);
        for (_, state) in flows {
            let claim = state.claim(now);
            claimed += claim.balance;
            variance += state.variance();
            claims.push(claim);
        }
        let bunching = BUNCHING_DEVIATIONS * variance.sqrt();
        if claimed > bunching {
            let part = bunching / claimed;
            claims.iter_mut().for_each(|claim| claim.balance *= part);
        }
        claims.sort_by_key(|claim| claim.due);
        claims
    }

    /// Expected arrivals of the other flows and of new callers of this one. The latter have
    /// the same lead as a returning caller, so those of the next [`BALANCE_MS`] count at once.
    pub fn claims_of_new_callers(&self, flow: Flow, now: Millis) -> Vec<Claim> {
        let mut claims = self.claims_of_others(flow, now);
        let own = self.states.get(&flow).map(|state| {
            let claim = state.claim(now);
            Claim {
                balance: state.balance.max(claim.rate * BALANCE_MS),
                ..claim
            }
        });
        claims.extend(own);
        claims.sort_by_key(|claim| claim.due);
        claims
    }

    pub fn iter(&self) -> impl Iterator<Item = (Flow, &FlowState)> {
        self.states.iter().map(|(flow, state)| (*flow, state))
    }
}
