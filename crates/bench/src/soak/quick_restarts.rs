//! Soak of processes that are killed and start again at once on the same address: gateways, and targets
//! that are processes, in series and after others stood still; beside planned stops, and a store that does writes late, resets
//! connections, or is silent while leases run out.
//!
//! The site is that of [`super::target_processes`].

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::failing_targets::{play, Failing};
use super::plan::{EntryFault, PlannedFault, SoakPlan};
use super::report::SoakReport;
use super::target_processes::{callers, usual_errors, PRESSED_PERCENT, SECTIONS, STAGE_SERVICES};
use super::{SoakError, SoakOptions};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x7265_7374;
/// Time in which processes are disturbed, in milliseconds.
const DISTURBED_MS: Range<u64> = 3_000..24_000;
/// Length of a run.
const LENGTH: Duration = Duration::from_secs(34);
/// How long a killed process is away, and a stopped one, in milliseconds.
const AWAY_MS: Range<u64> = 1..300;
/// Series of kills of each gateway on average, how many each has, and the time between two of them.
const SERIES: usize = 1;
const KILLS: Range<usize> = 2..5;
const KILLS_APART_MS: Range<u64> = 300..2_500;
/// Planned stops of each gateway on average.
const STOPS: usize = 1;
/// Standstills of gateways that are followed by a kill of another one, how long they last, and the time
/// from their end to the kill, in milliseconds.
const STANDSTILLS: usize = 8;
const STANDSTILL_MS: Range<u64> = 400..1_000;
const KILLED_AFTER_MS: Range<u64> = 0..800;
/// Times that targets of a stage service are killed.
const TARGET_KILLS: Range<usize> = 3..9;
/// Percentage of hosts for which the store is away, and how long, in milliseconds.
const STORE_HOSTS_PERCENT: Range<usize> = 10..60;
const STORE_MS: Range<u64> = 3_000..8_000;

/// Runs once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = draw(options);
    let played = play(options, &plan, callers(options)).await?;
    Ok(played.report(options, &plan, Vec::new()))
}

fn draw(options: &SoakOptions) -> SoakPlan {
    let SoakOptions { seed, entries, .. } = *options;
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut sections = vec![SECTIONS.to_string(), usual_errors(LENGTH)];
    let is_pressed = rng.random_bool(0.5);
    for (service, targets) in STAGE_SERVICES {
        if is_pressed {
            let failing = Failing::for_whole_run(&mut rng, targets, PRESSED_PERCENT, LENGTH);
            sections.push(failing.section(service, 0));
        }
        let kills = rng.random_range(TARGET_KILLS);
        sections.extend((0..kills).map(|number| target_kill(&mut rng, service, targets, number)));
    }
    sections.extend(store_troubles(&mut rng, entries));
    let mut faults = Vec::new();
    for _ in 0..entries * SERIES {
        let entry = rng.random_range(0..entries);
        let mut at_ms = rng.random_range(DISTURBED_MS);
        for _ in 0..rng.random_range(KILLS) {
            let away_ms = rng.random_range(AWAY_MS);
            faults.push(PlannedFault::of_ms(EntryFault::Kill, entry, at_ms, away_ms));
            at_ms += rng.random_range(KILLS_APART_MS);
        }
    }
    let stops = (0..entries * STOPS).map(|_| {
        let entry = rng.random_range(0..entries);
        let (at_ms, away_ms) = (rng.random_range(DISTURBED_MS), rng.random_range(AWAY_MS));
        PlannedFault::of_ms(EntryFault::Stop, entry, at_ms, away_ms)
    });
    faults.extend(stops);
    faults.extend((0..STANDSTILLS).flat_map(|_| standstill_before_kill(&mut rng, entries)));
    SoakPlan::of_site(options, &sections.join("\n"), faults, LENGTH)
}

/// A gateway that stands still, and another one that is killed soon after it went on: what the first one
/// missed of the second it doesn't get any more.
fn standstill_before_kill(rng: &mut SmallRng, entries: usize) -> [PlannedFault; 2] {
    let (paused, at_ms) = (rng.random_range(0..entries), rng.random_range(DISTURBED_MS));
    let killed = (paused + rng.random_range(1..entries)) % entries;
    let for_ms = rng.random_range(STANDSTILL_MS);
    let kill_ms = at_ms + for_ms + rng.random_range(KILLED_AFTER_MS);
    let pause = PlannedFault::of_ms(EntryFault::Pause, paused, at_ms, for_ms);
    let away_ms = rng.random_range(AWAY_MS);
    [
        pause,
        PlannedFault::of_ms(EntryFault::Kill, killed, kill_ms, away_ms),
    ]
}

/// Section of targets that are killed, and start again on the same address.
fn target_kill(rng: &mut SmallRng, service: &str, targets: usize, number: usize) -> String {
    let (at_ms, away_ms) = (rng.random_range(DISTURBED_MS), rng.random_range(AWAY_MS));
    let count = rng.random_range(1..=targets.div_ceil(2));
    let first = rng.random_range(0..=targets - count);
    format!(
        "[trouble.{service}-killed-{number}]\nwhat = targets-gone\nkeeps_address = 1\n\
         service = {service}\nfirst = {first}\ntargets = {count}\nat_ms = {at_ms}\n\
         for_ms = {away_ms}\n"
    )
}

/// Sections of two times in which the store is away for some hosts or for all.
fn store_troubles(rng: &mut SmallRng, entries: usize) -> Vec<String> {
    let kinds = [
        "store-late",
        "store-resetting",
        "store-silent\nleases_lapse = 1",
    ];
    let trouble = |number: usize| {
        let what = kinds.choose(rng).expect("there are kinds");
        let (at_ms, for_ms) = (rng.random_range(DISTURBED_MS), rng.random_range(STORE_MS));
        let hosts = (entries * rng.random_range(STORE_HOSTS_PERCENT)).div_ceil(100);
        let first = rng.random_range(0..=entries - hosts);
        let affected = match rng.random_bool(0.7) {
            true => format!("first = {first}\nhosts = {hosts}\n"),
            false => String::new(),
        };
        format!(
            "[trouble.store-{number}]\nwhat = {what}\n{affected}at_ms = {at_ms}\nfor_ms = {for_ms}\n"
        )
    };
    (0..2).map(trouble).collect()
}
