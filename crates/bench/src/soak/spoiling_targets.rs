//! Soak of targets that are processes of their own and spoil their answers: heads that can't be read in one
//! way, answers before the request was read, followed by a reset, and odd statuses. Gateways are killed,
//! stopped and paused in series, and targets are killed and suspended, meanwhile.
//!
//! Callers may get no other body as a complete one, and what is sent again has to be granted.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::failing_targets::{draw_faults, play, Failing};
use super::plan::SoakPlan;
use super::report::SoakReport;
use super::target_processes::{callers, disturb_ends, SECTIONS, SERVICES};
use super::{SoakError, SoakOptions};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x7370_6f69;
/// Time in which gateways and targets are disturbed, in milliseconds.
const DISTURBED_MS: Range<u64> = 1_000..22_000;
/// Length of a run: targets have read everything by then.
const LENGTH: Duration = Duration::from_secs(34);
/// Duration of a fault of a gateway, in milliseconds.
const FAULT_MS: Range<u64> = 200..1_500;
/// Times in which targets of a service spoil answers, and how long one lasts, in milliseconds.
const TIMES: Range<usize> = 3..6;
const SPOILING_MS: Range<u64> = 2_000..9_000;
/// Percentage of the answers that are spoilt meanwhile.
const SPOILT_PERCENT: Range<u32> = 10..95;
/// How answers are spoilt, as the emulator's settings name it.
const MODES: [&str; 3] = ["spoil-head", "answer-early", "odd-status"];
/// How long targets are away or stand still, in milliseconds.
const AWAY_MS: Range<u64> = 500..3_000;

/// Runs once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = draw(options);
    let played = play(options, &plan, callers(options)).await?;
    Ok(played.report(options, &plan, Vec::new()))
}

fn draw(options: &SoakOptions) -> SoakPlan {
    let SoakOptions { seed, entries, .. } = *options;
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut sections = vec![SECTIONS.to_string()];
    for (service, targets) in SERVICES {
        for number in 0..rng.random_range(TIMES) {
            let spoiling = Failing {
                targets: rng.random_range(targets.div_ceil(2)..=targets),
                percent: rng.random_range(SPOILT_PERCENT),
                how: MODES.choose(&mut rng).expect("there are modes"),
                at_ms: rng.random_range(DISTURBED_MS),
                for_ms: rng.random_range(SPOILING_MS),
            };
            sections.push(spoiling.section(service, number));
        }
        sections.push(absence(&mut rng, service, targets));
    }
    let count = rng.random_range(0..=2 * entries);
    let mut faults = draw_faults(&mut rng, entries, count, DISTURBED_MS, FAULT_MS);
    faults.extend(disturb_ends(&mut rng, entries));
    faults.retain(|fault| fault.at < LENGTH);
    SoakPlan::of_site(options, &sections.join("\n"), faults, LENGTH)
}

/// Section of a time in which one target of a service is away or stands still.
fn absence(rng: &mut SmallRng, service: &str, targets: usize) -> String {
    let what = ["targets-gone", "targets-suspended"]
        .choose(rng)
        .expect("there are two");
    let first = rng.random_range(0..targets);
    let (at_ms, for_ms) = (rng.random_range(DISTURBED_MS), rng.random_range(AWAY_MS));
    format!(
        "[trouble.{service}-away]\nwhat = {what}\nservice = {service}\nfirst = {first}\ntargets = 1\n\
         at_ms = {at_ms}\nfor_ms = {for_ms}\n"
    )
}
