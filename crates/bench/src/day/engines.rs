//! The simulated engines.
//!
//! An engine prefills prompts one after the other, caches their shared prefixes, and produces
//! events more slowly the more runs it has. Some engines report a limit for a while.

use std::collections::HashMap;

use hollowsail_fleet::rendezvous;
use hollowsail_routing::limit::SETTLED_AFTER_MS;
use hollowsail_routing::{
    Demand, EngineScheduler, LimitShare, PlacementEnd, PlacementKey, SchedulableEngine, Versions,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::model::{DayModel, EngineModel};
use super::policy::{DayPolicy, EngineChoice};

/// One engine.
#[derive(Debug, Default)]
struct Engine {
    /// When the prefill of all its prompts is done, in milliseconds.
    prefill_until: f64,
    running: u32,
    /// Cached prefixes with the time of their last use, in milliseconds, and their tokens.
    cached_prefixes: HashMap<String, (u64, u64)>,
}

/// A prompt for an engine.
#[derive(Debug, Clone)]
pub struct Prompt {
    /// Name of its shared prefix; prefixes of one kind have the same length.
    pub prefix: String,
    pub shared_tokens: u64,
    pub own_tokens: u64,
    pub events: u32,
    /// Index of the data hall of the sending entry.
    pub hall: usize,
    /// Data halls and sizes in bytes of the results that it needs.
    pub results: Vec<(usize, u64)>,
}

/// A prompt running at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Run {
    pub engine: usize,
    placement: Option<PlacementKey>,
    /// Times of its first and its last event, in milliseconds.
    pub first_event_at: u64,
    pub ends_at: u64,
}

/// Outcome of sending a prompt.
#[derive(Debug, Clone, Copy)]
pub enum SendOutcome {
    Running(Run),
    /// All engines are busy; one accepts a prompt at this time, unless another takes it first.
    BusyUntil(u64),
}

/// All engines and the scheduler that chooses among them.
pub struct EnginePool {
    day: DayModel,
    model: EngineModel,
    /// The engines as the scheduler sees them.
    schedulable: Vec<SchedulableEngine<usize>>,
    engines: Vec<Engine>,
    scheduler: EngineScheduler<usize>,
    choice: EngineChoice,
    rng: SmallRng,
    /// Prefix tokens prefilled on one engine while another one had them cached.
    pub recomputed_tokens: u64,
}

fn hall_name(hall: usize) -> String {
    format!("hall-{hall}")
}

impl EnginePool {
    /// Creates idle engines spread over the halls.
    pub fn new(day: &DayModel, policy: &DayPolicy, seed: u64) -> Self {
        let mut scheduler = EngineScheduler::default();
        let engines: Vec<SchedulableEngine<usize>> = (0..day.engines.count)
            .map(|index| SchedulableEngine {
                key: index,
                slots: day.engines.slots,
                hall: hall_name(index % day.halls),
                version: String::new(),
                warm_up: None,
                limit: None,
                max_running: None,
            })
            .collect();
        scheduler.set_engines(0, &engines);
        scheduler.set_limit_share(LimitShare::owned_for(SETTLED_AFTER_MS));
        EnginePool {
            day: day.clone(),
            schedulable: engines,
            model: day.engines.clone(),
            engines: (0..day.engines.count).map(|_| Engine::default()).collect(),
            scheduler,
            choice: policy.engines,
            rng: SmallRng::seed_from_u64(seed),
            recomputed_tokens: 0,
        }
    }

    /// Passes the engines' current limits to the scheduler.
    fn update_limits(&mut self, now: u64) {
        let mut has_changed = false;
        for engine in &mut self.schedulable {
            let limit = self.day.engine_limit(engine.key, now);
            has_changed |= limit != engine.limit;
            engine.limit = limit;
        }
        if has_changed {
            self.scheduler.set_engines(now, &self.schedulable);
        }
    }

    /// Sends a prompt to an engine that accepts one, if there is any.
    pub fn send(&mut self, prompt: &Prompt, now: u64) -> SendOutcome {
        self.update_limits(now);
        let Some((engine, placement)) = self.choose(prompt, now) else {
            let next = self.scheduler.next_opening(now);
            return SendOutcome::BusyUntil(next.unwrap_or(now + 1));
        };
        let prefill_tokens = self.prefill_tokens(engine, prompt, now);
        let state = &mut self.engines[engine];
        state.running += 1;
        let prefill_start = state.prefill_until.max(now as f64);
        state.prefill_until = prefill_start + prefill_tokens as f64 / self.model.tokens_per_ms;
        let slowdown = 1.0 + f64::from(state.running) / f64::from(self.model.slots);
        let event_ms = self.model.event_ms * slowdown;
        let first_event_at = state.prefill_until + event_ms;
        SendOutcome::Running(Run {
            engine,
            placement,
            first_event_at: first_event_at as u64,
            ends_at: (first_event_at + event_ms * f64::from(prompt.events)) as u64,
        })
    }

    fn choose(&mut self, prompt: &Prompt, now: u64) -> Option<(usize, Option<PlacementKey>)> {
        let affinity = |engine: &usize| rendezvous::score(&prompt.prefix, engine);
        match self.choice {
            EngineChoice::Random => Some((self.rng.random_range(0..self.engines.len()), None)),
            EngineChoice::PrefixAffinity => (0..self.engines.len())
                .max_by_key(affinity)
                .map(|engine| (engine, None)),
            EngineChoice::Scheduler => {
                let results = prompt.results.iter();
                let demand = Demand {
                    from_hall: hall_name(prompt.hall),
                    part: prompt.prefix.clone(),
                    shared_tokens: prompt.shared_tokens,
                    prompt_tokens: prompt.shared_tokens + prompt.own_tokens,
                    avoid: Vec::new(),
                    versions: Versions::All,
                    halls: None,
                    results: results
                        .map(|(hall, bytes)| (hall_name(*hall), *bytes))
                        .collect(),
                    is_suspect: false,
                    urgency: 0,
                    max_wait_ms: 0,
                };
                let (key, engine) = self.scheduler.place(now, &demand, affinity)?;
                Some((engine, Some(key)))
            }
        }
    }

    /// Tokens of a prompt that the engine has to prefill. Caches the shared prefix and evicts
    /// the least recently used ones.
    fn prefill_tokens(&mut self, engine: usize, prompt: &Prompt, now: u64) -> u64 {
        let is_cached = |engine: &Engine| engine.cached_prefixes.contains_key(&prompt.prefix);
        let cached_here = is_cached(&self.engines[engine]);
        if !cached_here && self.engines.iter().any(is_cached) {
            self.recomputed_tokens += prompt.shared_tokens;
        }
        let cached = &mut self.engines[engine].cached_prefixes;
        cached.insert(prompt.prefix.clone(), (now, prompt.shared_tokens));
        while cached.values().map(|(_, tokens)| tokens).sum::<u64>() > self.model.cache_tokens {
            let oldest = cached
                .iter()
                .min_by_key(|(prefix, (used, _))| (*used, (*prefix).clone()));
            let Some(oldest) = oldest.map(|(prefix, _)| prefix.clone()) else {
                break;
            };
            cached.remove(&oldest);
        }
        match cached_here {
            true => prompt.own_tokens,
            false => prompt.own_tokens + prompt.shared_tokens,
        }
    }

    /// Handles the first event of a run: its prefill is done.
    pub fn first_event(&mut self, run: Run, now: u64) {
        if let Some(key) = run.placement {
            self.scheduler.prefill_done(key, now);
        }
    }

    /// Ends a run, either `completed` or abandoned by its caller.
    pub fn end_run(&mut self, run: Run, completed: bool, now: u64) {
        let state = &mut self.engines[run.engine];
        state.running = state.running.saturating_sub(1);
        let end = match completed {
            true => PlacementEnd::Completed,
            false => PlacementEnd::Abandoned,
        };
        if let Some(key) = run.placement {
            self.scheduler.record_end(key, end, now);
        }
    }
}
