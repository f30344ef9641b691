//! An accepted configuration comes into force at every entry and is never reverted.

use futures_util::future::join_all;
use hollowsail_config::SourceFile;
use hollowsail_entry::apply::ApplyResult;
use hollowsail_entry::configuration::HEAD_KEY;
use hollowsail_entry::ErrorKind;
use hollowsail_local::LocalFleet;
use hollowsail_routing::Outcome;
use hollowsail_standins::StoreFaults;

use crate::fixture::{self, BOTH_KEY};

/// The files in force with an added comment.
fn files_with_comment(fleet: &LocalFleet, comment: &str) -> Vec<SourceFile> {
    let mut files = fleet.files.clone();
    files[0].text += &format!("\n; {comment}\n");
    files
}

fn revisions(fleet: &LocalFleet) -> Vec<u64> {
    fleet.running().map(|e| e.entry.view().revision()).collect()
}

fn down() -> StoreFaults {
    StoreFaults {
        down: true,
        ..StoreFaults::default()
    }
}

#[actix_rt::test]
async fn apply_returns_once_in_force_everywhere() {
    let mut fleet = fixture::start(4).await;
    for round in 0..5 {
        let files = files_with_comment(&fleet, &format!("round {round}"));
        fixture::apply(&mut fleet, files).await;
        assert_eq!(revisions(&fleet), [round + 2; 4]);
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn one_of_concurrent_applies_is_accepted() {
    let fleet = fixture::start(3).await;
    let applies = (0..3).map(|index| {
        let files = files_with_comment(&fleet, &format!("operator {index}"));
        let fleet = &fleet;
        async move { fleet.apply(index, files, 1, &format!("race-{index}")).await }
    });
    let results = join_all(applies).await;
    let accepted = results
        .iter()
        .filter(|r| matches!(r, ApplyResult::Accepted { revision: 2, .. }));
    let conflicts = results.iter().filter(|r| {
        matches!(r, ApplyResult::Conflict { in_force: 2, differs_in, .. } if differs_in == &["small.ini"])
    });
    assert_eq!((accepted.count(), conflicts.count()), (1, 2), "{results:?}");
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn faulty_file_changes_nothing() {
    let fleet = fixture::start(2).await;
    let mut files = fleet.files.clone();
    files[0].text += "\n[hall.east]\nregoin = one\n";
    let result = fleet.apply(0, files, 1, "faulty").await;
    assert!(matches!(result, ApplyResult::Faulty { faults } if faults.len() == 2));
    assert_eq!(revisions(&fleet), [1, 1]);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn apply_with_lost_answers_is_accepted_once() {
    let fleet = fixture::start(2).await;
    fleet.store.set_faults(StoreFaults {
        lose_answers: 0.6,
        ..StoreFaults::default()
    });
    for base in 1..6 {
        let files = files_with_comment(&fleet, &format!("on {base}"));
        let id = format!("id-{base}");
        let mut result = fleet.apply(0, files.clone(), base, &id).await;
        while !matches!(result, ApplyResult::Accepted { .. }) {
            assert!(
                matches!(
                    result,
                    ApplyResult::Unknown { .. } | ApplyResult::Unavailable { .. }
                ),
                "{result:?}"
            );
            result = fleet.resend_apply(1, files.clone(), base, &id).await;
        }
        let expected = ApplyResult::Accepted {
            revision: base + 1,
            missing: Vec::new(),
        };
        assert_eq!(result, expected);
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn reused_apply_id_is_a_conflict() {
    let fleet = fixture::start(1).await;
    let first = fleet
        .apply(0, files_with_comment(&fleet, "one"), 1, "same")
        .await;
    assert!(matches!(first, ApplyResult::Accepted { .. }));
    let second = fleet
        .apply(0, files_with_comment(&fleet, "two"), 2, "same")
        .await;
    assert!(matches!(second, ApplyResult::Conflict { .. }), "{second:?}");
    assert_eq!(revisions(&fleet), [2]);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn store_outage_fails_applies_but_not_requests() {
    let fleet = fixture::start(2).await;
    fleet.store.set_faults(down());
    let result = fleet
        .apply(0, files_with_comment(&fleet, "down"), 1, "down")
        .await;
    assert!(
        matches!(result, ApplyResult::Unavailable { .. }),
        "{result:?}"
    );
    let answer = fixture::call(&fleet, 1, &fixture::request("read", BOTH_KEY, "on")).await;
    assert_eq!(answer.body.outcome, Outcome::Whole);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn new_entry_gets_configuration_from_peers() {
    let mut fleet = fixture::start(2).await;
    let files = files_with_comment(&fleet, "second");
    fixture::apply(&mut fleet, files).await;
    fleet.store.set_faults(down());
    let index = fleet.start_entry().await.expect("the entry starts");
    let entry = fleet.entry(index).entry.clone();
    fixture::wait_until("the entry has revision 2", || entry.view().revision() == 2).await;
    let answer = fixture::call(&fleet, index, &fixture::request("read", BOTH_KEY, "new")).await;
    assert_eq!(answer.body.outcome, Outcome::Whole);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn entry_without_configuration_refuses() {
    let mut fleet = fixture::start(1).await;
    fleet.take_entry(0).expect("the entry runs").kill().await;
    fleet.store.set_faults(down());
    let index = fleet.start_entry().await.expect("the entry starts");
    let answer = fixture::call(&fleet, index, &fixture::request("read", BOTH_KEY, "early")).await;
    assert_eq!(answer.body.kind, Some(ErrorKind::NoConfiguration));
    assert_eq!(answer.body.outcome, Outcome::NotRun);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn restored_store_reverts_no_entry() {
    let mut fleet = fixture::start(3).await;
    let old_head = fleet.store.read(HEAD_KEY).expect("a head");
    for comment in ["second", "third"] {
        let files = files_with_comment(&fleet, comment);
        fixture::apply(&mut fleet, files).await;
    }
    let (reads, _) = fleet.store.calls();
    fleet.store.overwrite(HEAD_KEY, old_head);
    fixture::wait_until("the watchers have read the old head", || {
        fleet.store.calls().0 >= reads + 4
    })
    .await;
    assert_eq!(revisions(&fleet), [3, 3, 3]);
    let index = fleet.start_entry().await.expect("the entry starts");
    let entry = fleet.entry(index).entry.clone();
    fixture::wait_until("a new entry has the newest revision", || {
        entry.view().revision() == 3
    })
    .await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn isolated_entry_refuses_new_work() {
    let mut fleet = fixture::start(2).await;
    fleet.store.set_faults(down());
    let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH_KEY, "with peer")).await;
    assert_eq!(answer.status, 400, "ids with spaces are refused");
    let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH_KEY, "with-peer")).await;
    assert_eq!(answer.body.outcome, Outcome::Whole);
    fleet.take_entry(1).expect("the entry runs").kill().await;
    let entry = fleet.entry(0).entry.clone();
    fixture::wait_until("the entry is isolated", || {
        entry.view().connectivity == hollowsail_fleet::Connectivity::Isolated
    })
    .await;
    let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH_KEY, "cut")).await;
    assert_eq!(answer.body.kind, Some(ErrorKind::Isolated));
    assert_eq!(answer.body.outcome, Outcome::NotRun);
    fleet.store.set_faults(StoreFaults::default());
    fixture::wait_until("the entry is connected again", || {
        entry.view().connectivity == hollowsail_fleet::Connectivity::InTouch
    })
    .await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn recovered_store_gets_few_calls() {
    let entries = 6;
    let fleet = fixture::start(entries).await;
    // Two watchers in each of the two halls.
    let watchers = 4;
    fleet.store.set_faults(down());
    let calls = || {
        let (reads, writes) = fleet.store.calls();
        reads + writes
    };
    // Lets the watchers' backoff grow; calls to a store that is down aren't counted.
    actix_rt::time::sleep(std::time::Duration::from_millis(3_000)).await;
    let before = calls();
    fleet.store.set_faults(StoreFaults::default());
    fixture::wait_until("every watcher has called", || calls() >= before + watchers).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(1_000)).await;
    let new_calls = calls() - before;
    assert!(
        new_calls <= 2 * watchers,
        "{new_calls} calls from {entries} entries"
    );
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn single_entry_stays_connected_between_polls() {
    let mut options = fixture::options(1);
    options.limits.isolation_ms = 4_000;
    let fleet = fixture::start_with(options).await;
    let entry = fleet.entry(0).entry.clone();
    for _ in 0..70 {
        actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
        assert_eq!(
            entry.view().connectivity,
            hollowsail_fleet::Connectivity::InTouch
        );
    }
    fleet.shut_down().await;
}
