//! Choice of the newest run of each host.

use hollowsail_fleet::newest_runs::NewestRuns;
use hollowsail_fleet::Position;

/// Host and run.
type Record = (&'static str, u64);

fn choose(runs: &mut NewestRuns, records: &[(u64, Record)]) -> Vec<u64> {
    let records: Vec<(Position, Record)> = records
        .iter()
        .map(|(revision, record)| (Position::new(u64::from(*revision > 0), *revision), *record))
        .collect();
    let positioned = records.iter().map(|(at, record)| (*at, record));
    let chosen = runs.choose(positioned, |record| record.0);
    chosen.into_iter().map(|record| record.1).collect()
}

/// Guards against a killed run that counts as live again once its successor has been stopped.
#[test]
fn killed_run_stays_replaced_after_its_successor_has_gone() {
    let mut runs = NewestRuns::default();
    assert_eq!(choose(&mut runs, &[(3, ("a", 1)), (4, ("b", 2))]), [1, 2]);
    let with_both = [(3, ("a", 1)), (4, ("b", 2)), (7, ("a", 5))];
    assert_eq!(choose(&mut runs, &with_both), [5, 2]);
    assert_eq!(choose(&mut runs, &[(3, ("a", 1)), (4, ("b", 2))]), [2]);
    assert_eq!(choose(&mut runs, &[(3, ("a", 1)), (9, ("a", 6))]), [6]);
}

#[test]
fn record_without_a_position_counts_until_one_with_a_position_is_known() {
    let mut runs = NewestRuns::default();
    assert_eq!(choose(&mut runs, &[(0, ("a", 1))]), [1]);
    assert_eq!(choose(&mut runs, &[(0, ("a", 1)), (5, ("a", 2))]), [2]);
    assert_eq!(choose(&mut runs, &[(0, ("a", 3))]), [3]);
}

#[test]
fn hosts_without_records_are_forgotten() {
    let mut runs = NewestRuns::default();
    choose(&mut runs, &[(9, ("a", 1))]);
    assert_eq!(choose(&mut runs, &[]), [0; 0]);
    assert_eq!(choose(&mut runs, &[(3, ("a", 2))]), [2]);
}
