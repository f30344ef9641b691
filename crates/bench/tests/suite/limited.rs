//! Days on which engines name limits: what callers get.

use std::path::PathBuf;

use hollowsail_bench::day::model::{Trouble, TroubleKind};
use hollowsail_bench::day::{draw_requests, world, DayModel, DayPolicy, DayReport};

/// A quiet day of the Accra deployment: 12 engines, 2.8 generations a second each.
fn quiet_day() -> DayModel {
    let days = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("days");
    let mut day = DayModel::read(&days.join("accra.ini")).expect("a shipped day is right");
    day.troubles.clear();
    day
}

/// The same with so many engines that name a limit from 8 to 28 s.
fn limited(engines: usize, per_s: f64) -> DayModel {
    let mut day = quiet_day();
    day.troubles.push(Trouble {
        kind: TroubleKind::Limited { engines, per_s },
        at_ms: 8_000,
        for_ms: 20_000,
    });
    day
}

fn play(day: &DayModel) -> DayReport {
    let drawn = draw_requests(day, 5);
    let policy = DayPolicy::named("hollowsail").expect("there is one");
    world::play(day, &drawn, "hollowsail", policy, 5)
}

/// Part of the requests that got an answer, in time or late.
fn served(report: &DayReport) -> f64 {
    let kinds = report.kinds.iter();
    let served: u32 = kinds.map(|kind| kind.in_time + kind.late).sum();
    let asked: u32 = report.kinds.iter().map(|kind| kind.asked).sum();
    f64::from(served) / f64::from(asked)
}

/// What one engine doesn't take the others do: callers notice nothing.
#[test]
fn one_engine_with_a_limit_costs_callers_nothing() {
    for per_s in [0.2, 1.0] {
        let report = play(&limited(1, per_s));
        assert!(report.credit() > 0.99, "{} at {per_s}", report.credit());
    }
}

/// All engines together take 48 a second of the 33 that callers want: those who come
/// together wait for their turn, and none is sent away.
#[test]
fn limits_above_what_callers_want_cost_them_nothing() {
    let report = play(&limited(12, 4.0));
    assert!(report.credit() > 0.99, "{}", report.credit());
}

/// All engines together take a third of what callers want for 20 of 34 s. Served are those
/// outside that time, and a third of those within.
#[test]
fn limits_below_what_callers_want_are_used() {
    let report = play(&limited(12, 1.0));
    let possible = 14.0 / 34.0 + 20.0 / 34.0 * 12.0 / 33.4;
    assert!(served(&report) > possible * 0.97, "{}", served(&report));
}
