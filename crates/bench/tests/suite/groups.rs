//! Prefix tokens recomputed as engines come and go, by how engines are split into groups.

use std::collections::HashMap;

use hollowsail_fleet::{groups, rendezvous};
use hollowsail_routing::{Demand, EngineScheduler, PlacementEnd, SchedulableEngine, Versions};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Number of engines; one is replaced after every `PROMPTS_PER_REPLACEMENT` prompts.
const ENGINES: usize = 140;
const PROMPTS_PER_REPLACEMENT: usize = 60;
const PROMPTS: usize = 12_000;
/// Number and length of the shared prefixes.
const PREFIXES: usize = 750;
const PREFIX_TOKENS: u64 = 13_000;
/// Interval between prompts and duration of a run, in milliseconds.
const INTERVAL_MS: u64 = 4;
const RUN_MS: u64 = 800;

/// Assigns an engine or a prefix to the group of a scheduler, given all engines.
type Split = fn(engines: &[String], name: &str) -> String;

/// By position in the sorted list modulo the number of groups: membership changes whenever
/// an engine is added or removed.
fn by_position(engines: &[String], name: &str) -> String {
    let group_count = groups::count(engines.len(), 32);
    let group = match engines.binary_search_by(|engine| engine.as_str().cmp(name)) {
        Ok(position) => position % group_count,
        Err(_) => (rendezvous::score(name, "engines") % group_count as u64) as usize,
    };
    format!("{group}.{group_count}")
}

/// By rendezvous hashing into groups of 32 engines.
fn by_rendezvous(engines: &[String], name: &str) -> String {
    groups::group_of(name, groups::count(engines.len(), 32)).to_string()
}

/// One group of all engines.
fn single_group(engines: &[String], name: &str) -> String {
    groups::group_of(name, groups::count(engines.len(), 512)).to_string()
}

fn group_engines(engines: &[String], split: Split, group: &str) -> Vec<SchedulableEngine<String>> {
    let own = engines
        .iter()
        .filter(|engine| split(engines, engine) == group);
    let own = own.map(|engine| SchedulableEngine {
        key: engine.clone(),
        slots: 64,
        hall: "hall-a".to_string(),
        version: String::new(),
        warm_up: None,
        limit: None,
        max_running: None,
    });
    own.collect()
}

/// Prefix tokens prefilled on one engine while another one had them cached.
fn recomputed_tokens(split: Split) -> u64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut engines: Vec<String> = (0..ENGINES)
        .map(|_| format!("i-{:08x}", rng.random::<u32>()))
        .collect();
    engines.sort();
    let mut schedulers: HashMap<String, EngineScheduler<String>> = HashMap::new();
    let mut cached: HashMap<usize, Vec<String>> = HashMap::new();
    let mut running = std::collections::VecDeque::new();
    let mut tokens = 0;
    for prompt in 0..PROMPTS {
        let now = prompt as u64 * INTERVAL_MS;
        while running.front().is_some_and(|(ends, _, _)| *ends <= now) {
            let Some((_, group, key)) = running.pop_front() else {
                break;
            };
            let scheduler: &mut EngineScheduler<String> = schedulers.entry(group).or_default();
            scheduler.prefill_done(key, now);
            scheduler.record_end(key, PlacementEnd::Completed, now);
        }
        if prompt % PROMPTS_PER_REPLACEMENT == 0 {
            let removed = engines.remove(rng.random_range(0..engines.len()));
            cached
                .values_mut()
                .for_each(|holders| holders.retain(|engine| *engine != removed));
            engines.push(format!("i-{:08x}", rng.random::<u32>()));
            engines.sort();
            for (group, scheduler) in &mut schedulers {
                scheduler.set_engines(now, &group_engines(&engines, split, group));
            }
        }
        let prefix = rng.random_range(0..PREFIXES);
        let name = format!("part-{prefix}");
        let group = split(&engines, &name);
        let scheduler = schedulers.entry(group.clone()).or_insert_with(|| {
            let mut scheduler = EngineScheduler::default();
            scheduler.set_engines(now, &group_engines(&engines, split, &group));
            scheduler
        });
        let demand = Demand {
            from_hall: "hall-a".to_string(),
            part: name.clone(),
            shared_tokens: PREFIX_TOKENS,
            prompt_tokens: PREFIX_TOKENS + 3_700,
            avoid: Vec::new(),
            versions: Versions::All,
            halls: None,
            results: Vec::new(),
            is_suspect: false,
            urgency: 0,
            max_wait_ms: 0,
        };
        let placed = scheduler.place(now, &demand, |engine| rendezvous::score(&name, engine));
        let (key, engine) = placed.expect("the group has engines");
        let holders = cached.entry(prefix).or_default();
        if !holders.contains(&engine) {
            tokens += if holders.is_empty() { 0 } else { PREFIX_TOKENS };
            holders.push(engine);
        }
        running.push_back((now + RUN_MS, group, key));
    }
    tokens
}

/// Guards against groups that change whenever engines come and go, which defeats prefix caching.
#[test]
fn stable_groups_recompute_fewer_tokens() {
    let (position, rendezvous, single) = (
        recomputed_tokens(by_position),
        recomputed_tokens(by_rendezvous),
        recomputed_tokens(single_group),
    );
    assert!(rendezvous * 2 < position, "{rendezvous} and {position}");
    assert!(single <= rendezvous, "{single} and {rendezvous}");
}
