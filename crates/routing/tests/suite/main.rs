//! The decisions of traffic.

mod admission;
mod budget;
mod choose;
mod cold;
mod crash_ledger;
mod deadline;
mod desk;
mod engine;
mod health;
mod limit;
mod pace;
mod progress;
mod random_admission;
mod reading;

/// The same cases in every run; the long mode has more.
pub fn config(seed: u64) -> proptest::test_runner::Config {
    let cases = std::env::var("HOLLOWSAIL_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(256);
    proptest::test_runner::Config {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Default::default()
    }
}
