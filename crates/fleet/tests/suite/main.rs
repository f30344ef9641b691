//! Membership, leaving hosts, and accepting configurations, against simple
//! oracles.

mod accept;
mod cold_spells;
mod emptied_halls;
mod groups;
mod large_book;
mod leaving;
mod live_runs;
mod membership;
mod newest;
mod ownership;
mod readers;
mod returning_store;
mod standing;
mod target_book;
mod throttle;
mod watch_log;
mod watch_pause;

/// Cases per property; the long mode sets more.
pub fn cases() -> u32 {
    std::env::var("HOLLOWSAIL_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(256)
}

/// The same cases in every run.
pub fn config(seed: u64) -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        cases: cases(),
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Default::default()
    }
}
