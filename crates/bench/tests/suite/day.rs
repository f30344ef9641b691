//! The simulated day: determined by the seed, each request counted once, and policies ranked
//! as expected.

use std::path::PathBuf;

use hollowsail_bench::day::{bound, draw_requests, world, DayModel, DayPolicy, DayReport};
use hollowsail_config::SourceFile;

fn shipped(name: &str) -> DayModel {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("days");
    DayModel::read(&root.join(name)).expect("a shipped day is valid")
}

fn play(day: &DayModel, policy: &str, seed: u64) -> DayReport {
    let drawn = draw_requests(day, seed);
    let named = DayPolicy::named(policy).expect("the policy exists");
    world::play(day, &drawn, policy, named, seed)
}

#[test]
fn same_seed_gives_same_day() {
    let day = shipped("accra.ini");
    assert_eq!(play(&day, "hollowsail", 3), play(&day, "hollowsail", 3));
    assert_ne!(play(&day, "hollowsail", 3), play(&day, "hollowsail", 4));
}

#[test]
fn every_policy_counts_each_request_once() {
    let mut day = shipped("accra.ini");
    day.seconds = 12.0;
    day.rate *= 2.0;
    let drawn = draw_requests(&day, 1).len();
    for policy in DayPolicy::names() {
        let report = play(&day, &policy, 1);
        let counted: u32 = report.kinds.iter().map(|kind| kind.requests).sum();
        assert_eq!(counted as usize, drawn, "{policy}");
        for kind in &report.kinds {
            let total = kind.in_time + kind.late + kind.refused + kind.abandoned;
            assert_eq!(total, kind.requests, "{policy}, {}", kind.name);
        }
    }
}

/// All entries are down for 1.7 s: requests in flight are lost, requests that arrive meanwhile
/// are late, and later ones are in time again.
#[test]
fn fleet_restart_loses_only_requests_in_flight() {
    let mut day = shipped("quebec-large.ini");
    day.seconds = 16.0;
    let drawn = draw_requests(&day, 1).len();
    let report = play(&day, "hollowsail-without-forecast", 1);
    let counted: u32 = report.kinds.iter().map(|kind| kind.requests).sum();
    assert_eq!(counted as usize, drawn);
    let lost: u32 = report.kinds.iter().map(|kind| kind.abandoned).sum();
    let late: u32 = report.kinds.iter().map(|kind| kind.late).sum();
    let per_second = day.rate as u32;
    assert!((per_second / 4..per_second).contains(&lost), "{lost}");
    assert!(late < 2 * per_second, "{late}");
}

#[test]
fn shared_queue_wins_and_stays_below_the_bound() {
    for name in ["accra.ini", "quebec.ini"] {
        let mut day = shipped(name);
        day.seconds = 15.0;
        let bound = bound::credit(&day, &draw_requests(&day, 2));
        let own = play(&day, "hollowsail", 2).credit();
        let per_entry = play(&day, "hollowsail-without-shared-queues", 2).credit();
        assert!(per_entry + 0.2 < own, "{name}: {per_entry} against {own}");
        assert!(own <= bound + 0.01, "{name}: {own} above the bound {bound}");
    }
}

#[test]
fn invalid_day_reports_every_fault() {
    let text = "[day]\nsecond = 3\n[pool.a]\nworkers = 0\n[stage.none.0]\npool = b\n\
                [trouble.x]\nwhat = flood\n";
    let source = SourceFile {
        name: "day.ini".into(),
        text: text.into(),
    };
    let faults = DayModel::parse(&source).expect_err("the scenario is invalid");
    expect_test::expect![[r#"
        day.ini:2: day.second: is not a field here; known fields: entries, halls, requests_per_second, seconds
        day.ini:4: pool.a.workers: is not a number from 1 to 10000
        day.ini:5: stage.none.0: refers to an unknown kind; define kind.NAME before its stages
        day.ini:6: stage.none.0.pool: refers to an unknown pool; define pool.NAME before it is used
        day.ini:8: trouble.x.what: is not known; use burst, slow, down, limited or restart
        5 fault(s); nothing was changed. Correct them and try again."#]].assert_eq(&faults.to_string());
}
