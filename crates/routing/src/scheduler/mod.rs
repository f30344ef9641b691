//! Engine scheduler: places generations on a group of engines.
//!
//! One scheduler decides for all entries, so it tracks each engine's pending prefill,
//! cached prefixes and health without depending on load reports. A placement is
//! accounted for until its caller reports how it ended. Engines that are warming up or
//! rate-limited are paced, and those that must not refuse requests get no more than they run at
//! once ([`occupancy`]); when all of them are closed, a demand waits in a
//! [`DemandQueue`] or is rejected with a retry time.
//!
//! With [`EngineScheduler::set_by_time`] the choice is by cost among the engines that are
//! expected to deliver the first event in time, and otherwise by the earliest first event.
//! Pending prefill counts for less at an engine that is expected to be in time with a margin.

mod demand_queue;
mod health;
mod occupancy;
mod prefill;

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};
use slotmap::{new_key_type, SlotMap};

use crate::engine::{choose_engine, EngineCandidate};
use crate::health::{HealthRules, Observation};
use crate::limit::{LimitGate, LimitShare};
use crate::warm_up::{WarmUp, WarmUpGate, SCHEDULER_SHARE};
use crate::Millis;
use health::EngineHealth;
use occupancy::Occupancy;
use prefill::{EnginePrefill, PrefillRate, BASE_LATENCY_MS, MIN_SAMPLE_TOKENS};

pub use demand_queue::{DemandKey, DemandQueue};

new_key_type! {
    /// Identifies a running placement.
    pub struct PlacementKey;
}

/// How long an unused prefix is assumed to stay in an engine's cache. The cache shares its memory
/// with running requests.
const PREFIX_TTL_MS: Millis = 20_000;
/// Age at which a placement without an end report is dropped: longer than any
/// generation may run.
const STALE_PLACEMENT_MS: Millis = 60_000;
/// The same for a placement still in prefill; no caller waits this long for a first event.
const STALE_PREFILL_MS: Millis = 12_000;
/// Largest share of the engines that is reserved for suspects.
const MAX_ISOLATED_SHARE: f64 = 0.25;
/// Initial estimate of the prefill time per token, in milliseconds.
const INITIAL_MS_PER_TOKEN: f64 = 0.02;
/// Weight of a new sample in the moving average of the prefill time per token.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Longest prompt that counts, in tokens: longer than any engine accepts. The length is from a
/// header of the caller.
const MAX_PROMPT_TOKENS: u64 = 1_000_000;
/// Time left to the first event as a multiple of [`Demand::max_wait_ms`].
const TIME_LEFT_FACTOR: Millis = 2;
/// Part of the time left within which an expected first event has a margin. The rest covers
/// the error of the estimate.
const MARGIN_PART: f64 = 0.75;
/// Divisor of the pending tokens of an engine with a margin: waiting costs nothing there,
/// while a prefix that is prefilled again takes engine time from all requests.
const MARGIN_PENDING_DIVISOR: u64 = 4;

/// An engine that may be scheduled, as its record describes it.
#[derive(Debug, Clone)]
pub struct SchedulableEngine<K> {
    pub key: K,
    pub slots: u32,
    pub hall: String,
    /// Software version.
    pub version: String,
    /// Set while the engine is warming up.
    pub warm_up: Option<WarmUp>,
    /// Limit that it reports for all entries together, in requests per second.
    pub limit: Option<f64>,
    /// Maximum number of requests of all entries at it; set while it must not refuse any.
    pub max_running: Option<u32>,
}

/// Estimated wait of a demand for an engine that is closed only by its limits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueEstimate {
    pub wait_ms: Millis,
    /// Combined rate of all such engines, in requests per second.
    pub per_s: f64,
}

/// Engine software versions that may serve a demand.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Versions {
    #[default]
    All,
    Only(String),
    AllBut(String),
}

impl Versions {
    pub fn allow(&self, version: &str) -> bool {
        match self {
            Versions::All => true,
            Versions::Only(only) => only == version,
            Versions::AllBut(other) => other != version,
        }
    }
}

/// A generation to be placed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Demand<K> {
    /// Data hall of the requesting entry.
    pub from_hall: String,
    /// The last shared part of its prompt.
    pub part: String,
    pub shared_tokens: u64,
    pub prompt_tokens: u64,
    /// Engines that were tried already and must not be chosen.
    pub avoid: Vec<K>,
    pub versions: Versions,
    /// Data halls that may serve it; `None` for all.
    pub halls: Option<Vec<String>>,
    /// Bytes of its input results, by data hall.
    pub results: Vec<(String, u64)>,
    /// Targets crashed under it before: it runs isolated from others.
    pub is_suspect: bool,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// Maximum wait while all engines are closed by their limits, in milliseconds: half of the
    /// time until the target latency. Twice this is the time left to the first event; it isn't
    /// a field of its own because peers of the previous build reject longer records.
    #[serde(rename = "waits_ms")]
    pub max_wait_ms: Millis,
}

impl<K> Demand<K> {
    /// Time left to the first event, in milliseconds.
    fn time_left_ms(&self) -> Millis {
        self.max_wait_ms.saturating_mul(TIME_LEFT_FACTOR)
    }
}

/// How a placement ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementEnd {
    /// The answer was complete.
    Completed,
    /// No valid answer, through a fault of the engine.
    Failed,
    /// Abandoned for another reason.
    Abandoned,
}

/// Scheduling state of one engine.
#[derive(Debug, Default)]
struct Engine {
    slots: u32,
    hall: String,
    version: String,
    running: u32,
    /// Suspects among the running requests.
    suspects: u32,
    pending_prefill_tokens: u64,
    health: EngineHealth,
    warm_up_gate: WarmUpGate,
    limit: Option<f64>,
    limit_gate: LimitGate,
    occupancy: Occupancy,
    prefill: EnginePrefill,
}

impl Engine {
    /// Earliest time of the next request.
    fn opens_at(&self, now: Millis, share: LimitShare) -> Millis {
        let by_limit = self.limit_gate.opens_at(now, self.limit, share);
        let by_occupancy = self.occupancy.opens_at(now, self.running, share);
        self.warm_up_gate
            .opens_at(now)
            .max(by_limit)
            .max(by_occupancy)
    }

    /// Requests per second that its limits let through; `None` without limits.
    fn rate(&self, share: LimitShare) -> Option<f64> {
        let by_limit = self.limit.map(|per_s| share.rate(per_s));
        let by_occupancy = self.occupancy.rate(share);
        match (by_limit, by_occupancy) {
            (Some(by_limit), Some(by_occupancy)) => Some(by_limit.min(by_occupancy)),
            (by_limit, by_occupancy) => by_limit.or(by_occupancy),
        }
    }
}

/// A generation running on an engine.
#[derive(Debug)]
struct Placement<K> {
    engine: K,
    from_hall: String,
    part: String,
    placed_at: Millis,
    /// Tokens of its own still to be prefilled.
    pending_prefill_tokens: u64,
    /// Tokens to be prefilled before its first event, others' included.
    tokens_ahead: u64,
    /// Expected time from the placement to the first event, by the engine's own prefill.
    first_event_ms: Millis,
    /// Its prefix was cached there before the placement.
    was_cached: bool,
    is_suspect: bool,
    has_first_event: bool,
}

/// Scheduler of a group of engines.
#[derive(Debug)]
pub struct EngineScheduler<K> {
    engines: HashMap<K, Engine>,
    /// Sorted keys, for deterministic choices.
    order: Vec<K>,
    placements: SlotMap<PlacementKey, Placement<K>>,
    /// Engines that cache a prefix, by part, with its last use there.
    cached: HashMap<String, HashMap<K, Millis>>,
    ms_per_token: f64,
    /// Prefill time per token of all engines together, without waits.
    group_prefill: PrefillRate,
    /// Engines are chosen by the expected time to the first event.
    is_by_time: bool,
    rules: HealthRules,
    /// Share of the engines' limits that this scheduler may use.
    limit_share: LimitShare,
}

/// Expected time to a first event behind `tokens` of prefill, in milliseconds.
fn expected_ms(ms_per_token: f64, tokens: u64) -> Millis {
    (BASE_LATENCY_MS as f64 + ms_per_token * tokens as f64) as Millis
}

/// Health observation for the engine of a placement that ended, if any.
fn observation_of<K>(
    placement: &Placement<K>,
    end: PlacementEnd,
    now: Millis,
) -> Option<Observation> {
    match end {
        PlacementEnd::Failed => Some(Observation::Failed),
        // Abandoned while waiting for the first event.
        PlacementEnd::Abandoned if !placement.has_first_event => {
            Some(Observation::TimedOut(now - placement.placed_at))
        }
        PlacementEnd::Abandoned | PlacementEnd::Completed => None,
    }
}

impl<K: Clone + Eq + Hash + Ord> Default for EngineScheduler<K> {
    fn default() -> Self {
        EngineScheduler {
            engines: HashMap::new(),
            order: Vec::new(),
            placements: SlotMap::with_key(),
            cached: HashMap::new(),
            ms_per_token: INITIAL_MS_PER_TOKEN,
            group_prefill: PrefillRate::default(),
            is_by_time: false,
            rules: HealthRules::default(),
            limit_share: LimitShare::default(),
        }
    }
}

impl<K: Clone + Eq + Hash + Ord> EngineScheduler<K> {
    /// Replaces the set of engines that may get new work. Placements on the others are forgotten:
    /// an engine that is listed again starts without load, from which they mustn't be subtracted.
    pub fn set_engines(&mut self, now: Millis, engines: &[SchedulableEngine<K>]) {
        let present: HashSet<&K> = engines.iter().map(|engine| &engine.key).collect();
        self.engines.retain(|key, _| present.contains(key));
        self.placements
            .retain(|_, placement| present.contains(&placement.engine));
        for engine in engines {
            let state = self.engines.entry(engine.key.clone()).or_default();
            state.slots = engine.slots;
            state.hall.clone_from(&engine.hall);
            state.version.clone_from(&engine.version);
            state
                .warm_up_gate
                .update(now, engine.warm_up, SCHEDULER_SHARE, 0.0);
            state.limit = engine.limit;
            state.occupancy.set_max_running(engine.max_running);
        }
        self.order = self.engines.keys().cloned().collect();
        self.order.sort();
    }

    /// Sets whether engines are chosen by the expected time to the first event.
    pub fn set_by_time(&mut self, is_by_time: bool) {
        self.is_by_time = is_by_time;
    }

    pub fn set_limit_share(&mut self, share: LimitShare) {
        self.limit_share = share;
    }

    /// Estimates when a demand behind `ahead` others gets an engine that is closed only by
    /// its limits; `None` without such an engine.
    pub fn queue_estimate(
        &self,
        now: Millis,
        demand: &Demand<K>,
        ahead: usize,
    ) -> Option<QueueEstimate> {
        let share = self.limit_share;
        let engines = self.allowed(demand).map(|key| &self.engines[key]);
        let limited = engines
            .filter(|engine| engine.rate(share).is_some() && engine.warm_up_gate.is_open(now));
        let first = limited
            .clone()
            .map(|engine| engine.opens_at(now, share))
            .min()?;
        let per_s: f64 = limited.filter_map(|engine| engine.rate(share)).sum();
        let behind_ms = (ahead as f64 * 1_000.0 / per_s) as Millis;
        Some(QueueEstimate {
            wait_ms: first - now + behind_ms,
            per_s,
        })
    }

    /// True when any engine may get a request now.
    pub fn is_any_open(&self, now: Millis) -> bool {
        let mut engines = self.engines.values();
        engines.any(|engine| engine.opens_at(now, self.limit_share) == now)
    }

    /// Time at which the next closed engine opens; `None` when all are open.
    pub fn next_opening(&self, now: Millis) -> Option<Millis> {
        let engines = self.engines.values();
        let opens = engines.map(|engine| engine.opens_at(now, self.limit_share));
        opens.filter(|opens| *opens > now).min()
    }

    /// Places a generation; `affinity` is the rendezvous score of an engine for its part.
    /// `None` when all engines are excluded by the demand or closed.
    pub fn place(
        &mut self,
        now: Millis,
        demand: &Demand<K>,
        affinity: impl Fn(&K) -> u64,
    ) -> Option<(PlacementKey, K)> {
        let open = self
            .allowed(demand)
            .filter(|key| self.engines[*key].opens_at(now, self.limit_share) == now)
            .collect();
        let keys = match demand.is_suspect {
            true => self.least_affected(now, &demand.from_hall, open),
            false => self.without_suspects(open),
        };
        let keys = match self.is_by_time && demand.prompt_tokens > 0 {
            true => self.in_time(now, demand, keys),
            false => keys,
        };
        let candidates: Vec<EngineCandidate> = keys
            .iter()
            .map(|key| self.candidate(now, key, demand, affinity(key)))
            .collect();
        let choice = choose_engine(&candidates, demand.shared_tokens)?;
        let engine = keys[choice.index].clone();
        let prefill_tokens = self.prefill_tokens(now, &engine, demand);
        Some((
            self.add_placement(now, demand, engine.clone(), prefill_tokens),
            engine,
        ))
    }

    /// Engines that may serve a demand, open or closed.
    fn allowed<'a>(&'a self, demand: &'a Demand<K>) -> impl Iterator<Item = &'a K> + Clone {
        let engines = self.order.iter();
        engines
            .filter(|key| !demand.avoid.contains(key))
            .filter(|key| demand.versions.allow(&self.engines[*key].version))
            .filter(|key| {
                let hall = &self.engines[*key].hall;
                demand
                    .halls
                    .as_ref()
                    .is_none_or(|halls| halls.contains(hall))
            })
    }

    /// Healthy engines with the fewest suspects, then the fewest requests, so that a crash
    /// interrupts the least work and implicates no other suspect.
    fn least_affected<'a>(&self, now: Millis, hall: &str, keys: Vec<&'a K>) -> Vec<&'a K> {
        let load_of = |key: &K| {
            let engine = &self.engines[key];
            let is_ejected = engine.health.is_ejected(hall, now);
            (is_ejected, engine.suspects, engine.running)
        };
        let least = keys.iter().map(|key| load_of(key)).min();
        let is_least = |key: &&K| Some(load_of(key)) == least;
        keys.into_iter().filter(is_least).collect()
    }

    /// Engines without suspects, as long as few engines run any. After many targets crashed
    /// at once, most suspects are innocent and isolating them would leave too few engines for
    /// other requests.
    fn without_suspects<'a>(&self, keys: Vec<&'a K>) -> Vec<&'a K> {
        let is_free = |key: &&&K| self.engines[**key].suspects == 0;
        let free = keys.iter().filter(is_free).count();
        let isolating = keys.len() - free;
        if isolating == 0 || isolating as f64 > keys.len() as f64 * MAX_ISOLATED_SHARE {
            return keys;
        }
        keys.into_iter().filter(|key| is_free(&key)).collect()
    }

    /// Engines that are expected to deliver the first event in the time left; if there are
    /// none, those with the earliest first event. Ejected engines are left out unless all are.
    fn in_time<'a>(&self, now: Millis, demand: &Demand<K>, keys: Vec<&'a K>) -> Vec<&'a K> {
        let is_ejected = |key: &K| {
            let health = &self.engines[key].health;
            health.is_ejected(&demand.from_hall, now)
        };
        let all_ejected = keys.iter().all(|key| is_ejected(key));
        let usable = keys
            .into_iter()
            .filter(|key| all_ejected || !is_ejected(key));
        let first_event_ms = |key: &K| self.first_event_ms(now, key, demand);
        let expected: Vec<(&K, Millis)> = usable.map(|key| (key, first_event_ms(key))).collect();
        let earliest = expected.iter().map(|(_, ms)| *ms).min().unwrap_or(0);
        let latest = earliest.max(demand.time_left_ms());
        let in_time = expected.into_iter().filter(|(_, ms)| *ms <= latest);
        in_time.map(|(key, _)| key).collect()
    }

    /// Expected time to the first event of a demand at an engine.
    fn first_event_ms(&self, now: Millis, key: &K, demand: &Demand<K>) -> Millis {
        let tokens = self.prefill_tokens(now, key, demand);
        let prefill = &self.engines[key].prefill;
        prefill.first_event_ms(now, self.group_ms_per_token(), tokens)
    }

    /// Pending tokens of an engine as they count in its cost for a demand.
    fn weighted_pending_tokens(&self, now: Millis, key: &K, demand: &Demand<K>) -> u64 {
        let pending = self.engines[key].pending_prefill_tokens;
        let latest = demand.time_left_ms() as f64 * MARGIN_PART;
        let has_margin = || self.first_event_ms(now, key, demand) as f64 <= latest;
        match self.is_by_time && demand.prompt_tokens > 0 && has_margin() {
            true => pending / MARGIN_PENDING_DIVISOR,
            false => pending,
        }
    }

    fn group_ms_per_token(&self) -> f64 {
        self.group_prefill.ms_per_token(INITIAL_MS_PER_TOKEN)
    }

    /// Tokens of a demand that an engine has to prefill.
    fn prefill_tokens(&self, now: Millis, key: &K, demand: &Demand<K>) -> u64 {
        let tokens = match self.has_cached(now, key, &demand.part) {
            true => demand.prompt_tokens.saturating_sub(demand.shared_tokens),
            false => demand.prompt_tokens,
        };
        tokens.min(MAX_PROMPT_TOKENS)
    }

    /// True when an engine is assumed to cache a prefix.
    fn has_cached(&self, now: Millis, key: &K, part: &str) -> bool {
        let cached = self.cached.get(part);
        let last_used = cached.and_then(|cached| cached.get(key));
        last_used.is_some_and(|used| now < used + PREFIX_TTL_MS)
    }

    /// Ratio of recent to typical latency. With the choice by time, health is relative to the
    /// engine's own time per token, so the ratio of that to the group's counts as well.
    fn slowness(&self, engine: &Engine, hall: &str) -> f64 {
        let by_answers = engine.health.slowness(hall);
        let group = self.group_ms_per_token();
        match self.is_by_time {
            true => by_answers * engine.prefill.ms_per_token(group) / group,
            false => by_answers,
        }
    }

    fn candidate(
        &self,
        now: Millis,
        key: &K,
        demand: &Demand<K>,
        affinity: u64,
    ) -> EngineCandidate {
        let engine = &self.engines[key];
        let remote = demand
            .results
            .iter()
            .filter(|(hall, _)| *hall != engine.hall);
        EngineCandidate {
            affinity,
            has_cached_prefix: self.has_cached(now, key, &demand.part),
            load: f64::from(engine.running) / f64::from(engine.slots.max(1)),
            pending_prefill_tokens: self.weighted_pending_tokens(now, key, demand),
            slowness: self.slowness(engine, &demand.from_hall),
            ejected: engine.health.is_ejected(&demand.from_hall, now),
            remote_bytes: remote.map(|(_, bytes)| bytes).sum(),
        }
    }

    #[expect(clippy::expect_used, reason = "placements are on engines of the table")]
    fn add_placement(
        &mut self,
        now: Millis,
        demand: &Demand<K>,
        engine: K,
        prefill_tokens: u64,
    ) -> PlacementKey {
        let group = self.group_ms_per_token();
        let state = self
            .engines
            .get_mut(&engine)
            .expect("placed on a known engine");
        state.running += 1;
        state.suspects += u32::from(demand.is_suspect);
        state.pending_prefill_tokens += prefill_tokens;
        state
            .warm_up_gate
            .record_sent(now, self.limit_share.warm_up_share());
        state
            .limit_gate
            .record_sent(now, state.limit, self.limit_share);
        let tokens_ahead = state.pending_prefill_tokens;
        let first_event_ms = state.prefill.first_event_ms(now, group, prefill_tokens);
        // A request without a prompt leaves no prefix in the cache.
        let was_cached = demand.prompt_tokens > 0 && {
            let cached = self.cached.entry(demand.part.clone()).or_default();
            cached.insert(engine.clone(), now).is_some()
        };
        let key = self.placements.insert(Placement {
            engine: engine.clone(),
            from_hall: demand.from_hall.clone(),
            part: demand.part.clone(),
            placed_at: now,
            pending_prefill_tokens: prefill_tokens,
            tokens_ahead,
            first_event_ms,
            was_cached,
            is_suspect: demand.is_suspect,
            has_first_event: false,
        });
        if let Some(state) = self.engines.get_mut(&engine) {
            state.prefill.push(now, group, key, prefill_tokens);
        }
        key
    }

    /// Expected time from a placement to its first event, for the health of its engine.
    fn expected_of(&self, placement: &Placement<K>) -> Millis {
        match self.is_by_time {
            true => placement.first_event_ms,
            false => expected_ms(self.ms_per_token, placement.tokens_ahead),
        }
    }

    /// Records the first event of a placement: its prefill is complete.
    pub fn prefill_done(&mut self, key: PlacementKey, now: Millis) {
        let group = self.group_ms_per_token();
        let expected = self
            .placements
            .get(key)
            .map(|placed| self.expected_of(placed));
        let expected = expected.unwrap_or(0);
        let Some(placement) = self.placements.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut placement.has_first_event, true) {
            return;
        }
        let prefilled = std::mem::take(&mut placement.pending_prefill_tokens);
        let elapsed_ms = (now - placement.placed_at) as f64;
        let tokens = placement.tokens_ahead;
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            engine.pending_prefill_tokens = engine.pending_prefill_tokens.saturating_sub(prefilled);
            let observation = Observation::Answered(elapsed_ms as Millis);
            engine
                .health
                .observe(&placement.from_hall, observation, expected);
            let left = engine.pending_prefill_tokens;
            let placed_at = placement.placed_at;
            let prefill = &mut engine.prefill;
            let sample = prefill.finish(now, group, key, placed_at, prefilled, left);
            sample
                .into_iter()
                .for_each(|sample| self.group_prefill.add_group_sample(sample));
        }
        if tokens >= MIN_SAMPLE_TOKENS {
            let sample = (elapsed_ms - BASE_LATENCY_MS as f64).max(0.0) / tokens as f64;
            self.ms_per_token += SAMPLE_WEIGHT * (sample - self.ms_per_token);
        }
        let engine = placement.engine.clone();
        if let Some(cached) = self.cached.get_mut(&placement.part) {
            cached.insert(engine, now);
        }
    }

    /// Records that an engine refused a request for want of room.
    pub fn record_refusal(&mut self, engine: &K, now: Millis) {
        if let Some(engine) = self.engines.get_mut(engine) {
            engine.occupancy.record_refusal(now, engine.running);
        }
    }

    /// Ends a placement. Returns newly ejected engines.
    pub fn record_end(&mut self, key: PlacementKey, end: PlacementEnd, now: Millis) -> Vec<K> {
        let Some(placement) = self.placements.remove(key) else {
            return Vec::new();
        };
        let group = self.group_ms_per_token();
        let expected = self.expected_of(&placement);
        let Some(engine) = self.engines.get_mut(&placement.engine) else {
            return Vec::new();
        };
        engine.running = engine.running.saturating_sub(1);
        if end == PlacementEnd::Completed {
            engine
                .occupancy
                .record_run(now.saturating_sub(placement.placed_at));
        }
        let suspects = u32::from(placement.is_suspect);
        engine.suspects = engine.suspects.saturating_sub(suspects);
        engine.pending_prefill_tokens = engine
            .pending_prefill_tokens
            .saturating_sub(placement.pending_prefill_tokens);
        if !placement.has_first_event {
            let left = engine.pending_prefill_tokens;
            engine.prefill.abandon(now, group, key, left);
        }
        if let Some(observation) = observation_of(&placement, end, now) {
            let health = &mut engine.health;
            health.observe(&placement.from_hall, observation, expected);
        }
        if !placement.has_first_event && !placement.was_cached {
            // The prefix may never have been prefilled.
            if let Some(cached) = self.cached.get_mut(&placement.part) {
                cached.remove(&placement.engine);
            }
        }
        self.eject(now, &placement.from_hall)
    }

    /// Ejects failing and slow engines. Returns those newly ejected.
    fn eject(&mut self, now: Millis, hall: &str) -> Vec<K> {
        let mut engines: Vec<(&K, &mut EngineHealth)> = self
            .engines
            .iter_mut()
            .map(|(key, engine)| (key, &mut engine.health))
            .collect();
        engines.sort_by(|a, b| a.0.cmp(b.0));
        let (keys, mut healths): (Vec<&K>, Vec<&mut EngineHealth>) = engines.into_iter().unzip();
        let ejected = health::eject(now, &self.rules, hall, &mut healths);
        ejected
            .into_iter()
            .map(|index| keys[index].clone())
            .collect()
    }

    /// True when no engine has running requests or pending prefill.
    pub fn is_idle(&self) -> bool {
        let is_idle = |engine: &Engine| engine.running == 0 && engine.pending_prefill_tokens == 0;
        self.placements.is_empty() && self.engines.values().all(is_idle)
    }

    /// Drops stale placements and expired prefixes. Returns newly ejected engines.
    pub fn sweep(&mut self, now: Millis) -> Vec<K> {
        let is_stale = |placement: &Placement<K>| {
            let longest = if placement.has_first_event {
                STALE_PLACEMENT_MS
            } else {
                STALE_PREFILL_MS
            };
            placement.placed_at + longest <= now
        };
        let stale: Vec<PlacementKey> = self
            .placements
            .iter()
            .filter(|(_, placement)| is_stale(placement))
            .map(|(key, _)| key)
            .collect();
        let mut ejected = Vec::new();
        for key in stale {
            ejected.extend(self.record_end(key, PlacementEnd::Completed, now));
        }
        self.cached.retain(|_, cached| {
            cached.retain(|_, used| now < *used + PREFIX_TTL_MS);
            !cached.is_empty()
        });
        ejected
    }
}
