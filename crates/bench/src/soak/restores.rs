//! Soak of a store that is restored from older copies, in outages that gateways notice and in one that
//! they don't, while targets leave, are replaced and fail, and gateways are killed, stopped and paused
//! in series.
//!
//! Checked are above all the promises on targets that leave ([`super::departures`]) and on what is sent
//! again ([`super::repeats`]).

use std::ops::Range;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::plan::SoakPlan;
use super::report::SoakReport;
use super::{departures, failing_targets, SoakError, SoakOptions};

/// Separates this random stream from others of the same seed.
const STREAM: u64 = 0x7265_7374;
/// Time in which targets leave and fail and gateways are disturbed, in milliseconds.
const FROM_MS: u64 = 4_000;
const UNTIL_MS: u64 = 36_000;
/// Length of a run.
const LENGTH: Duration = Duration::from_secs(44);
/// Faults of gateways for each of them.
const FAULTS_PER_GATEWAY: usize = 2;
const FAULT_MS: Range<u64> = 200..1_500;
/// Time between two outages, in milliseconds: they come in a row, or the store is stable meanwhile.
const SHORT_GAP_MS: Range<u64> = 300..1_500;
const LONG_GAP_MS: Range<u64> = 4_000..6_000;
/// How much older than the outage the copy is, in milliseconds.
const LOST_MS: Range<u64> = 500..6_000;
/// How long a replaced target goes on after its record says that it drains, in milliseconds.
const DRAIN_MS: u64 = 5_000;

/// The outages of a run: how the store is away, and for how long, in milliseconds.
const OUTAGES: [(&str, Range<u64>); 4] = [
    ("silent", 3_500..5_000),
    ("silent", 200..500),
    ("refusing", 800..3_000),
    ("silent", 3_000..5_000),
];
/// Targets that are replaced one after the other: the service, and the first and the number of them.
const REPLACED: [(&str, usize, usize); 3] = [
    ("parting", 4, 4),
    ("parting-workers", 4, 2),
    ("parting-engines", 4, 2),
];

/// Runs once.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = draw(options);
    let callers = failing_targets::callers(options).chain(departures::callers());
    let played = failing_targets::play(options, &plan, callers).await?;
    let late_sends = departures::evaluate(&played.observations);
    Ok(played.report(options, &plan, late_sends))
}

fn draw(options: &SoakOptions) -> SoakPlan {
    let SoakOptions { seed, entries, .. } = *options;
    let mut rng = SmallRng::seed_from_u64(seed ^ STREAM);
    let mut sections = vec![failing_targets::SECTIONS.to_string()];
    for (service, targets) in failing_targets::SERVICES {
        sections.push(failing_targets::failing_section(
            &mut rng, service, targets, 0,
        ));
    }
    sections.push(departures::draw(seed, UNTIL_MS / 1_000, entries));
    sections.extend(draw_outages(&mut rng));
    for (service, first, count) in REPLACED {
        sections.push(release_sections(&mut rng, service, first, count));
    }
    let count = entries * FAULTS_PER_GATEWAY;
    let faults =
        failing_targets::draw_faults(&mut rng, entries, count, FROM_MS..UNTIL_MS, FAULT_MS);
    SoakPlan::of_site(options, &sections.join("\n"), faults, LENGTH)
}

/// Sections of the outages, in random order and one after the other.
fn draw_outages(rng: &mut SmallRng) -> Vec<String> {
    let mut outages = OUTAGES.to_vec();
    outages.shuffle(rng);
    let mut at_ms = rng.random_range(FROM_MS..FROM_MS * 2);
    let mut sections = Vec::new();
    for (number, (how, length_ms)) in outages.into_iter().enumerate() {
        let for_ms = rng.random_range(length_ms);
        let lost_ms = rng.random_range(LOST_MS);
        sections.push(format!(
            "[trouble.restored-{number}]\nwhat = store-restored\nhow = {how}\nlost_ms = {lost_ms}\n\
             at_ms = {at_ms}\nfor_ms = {for_ms}\n"
        ));
        let gap_ms = match rng.random_bool(0.5) {
            true => SHORT_GAP_MS,
            false => LONG_GAP_MS,
        };
        at_ms += for_ms + rng.random_range(gap_ms);
    }
    sections
}

/// Sections of a release: new targets start, and old ones drain one after the other.
fn release_sections(rng: &mut SmallRng, service: &str, first: usize, count: usize) -> String {
    let from_ms = rng.random_range(FROM_MS..UNTIL_MS / 2);
    let added = format!(
        "[trouble.{service}-added]\nwhat = targets-added\nservice = {service}\ntargets = {count}\n\
         version = v1\nat_ms = {from_ms}\n"
    );
    let drained = (0..count).map(|number| {
        let at_ms = from_ms + rng.random_range(2_000..4_000) * (number as u64 + 1);
        format!(
            "[trouble.{service}-replaced-{number}]\nwhat = targets-leave\nservice = {service}\n\
             first = {}\ntargets = 1\nat_ms = {at_ms}\nfor_ms = {DRAIN_MS}\n",
            first + number
        )
    });
    std::iter::once(added).chain(drained).collect()
}
