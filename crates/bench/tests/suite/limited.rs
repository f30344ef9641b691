//! Credit and throughput on simulated days on which engines report limits.

use std::path::PathBuf;

use hollowsail_bench::day::model::{Trouble, TroubleKind};
use hollowsail_bench::day::{draw_requests, world, DayModel, DayPolicy, DayReport};

/// A day of the Accra deployment without troubles: 12 engines, 2.8 generations per second each.
fn day_without_troubles() -> DayModel {
    let days = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("days");
    let mut day = DayModel::read(&days.join("accra.ini")).expect("a shipped day is valid");
    day.troubles.clear();
    day
}

/// The same day with `engines` engines that report a limit from 8 to 28 s.
fn limited(engines: usize, per_s: f64) -> DayModel {
    let mut day = day_without_troubles();
    day.troubles.push(Trouble {
        kind: TroubleKind::Limited { engines, per_s },
        at_ms: 8_000,
        for_ms: 20_000,
    });
    day
}

fn play(day: &DayModel) -> DayReport {
    let drawn = draw_requests(day, 5);
    let policy = DayPolicy::named("hollowsail").expect("the policy exists");
    world::play(day, &drawn, "hollowsail", policy, 5)
}

/// Share of the requests that were answered, in time or late.
fn answered_share(report: &DayReport) -> f64 {
    let kinds = report.kinds.iter();
    let answered: u32 = kinds.map(|kind| kind.in_time + kind.late).sum();
    let total: u32 = report.kinds.iter().map(|kind| kind.requests).sum();
    f64::from(answered) / f64::from(total)
}

/// The other engines take the load of the limited one.
#[test]
fn limit_of_one_engine_costs_no_credit() {
    for per_s in [0.2, 1.0] {
        let report = play(&limited(1, per_s));
        assert!(report.credit() > 0.99, "{} at {per_s}", report.credit());
    }
}

/// The limits allow 48 requests per second at a demand of 33: short bursts wait for an engine
/// and none is refused.
#[test]
fn limits_above_demand_cost_no_credit() {
    let report = play(&limited(12, 4.0));
    assert!(report.credit() > 0.99, "{}", report.credit());
}

/// The limits allow a third of the demand for 20 of 34 s. That third and all requests outside
/// of this time must be answered.
#[test]
fn limits_below_demand_are_fully_used() {
    let report = play(&limited(12, 1.0));
    let possible = 14.0 / 34.0 + 20.0 / 34.0 * 12.0 / 33.4;
    assert!(
        answered_share(&report) > possible * 0.97,
        "{}",
        answered_share(&report)
    );
}
