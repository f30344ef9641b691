//! Places generations on engines with all that is known of them.
//!
//! One desk decides for a group of engines, whoever asks. So it knows what each
//! engine has yet to read, which parts of prompts it keeps, and how its answers
//! came, without reports that are old when they arrive. A placement stays on
//! the desk's account until its asker tells how it went.
//!
//! An engine that is cold, or that names a limit, gets what it bears; where all that may
//! serve have had that, [`EngineDesk::turn`] says when a demand would have its turn, and
//! it waits in a [`DemandQueue`] or is told to come back.

mod demand_queue;
mod health;

use std::collections::{HashMap, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};
use slotmap::{new_key_type, SlotMap};

use crate::cold::{Cold, ColdGate, DESK_SHARE};
use crate::engine::{choose_engine, EngineCandidate};
use crate::health::{HealthRules, Observation};
use crate::limit::{LimitGate, LimitShare};
use crate::Millis;
use health::EngineHealth;

pub use demand_queue::{DemandKey, DemandQueue};

new_key_type! {
    /// One placement, until it has ended.
    pub struct PlacementKey;
}

/// How long an engine is taken to keep a part that no request there uses any
/// more, in milliseconds. Its memory is shared with running requests.
const KEPT_MS: Millis = 20_000;
/// Age at which a placement whose asker fell silent is forgotten, in
/// milliseconds: longer than any generation may last.
const FORGET_MS: Millis = 60_000;
/// The same before its first event: no caller waits that long for one.
const FORGET_UNREAD_MS: Millis = 12_000;
/// What an engine needs before a first event besides reading, in milliseconds.
const BASE_MS: f64 = 30.0;
/// Part of the engines, at most, that others avoid because suspects run there.
const MOST_APART: f64 = 0.25;
/// First guess of the time to read a token, in milliseconds; measured after.
const FIRST_MS_PER_TOKEN: f64 = 0.02;
/// Weight of a new time in the measured time to read a token.
const NEW_WEIGHT: f64 = 0.05;
/// An event that waited for this few tokens tells nothing of their reading.
const LEAST_TOKENS: u64 = 500;

/// An engine as its records tell.
#[derive(Debug, Clone)]
pub struct DeskEngine<K> {
    pub key: K,
    pub slots: u32,
    pub hall: String,
    /// Version of its software.
    pub version: String,
    /// Set while it is cold.
    pub cold: Option<Cold>,
    /// Requests a second that it takes from all entries together, while it names a limit.
    pub limit: Option<f64>,
}

/// When a demand would get an engine that is closed only by its limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Turn {
    pub in_ms: Millis,
    /// Requests a second that all such engines together may get.
    pub per_s: f64,
}

/// Which versions of the engines' software a demand may get.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Versions {
    #[default]
    All,
    Only(String),
    AllBut(String),
}

impl Versions {
    /// True when a version is among them.
    pub fn allow(&self, version: &str) -> bool {
        match self {
            Versions::All => true,
            Versions::Only(only) => only == version,
            Versions::AllBut(other) => other != version,
        }
    }
}

/// What is to be placed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Demand<K> {
    /// Data hall of the entry that asks.
    pub from_hall: String,
    /// The last part of its prompt that others share.
    pub part: String,
    pub shared_tokens: u64,
    pub prompt_tokens: u64,
    /// Engines that it must not get: they were tried.
    pub avoid: Vec<K>,
    /// Versions of engines that it may get.
    pub versions: Versions,
    /// Data halls that it may be worked on in; `None` where that is all.
    pub halls: Option<Vec<String>>,
    /// Bytes of the results that it starts from, by data hall.
    pub results: Vec<(String, u64)>,
    /// Targets ended under it before: it runs apart from others.
    pub is_suspect: bool,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// How long it waits at most where all engines are closed by their limits.
    pub waits_ms: Millis,
}

/// How a placement ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementEnd {
    /// The answer was whole.
    Whole,
    /// No good answer, and the engine is to blame.
    Failed,
    /// Given up for other reasons.
    Left,
}

/// An engine on the account.
#[derive(Debug, Default)]
struct Engine {
    slots: u32,
    hall: String,
    version: String,
    running: u32,
    /// Of these, the suspects.
    suspects: u32,
    unread_tokens: u64,
    health: EngineHealth,
    gate: ColdGate,
    limit: Option<f64>,
    limit_gate: LimitGate,
}

impl Engine {
    /// When it may get a request at the earliest.
    fn opens(&self, now: Millis, part: LimitShare) -> Millis {
        let by_limit = self.limit_gate.opens(now, self.limit, part);
        self.gate.opens(now).max(by_limit)
    }
}

/// A generation at its engine.
#[derive(Debug)]
struct Placement<K> {
    engine: K,
    from_hall: String,
    part: String,
    placed: Millis,
    /// Its own tokens that the engine has yet to read.
    unread_tokens: u64,
    /// Tokens that the engine had to read up to its first event.
    tokens_ahead: u64,
    /// Others had read its part there before.
    was_kept: bool,
    is_suspect: bool,
    has_begun: bool,
}

/// The account of a group of engines.
#[derive(Debug)]
pub struct EngineDesk<K> {
    engines: HashMap<K, Engine>,
    /// Their keys in an order that doesn't depend on the table's.
    order: Vec<K>,
    placements: SlotMap<PlacementKey, Placement<K>>,
    /// Engines that keep a part, and when it was last used there.
    kept: HashMap<String, HashMap<K, Millis>>,
    ms_per_token: f64,
    rules: HealthRules,
    /// Which part of the engines' limits this desk gives.
    limit_share: LimitShare,
}

/// Time to a first event, with so many tokens to read before it.
fn expected_ms(ms_per_token: f64, tokens: u64) -> Millis {
    (BASE_MS + ms_per_token * tokens as f64) as Millis
}

/// What the end of a placement tells of its engine's health, if anything.
fn observation_of<K>(
    placement: &Placement<K>,
    end: PlacementEnd,
    now: Millis,
) -> Option<Observation> {
    match end {
        PlacementEnd::Failed => Some(Observation::Failed),
        // Its caller had to give up without a first event.
        PlacementEnd::Left if !placement.has_begun => {
            Some(Observation::TimedOut(now - placement.placed))
        }
        PlacementEnd::Left | PlacementEnd::Whole => None,
    }
}

impl<K: Clone + Eq + Hash + Ord> Default for EngineDesk<K> {
    fn default() -> Self {
        EngineDesk {
            engines: HashMap::new(),
            order: Vec::new(),
            placements: SlotMap::with_key(),
            kept: HashMap::new(),
            ms_per_token: FIRST_MS_PER_TOKEN,
            rules: HealthRules::default(),
            limit_share: LimitShare::default(),
        }
    }
}

impl<K: Clone + Eq + Hash + Ord> EngineDesk<K> {
    /// Takes the engines that may get new work.
    pub fn set_engines(&mut self, now: Millis, engines: &[DeskEngine<K>]) {
        let present: HashSet<&K> = engines.iter().map(|engine| &engine.key).collect();
        self.engines.retain(|key, _| present.contains(key));
        for engine in engines {
            let state = self.engines.entry(engine.key.clone()).or_default();
            state.slots = engine.slots;
            state.hall.clone_from(&engine.hall);
            state.version.clone_from(&engine.version);
            state.gate.meet(now, engine.cold, DESK_SHARE, 0.0);
            state.limit = engine.limit;
        }
        self.order = self.engines.keys().cloned().collect();
        self.order.sort();
    }

    /// Gives another part of the engines' limits from now on.
    pub fn set_limit_share(&mut self, part: LimitShare) {
        self.limit_share = part;
    }

    /// When a demand would get one of the engines that are closed by their limits alone,
    /// behind so many others; `None` where there is no such engine.
    pub fn turn(&self, now: Millis, demand: &Demand<K>, ahead: usize) -> Option<Turn> {
        let part = self.limit_share;
        let engines = self.allowed(demand).map(|key| &self.engines[key]);
        let limited = engines.filter(|engine| engine.limit.is_some() && engine.gate.is_open(now));
        let first = limited
            .clone()
            .map(|engine| engine.opens(now, part))
            .min()?;
        let rates = limited.filter_map(|engine| engine.limit);
        let per_s: f64 = rates.map(|per_s| part.rate(per_s)).sum();
        let behind_ms = (ahead as f64 * 1_000.0 / per_s) as Millis;
        Some(Turn {
            in_ms: first - now + behind_ms,
            per_s,
        })
    }

    /// True when some engine may get a request now.
    pub fn is_any_open(&self, now: Millis) -> bool {
        let mut engines = self.engines.values();
        engines.any(|engine| engine.opens(now, self.limit_share) == now)
    }

    /// When the first engine opens that is closed now; `None` when none is.
    pub fn next_opening(&self, now: Millis) -> Option<Millis> {
        let engines = self.engines.values();
        let opens = engines.map(|engine| engine.opens(now, self.limit_share));
        opens.filter(|opens| *opens > now).min()
    }

    /// Places a generation; `affinity` is the rendezvous score of an engine for
    /// its part. `None` when every engine is to be avoided, or has had what it takes.
    pub fn place(
        &mut self,
        now: Millis,
        demand: &Demand<K>,
        affinity: impl Fn(&K) -> u64,
    ) -> Option<(PlacementKey, K)> {
        let open = self
            .allowed(demand)
            .filter(|key| self.engines[*key].opens(now, self.limit_share) == now)
            .collect();
        let keys = match demand.is_suspect {
            true => self.emptiest(now, &demand.from_hall, open),
            false => self.without_suspects(open),
        };
        let candidates: Vec<EngineCandidate> = keys
            .iter()
            .map(|key| self.candidate(now, key, demand, affinity(key)))
            .collect();
        let choice = choose_engine(&candidates, demand.shared_tokens)?;
        let engine = keys[choice.at].clone();
        let to_read = if candidates[choice.at].keeps_part {
            demand.prompt_tokens.saturating_sub(demand.shared_tokens)
        } else {
            demand.prompt_tokens
        };
        Some((self.account(now, demand, engine.clone(), to_read), engine))
    }

    /// The engines that a demand may get, open or not.
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

    /// The engines that are well and run as few suspects as any, and of these, as few
    /// others: what ends with a suspect there is least, and no other suspect is blamed.
    fn emptiest<'a>(&self, now: Millis, hall: &str, keys: Vec<&'a K>) -> Vec<&'a K> {
        let runs = |key: &K| {
            let engine = &self.engines[key];
            let is_out = engine.health.is_ejected(hall, now);
            (is_out, engine.suspects, engine.running)
        };
        let least = keys.iter().map(|key| runs(key)).min();
        let is_least = |key: &&K| Some(runs(key)) == least;
        keys.into_iter().filter(is_least).collect()
    }

    /// The engines that run no suspect, as long as those that do are few: when many
    /// targets ended at once, suspects are everywhere, and most of them are innocent.
    fn without_suspects<'a>(&self, keys: Vec<&'a K>) -> Vec<&'a K> {
        let is_free = |key: &&&K| self.engines[**key].suspects == 0;
        let free = keys.iter().filter(is_free).count();
        let taken = keys.len() - free;
        if taken == 0 || taken as f64 > keys.len() as f64 * MOST_APART {
            return keys;
        }
        keys.into_iter().filter(|key| is_free(&key)).collect()
    }

    fn candidate(
        &self,
        now: Millis,
        key: &K,
        demand: &Demand<K>,
        affinity: u64,
    ) -> EngineCandidate {
        let engine = &self.engines[key];
        let outside = demand
            .results
            .iter()
            .filter(|(hall, _)| *hall != engine.hall);
        let kept = self.kept.get(&demand.part).and_then(|kept| kept.get(key));
        EngineCandidate {
            affinity,
            keeps_part: kept.is_some_and(|used| now < used + KEPT_MS),
            load: f64::from(engine.running) / f64::from(engine.slots.max(1)),
            unread_tokens: engine.unread_tokens,
            slowness: engine.health.slowness(&demand.from_hall),
            ejected: engine.health.is_ejected(&demand.from_hall, now),
            outside_bytes: outside.map(|(_, bytes)| bytes).sum(),
        }
    }

    /// Puts a generation on its engine's account.
    fn account(
        &mut self,
        now: Millis,
        demand: &Demand<K>,
        engine: K,
        to_read: u64,
    ) -> PlacementKey {
        let state = self.engines.get_mut(&engine).expect("it was a candidate");
        state.running += 1;
        state.suspects += u32::from(demand.is_suspect);
        state.unread_tokens += to_read;
        state.gate.sent(now, self.limit_share.cold_share());
        state.limit_gate.sent(now, state.limit, self.limit_share);
        let tokens_ahead = state.unread_tokens;
        // A request without a prompt leaves nothing that an engine could keep.
        let was_kept = demand.prompt_tokens > 0 && {
            let kept = self.kept.entry(demand.part.clone()).or_default();
            kept.insert(engine.clone(), now).is_some()
        };
        self.placements.insert(Placement {
            engine,
            from_hall: demand.from_hall.clone(),
            part: demand.part.clone(),
            placed: now,
            unread_tokens: to_read,
            tokens_ahead,
            was_kept,
            is_suspect: demand.is_suspect,
            has_begun: false,
        })
    }

    /// The first event came: the prompt is read.
    pub fn prompt_read(&mut self, key: PlacementKey, now: Millis) {
        let Some(placement) = self.placements.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut placement.has_begun, true) {
            return;
        }
        let unread = std::mem::take(&mut placement.unread_tokens);
        let took = (now - placement.placed) as f64;
        let tokens = placement.tokens_ahead;
        let expected = expected_ms(self.ms_per_token, tokens);
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            engine.unread_tokens = engine.unread_tokens.saturating_sub(unread);
            let observation = Observation::Answered(took as Millis);
            engine
                .health
                .observe(&placement.from_hall, observation, expected);
        }
        if tokens >= LEAST_TOKENS {
            let measured = (took - BASE_MS).max(0.0) / tokens as f64;
            self.ms_per_token += NEW_WEIGHT * (measured - self.ms_per_token);
        }
        let engine = placement.engine.clone();
        if let Some(kept) = self.kept.get_mut(&placement.part) {
            kept.insert(engine, now);
        }
    }

    /// A placement ended. Returns engines that are put out for it.
    pub fn ended(&mut self, key: PlacementKey, end: PlacementEnd, now: Millis) -> Vec<K> {
        let Some(placement) = self.placements.remove(key) else {
            return Vec::new();
        };
        let Some(engine) = self.engines.get_mut(&placement.engine) else {
            return Vec::new();
        };
        engine.running = engine.running.saturating_sub(1);
        let suspects = u32::from(placement.is_suspect);
        engine.suspects = engine.suspects.saturating_sub(suspects);
        engine.unread_tokens = engine.unread_tokens.saturating_sub(placement.unread_tokens);
        let expected = expected_ms(self.ms_per_token, placement.tokens_ahead);
        if let Some(observation) = observation_of(&placement, end, now) {
            let health = &mut engine.health;
            health.observe(&placement.from_hall, observation, expected);
        }
        if !placement.has_begun && !placement.was_kept {
            // It may never have read the part.
            if let Some(kept) = self.kept.get_mut(&placement.part) {
                kept.remove(&placement.engine);
            }
        }
        self.eject(now, &placement.from_hall)
    }

    /// Puts engines out for a while that deserve it. Returns those newly out.
    fn eject(&mut self, now: Millis, hall: &str) -> Vec<K> {
        let mut engines: Vec<(&K, &mut EngineHealth)> = self
            .engines
            .iter_mut()
            .map(|(key, engine)| (key, &mut engine.health))
            .collect();
        engines.sort_by(|a, b| a.0.cmp(b.0));
        let (keys, mut healths): (Vec<&K>, Vec<&mut EngineHealth>) = engines.into_iter().unzip();
        let ejected = health::eject(now, &self.rules, hall, &mut healths);
        ejected.into_iter().map(|at| keys[at].clone()).collect()
    }

    /// True when no engine has anything on the account.
    pub fn is_idle(&self) -> bool {
        let is_idle = |engine: &Engine| engine.running == 0 && engine.unread_tokens == 0;
        self.placements.is_empty() && self.engines.values().all(is_idle)
    }

    /// Forgets placements whose askers fell silent, and parts long unused. Returns
    /// engines that are put out.
    pub fn sweep(&mut self, now: Millis) -> Vec<K> {
        let is_silent = |placement: &Placement<K>| {
            let longest = if placement.has_begun {
                FORGET_MS
            } else {
                FORGET_UNREAD_MS
            };
            placement.placed + longest <= now
        };
        let silent: Vec<PlacementKey> = self
            .placements
            .iter()
            .filter(|(_, placement)| is_silent(placement))
            .map(|(key, _)| key)
            .collect();
        let mut ejected = Vec::new();
        for key in silent {
            ejected.extend(self.ended(key, PlacementEnd::Whole, now));
        }
        self.kept.retain(|_, kept| {
            kept.retain(|_, used| now < *used + KEPT_MS);
            !kept.is_empty()
        });
        ejected
    }
}
