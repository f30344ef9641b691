//! Soak of targets that stand still, in series and several at once, for a moment or longer than the
//! window of repeats, beside some that fail, while gateways are killed, stopped and paused and some
//! are cut off by links that hold what is sent.
//!
//! What targets read when they go on counts ([`super::repeats`]), also of requests that were given
//! up long before.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::failing_targets::{
    draw_faults, failing_section, host_section, run_plan, SECTIONS, SERVICES,
};
use super::plan::SoakPlan;
use super::report::SoakReport;
use super::{SoakError, SoakOptions};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x7375_7370;
/// Time in which targets stand still and gateways are disturbed, in milliseconds.
const FROM_MS: u64 = 4_000;
const UNTIL_MS: u64 = 24_000;
/// Length of a run: targets have read everything by then.
const LENGTH: Duration = Duration::from_secs(46);
/// Times in which targets of a service stand still, and how long, in milliseconds.
const SUSPENSIONS: usize = 3;
const SHORT_MS: Range<u64> = 300..2_500;
const LONG_MS: Range<u64> = 8_000..20_000;
/// Duration of a fault of a gateway, in milliseconds.
const FAULT_MS: Range<u64> = 200..1_500;

/// Runs once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    run_plan(options, &draw(options)).await
}

fn draw(options: &SoakOptions) -> SoakPlan {
    let SoakOptions { seed, entries, .. } = *options;
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut sections = vec![SECTIONS.to_string()];
    for (service, targets) in SERVICES {
        for number in 0..SUSPENSIONS {
            sections.push(suspended_section(&mut rng, service, targets, number));
        }
        if rng.random_bool(0.5) {
            sections.push(failing_section(&mut rng, service, targets, 0));
        }
    }
    for what in ["hosts-cut", "store-silent"] {
        sections.push(host_section(&mut rng, what, entries));
    }
    let count = rng.random_range(0..=entries);
    let faults = draw_faults(&mut rng, entries, count, FROM_MS..UNTIL_MS, FAULT_MS);
    SoakPlan::of_site(options, &sections.join("\n"), faults, LENGTH)
}

/// Section of a time in which some targets of a service stand still. At least one goes on, unless the
/// time is short.
fn suspended_section(rng: &mut SmallRng, service: &str, targets: usize, number: usize) -> String {
    let is_long = number == 0;
    let for_ms = match is_long {
        true => rng.random_range(LONG_MS),
        false => rng.random_range(SHORT_MS),
    };
    let at_ms = rng.random_range(FROM_MS..UNTIL_MS);
    let count = match is_long {
        true => rng.random_range(targets / 2..targets),
        false => rng.random_range(1..=targets),
    };
    let first = rng.random_range(0..=targets - count);
    format!(
        "[trouble.{service}-still-{number}]\nwhat = targets-suspended\nservice = {service}\n\
         first = {first}\ntargets = {count}\nat_ms = {at_ms}\nfor_ms = {for_ms}\n"
    )
}
