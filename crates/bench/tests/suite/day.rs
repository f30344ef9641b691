//! The emulated day: the same for the same seed, every caller answered once, and
//! mechanisms that matter do.

use std::path::PathBuf;

use hollowsail_bench::day::{bound, draw_requests, world, DayModel, DayPolicy, DayReport};
use hollowsail_config::SourceFile;

fn shipped(name: &str) -> DayModel {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("days");
    DayModel::read(&root.join(name)).expect("a shipped day is right")
}

fn play(day: &DayModel, policy: &str, seed: u64) -> DayReport {
    let drawn = draw_requests(day, seed);
    let named = DayPolicy::named(policy).expect("there is one");
    world::play(day, &drawn, policy, named, seed)
}

#[test]
fn the_same_seed_gives_the_same_day() {
    let day = shipped("accra.ini");
    assert_eq!(play(&day, "hollowsail", 3), play(&day, "hollowsail", 3));
    assert_ne!(play(&day, "hollowsail", 3), play(&day, "hollowsail", 4));
}

#[test]
fn every_caller_is_counted_once_whatever_the_policy() {
    let mut day = shipped("accra.ini");
    day.seconds = 12.0;
    day.rate *= 2.0;
    let asked = draw_requests(&day, 1).len();
    for policy in DayPolicy::names() {
        let report = play(&day, &policy, 1);
        let counted: u32 = report.kinds.iter().map(|kind| kind.asked).sum();
        assert_eq!(counted as usize, asked, "{policy}");
        for kind in &report.kinds {
            let ends = kind.in_time + kind.late + kind.refused + kind.left;
            assert_eq!(ends, kind.asked, "{policy}, {}", kind.name);
        }
    }
}

/// All entries are gone for 1.7 s. What was under way then is lost, and those who ask
/// meanwhile are late; a second after it nearly all are in time again.
#[test]
fn a_whole_fleet_that_starts_again_loses_what_was_under_way_and_little_else() {
    let mut day = shipped("quebec-large.ini");
    day.seconds = 16.0;
    let asked = draw_requests(&day, 1).len();
    let report = play(&day, "hollowsail-without-forecast", 1);
    let counted: u32 = report.kinds.iter().map(|kind| kind.asked).sum();
    assert_eq!(counted as usize, asked);
    let lost: u32 = report.kinds.iter().map(|kind| kind.left).sum();
    let late: u32 = report.kinds.iter().map(|kind| kind.late).sum();
    let a_second = day.rate as u32;
    assert!((a_second / 4..a_second).contains(&lost), "{lost}");
    assert!(late < 2 * a_second, "{late}");
}

#[test]
fn one_queue_for_all_entries_beats_a_queue_each_and_nothing_beats_the_bound() {
    for name in ["accra.ini", "quebec.ini"] {
        let mut day = shipped(name);
        day.seconds = 15.0;
        let best = bound::credit(&day, &draw_requests(&day, 2));
        let own = play(&day, "hollowsail", 2).credit();
        let each = play(&day, "hollowsail-without-shared-queues", 2).credit();
        assert!(each + 0.2 < own, "{name}: {each} against {own}");
        assert!(own <= best + 0.01, "{name}: {own} above the bound {best}");
    }
}

#[test]
fn a_faulty_scenario_names_every_place() {
    let text = "[day]\nsecond = 3\n[pool.a]\nworkers = 0\n[stage.none.0]\npool = b\n\
                [trouble.x]\nwhat = flood\n";
    let source = SourceFile {
        name: "day.ini".into(),
        text: text.into(),
    };
    let faults = DayModel::parse(&source).expect_err("nothing there is right");
    expect_test::expect![[r#"
        day.ini:2: day.second: is not a field here; known fields: entries, halls, requests_per_second, seconds
        day.ini:4: pool.a.workers: is not a number from 1 to 10000
        day.ini:5: stage.none.0: refers to an unknown kind; define kind.NAME before its stages
        day.ini:6: stage.none.0.pool: refers to an unknown pool; define pool.NAME before it is used
        day.ini:8: trouble.x.what: is not known; use burst, slow, down, limited or restart
        5 fault(s); nothing was changed. Correct them and try again."#]].assert_eq(&faults.to_string());
}
