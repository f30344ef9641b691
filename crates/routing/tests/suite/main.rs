//! Tests of the routing decisions.

mod admission;
mod budget;
mod choose;
mod connections;
mod crash_ledger;
mod deadline;
mod engine;
mod engines_by_time;
mod event_loop_lag;
mod health;
mod host_capacity;
mod kept_bytes;
mod limit;
mod occupancy;
mod part_ledger;
mod planned_stop;
mod prefill_times;
mod progress;
mod random_admission;
mod reachability;
mod repeat_windows;
mod repeats;
mod scheduler;
mod shared_allowance;
mod speed;
mod stall;
mod warm_up;

/// As [`config`], with this many times the cases.
pub fn config_of_many(seed: u64, times: u32) -> proptest::test_runner::Config {
    let config = config(seed);
    proptest::test_runner::Config {
        cases: config.cases * times,
        ..config
    }
}

/// Fixed seed for reproducible cases; `HOLLOWSAIL_CASES` sets their number.
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
