//! Soak of the fixed allowance of repeats: hosts start one after the other, and are killed, replaced by
//! hosts of other names, stopped and paused, while targets fail most of what they get from the start.
//!
//! Requests are few, so that the fixed allowance is nearly all that there is ([`super::repeats`]).

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::failing_targets::{host_section, run_plan, Failing, SECTIONS, SERVICES};
use super::plan::{EntryFault, PlannedFault, SoakPlan};
use super::report::SoakReport;
use super::{SoakError, SoakOptions};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x6a6f_696e;
/// Length of a run.
const LENGTH: Duration = Duration::from_secs(30);
/// Time in which hosts are disturbed, in milliseconds.
const UNTIL_MS: u64 = 26_000;
/// Time between the starts of two hosts, in milliseconds.
const APART_MS: Range<u64> = 100..2_500;
/// Faults of each host after its start, and how long they last, in milliseconds.
const FAULTS_PER_HOST: usize = 2;
const FAULT_MS: Range<u64> = 100..2_500;
/// Percentage of what they get that targets fail.
const FAILING_PERCENT: Range<u32> = 60..100;

/// Runs once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    run_plan(options, &draw(options)).await
}

fn draw(options: &SoakOptions) -> SoakPlan {
    let SoakOptions { seed, entries, .. } = *options;
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut sections = vec![SECTIONS.to_string()];
    for (service, targets) in SERVICES {
        let failing = Failing::for_whole_run(&mut rng, targets, FAILING_PERCENT, LENGTH);
        sections.push(failing.section(service, 0));
    }
    for what in ["hosts-cut", "store-silent"] {
        if rng.random_bool(0.5) {
            sections.push(host_section(&mut rng, what, entries));
        }
    }
    let mut faults = Vec::new();
    let mut start_ms = 0;
    for entry in 0..entries {
        if entry > 0 {
            start_ms += rng.random_range(APART_MS);
            faults.push(PlannedFault::of_ms(EntryFault::Join, entry, start_ms, 0));
        }
        let from_ms = start_ms.min(UNTIL_MS - 1);
        let later = (0..FAULTS_PER_HOST).map(|_| draw_fault(&mut rng, entry, from_ms));
        faults.extend(later);
    }
    SoakPlan::of_site(options, &sections.join("\n"), faults, LENGTH)
}

fn draw_fault(rng: &mut SmallRng, entry: usize, from_ms: u64) -> PlannedFault {
    let kinds = [
        EntryFault::Kill,
        EntryFault::Stop,
        EntryFault::Pause,
        EntryFault::Replace,
    ];
    PlannedFault::of_ms(
        *kinds.choose(rng).expect("there are kinds"),
        entry,
        rng.random_range(from_ms..UNTIL_MS),
        rng.random_range(FAULT_MS),
    )
}
