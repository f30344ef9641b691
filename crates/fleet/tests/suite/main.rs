//! Tests of the membership and of the shared state, mostly against reference models.

mod accept;
mod connectivity;
mod evacuated_halls;
mod groups;
mod host_view;
mod large_registry;
mod list_freshness;
mod live_runs;
mod membership;
mod newest;
mod newest_runs;
mod ownership;
mod relays;
mod restored_store;
mod store_contact;
mod store_followers;
mod target_registry;
mod throttle;
mod warm_ups;
mod watch_log;
mod watch_pause;

/// Cases per property; `HOLLOWSAIL_CASES` overrides the default.
pub fn cases() -> u32 {
    std::env::var("HOLLOWSAIL_CASES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(256)
}

/// A configuration that generates the same cases in every run.
pub fn config(seed: u64) -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        cases: cases(),
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Default::default()
    }
}
