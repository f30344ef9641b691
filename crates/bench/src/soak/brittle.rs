//! A service in a soak run whose targets fail when they have to refuse too many requests.
//!
//! The platform counts the targets that fail. Drawn from a random stream of its own, so that the
//! faults of a seed don't depend on it.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::contention::Contender;

/// Separates this random stream from the one of the faults.
const STREAM: u64 = 0x6272_6974;
/// Earliest start of the time, in milliseconds, and its length.
const FIRST_MS: u64 = 4_000;
const BRITTLE_MS: u64 = 10_000;
const PATH: &str = "/brittle/";
/// Callers of the service. They use most of its room, so that some targets have none at times.
const CALLERS: usize = 24;

const SECTIONS: &str = "\
[service.brittle]
kind = plain
targets = 4
slots = 2
queue = 8
work_ms = 40

[route.brittle]
kind = safe
path = /brittle/
service = brittle
attempts = 1
";

/// Draws the sections of the site. `latest` is the latest start in seconds.
pub fn draw(seed: u64, latest: u64) -> String {
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let at_ms = rng.random_range(FIRST_MS..latest * 1_000);
    format!(
        "{SECTIONS}\n\
         [trouble.brittle]\nwhat = targets-brittle\nservice = brittle\ntargets = 4\n\
         refusals = 2\nat_ms = {at_ms}\nfor_ms = {BRITTLE_MS}\n"
    )
}

/// The callers of the service.
pub fn callers() -> impl Iterator<Item = Contender> {
    let caller = Contender::of_path(PATH);
    std::iter::repeat_n(caller, CALLERS)
}
