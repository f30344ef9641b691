//! Chooses the engine for a generation.
//!
//! The cost of an engine is counted in tokens to prefill: the shared prefix if it isn't
//! cached there, results to be moved from other halls, and prefill pending for other
//! requests. The lowest cost wins. Rendezvous hashing by the last shared part picks the
//! engine that caches it, so that entries agree without communication.

use std::cmp::Reverse;

/// Bytes moved between halls that cost as much as recomputing one token, by the operators'
/// prices.
const BYTES_PER_TOKEN: f64 = 3_100.0;
/// Cost of a full batch: running requests slow down decoding, but don't delay the first
/// token.
const FULL_BATCH_TOKENS: f64 = 4_000.0;
/// Weight of a recomputed token: it costs money as well as time.
const RECOMPUTE_WEIGHT: f64 = 2.0;
/// Weight of pending tokens. Only this entry's own are known; they stand in for those of
/// all entries.
const PENDING_WEIGHT: f64 = 1.0;

/// One engine to choose from.
#[derive(Debug, Clone, Copy)]
pub struct EngineCandidate {
    /// Rendezvous score for the last shared part.
    pub affinity: u64,
    /// The shared prefix is known to be cached there.
    pub has_cached_prefix: bool,
    /// Share of its slots in use; 1 is full.
    pub load: f64,
    /// Prompt tokens of this entry that it has yet to prefill.
    pub pending_prefill_tokens: u64,
    /// Ratio of recent to typical latency; 1 is typical.
    pub slowness: f64,
    pub ejected: bool,
    /// Bytes of the request's input results stored in other halls.
    pub remote_bytes: u64,
}

/// A chosen engine and its cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineChoice {
    /// Position among the candidates.
    pub index: usize,
    pub cost_tokens: f64,
    /// The shared prefix is expected to be cached there.
    pub expects_prefix: bool,
}

/// Chooses the engine with the lowest cost. If none is known to cache the shared prefix,
/// the first in rendezvous order is assumed to. Ejected engines are used only when all are
/// ejected.
pub fn choose_engine(candidates: &[EngineCandidate], shared_tokens: u64) -> Option<EngineChoice> {
    let all_ejected = candidates.iter().all(|engine| engine.ejected);
    let may_serve = |engine: &EngineCandidate| all_ejected || !engine.ejected;
    let usable = || (0..candidates.len()).filter(|&index| may_serve(&candidates[index]));
    let first = usable().max_by_key(|&index| candidates[index].affinity)?;
    let any_cached = usable().any(|index| candidates[index].has_cached_prefix);
    let expects_prefix = |index: usize| match any_cached {
        true => candidates[index].has_cached_prefix,
        false => index == first,
    };
    let best = usable().min_by(|&a, &b| {
        let key = |index: usize| cost(&candidates[index], expects_prefix(index), shared_tokens);
        let order = |index: usize| Reverse(candidates[index].affinity);
        key(a).total_cmp(&key(b)).then(order(a).cmp(&order(b)))
    })?;
    Some(EngineChoice {
        index: best,
        cost_tokens: cost(&candidates[best], expects_prefix(best), shared_tokens),
        expects_prefix: expects_prefix(best),
    })
}

fn cost(engine: &EngineCandidate, expects_prefix: bool, shared_tokens: u64) -> f64 {
    let recomputed = if expects_prefix {
        0.0
    } else {
        shared_tokens as f64 * RECOMPUTE_WEIGHT
    };
    let moved = engine.remote_bytes as f64 / BYTES_PER_TOKEN;
    let pending = engine.pending_prefill_tokens as f64 * PENDING_WEIGHT;
    let batch = engine.load * FULL_BATCH_TOKENS;
    recomputed + moved + (pending + batch) * engine.slowness
}

/// True when recomputing the shared prefix costs more than moving the results, so that the
/// engine should be chosen before the hall that produces the results.
pub fn prefix_outweighs_results(shared_tokens: u64, result_bytes: u64) -> bool {
    shared_tokens as f64 > result_bytes as f64 / BYTES_PER_TOKEN
}
