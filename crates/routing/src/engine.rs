//! Which engine gets a generation.
//!
//! An engine that keeps the shared parts of a prompt doesn't read them again,
//! and results that lie in its hall needn't be moved. Both are counted in
//! tokens to read, and so is what an engine has yet to read for others: the
//! lowest sum wins. Rendezvous hashing by the last shared part says which
//! engine keeps it, so that all entries agree without talking; where that one
//! is out or busy, the next in order is the same for all, too.

use std::cmp::Reverse;

/// Bytes of results whose move between halls weighs as much as one token that
/// is read again. From the operators' prices of the two.
const BYTES_PER_TOKEN: f64 = 3_100.0;
/// Tokens that a full batch of others' requests weighs: they slow each new
/// token down, but don't hold the first one up.
const FULL_BATCH_TOKENS: f64 = 4_000.0;
/// Weight of a token that is read again: it has a price besides its time.
const READ_AGAIN_WEIGHT: f64 = 2.0;
/// Weight of tokens that wait to be read before ours. Only this entry's own are
/// known, and they stand for those of all.
const UNREAD_WEIGHT: f64 = 1.0;

/// One engine as the choice sees it.
#[derive(Debug, Clone, Copy)]
pub struct EngineCandidate {
    /// Rendezvous score for the last shared part.
    pub affinity: u64,
    /// It is known to keep the shared parts.
    pub keeps_part: bool,
    /// Part of its slots that is taken; 1 is full.
    pub load: f64,
    /// Prompt tokens that it has yet to read for this entry.
    pub unread_tokens: u64,
    /// Recent times over typical ones; 1 is as usual.
    pub slowness: f64,
    pub ejected: bool,
    /// Bytes of the request's results that lie outside its hall.
    pub outside_bytes: u64,
}

/// What an engine would cost, in tokens to read.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineChoice {
    /// Position among the candidates.
    pub at: usize,
    pub cost_tokens: f64,
    /// It should keep the shared parts.
    pub is_home: bool,
}

/// Chooses an engine for a prompt with so many tokens in shared parts. Where none
/// is known to keep them, the first in rendezvous order is taken to. Ejected ones
/// are used only when all are.
pub fn choose_engine(candidates: &[EngineCandidate], shared_tokens: u64) -> Option<EngineChoice> {
    let all_out = candidates.iter().all(|engine| engine.ejected);
    let may_serve = |engine: &EngineCandidate| all_out || !engine.ejected;
    let usable = || (0..candidates.len()).filter(|&at| may_serve(&candidates[at]));
    let first = usable().max_by_key(|&at| candidates[at].affinity)?;
    let some_keeps = usable().any(|at| candidates[at].keeps_part);
    let is_home = |at: usize| match some_keeps {
        true => candidates[at].keeps_part,
        false => at == first,
    };
    let best = usable().min_by(|&a, &b| {
        let key = |at: usize| cost(&candidates[at], is_home(at), shared_tokens);
        let order = |at: usize| Reverse(candidates[at].affinity);
        key(a).total_cmp(&key(b)).then(order(a).cmp(&order(b)))
    })?;
    Some(EngineChoice {
        at: best,
        cost_tokens: cost(&candidates[best], is_home(best), shared_tokens),
        is_home: is_home(best),
    })
}

fn cost(engine: &EngineCandidate, is_home: bool, shared_tokens: u64) -> f64 {
    let read_again = if is_home {
        0.0
    } else {
        shared_tokens as f64 * READ_AGAIN_WEIGHT
    };
    let moved = engine.outside_bytes as f64 / BYTES_PER_TOKEN;
    let waiting = engine.unread_tokens as f64 * UNREAD_WEIGHT;
    let others = engine.load * FULL_BATCH_TOKENS;
    read_again + moved + (waiting + others) * engine.slowness
}

/// True when a prompt's shared parts weigh more than moving results of so many
/// bytes: the results should be made where the engine is, not the other way
/// round.
pub fn engine_goes_first(shared_tokens: u64, result_bytes: u64) -> bool {
    shared_tokens as f64 > result_bytes as f64 / BYTES_PER_TOKEN
}
