//! Whether engines fetch what requests start from as soon as they get them.
//!
//! One that is full may only do so at a request's turn. Results that were given up
//! before that are missed: the engine says so, truly not run, and the stages are made
//! again. So after each miss nothing is given up early for a while.

use std::cell::Cell;

use hollowsail_routing::Millis;

/// How long nothing is given up early after a miss, in milliseconds: several times
/// what a full engine needs for what waits there.
const WARY_MS: Millis = 3_000;

/// What misses have shown.
#[derive(Debug, Default)]
pub struct Fetching {
    wary_until: Cell<Millis>,
}

impl Fetching {
    /// True when results may be given up before the engine's first event.
    pub fn is_prompt(&self, now: Millis) -> bool {
        now >= self.wary_until.get()
    }

    /// An engine missed results that had been given up.
    pub fn missed(&self, now: Millis) {
        self.wary_until.set(now + WARY_MS);
    }
}
