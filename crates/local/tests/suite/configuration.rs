//! An accepted configuration is in force everywhere and never goes back.

use futures_util::future::join_all;
use hollowsail_config::SourceFile;
use hollowsail_entry::apply::ApplyResult;
use hollowsail_entry::configuration::HEAD_KEY;
use hollowsail_entry::ErrorKind;
use hollowsail_local::LocalFleet;
use hollowsail_routing::Outcome;
use hollowsail_standins::StoreFaults;

use crate::fixture::{self, BOTH};

/// The files in force with a comment that makes them differ.
fn changed(fleet: &LocalFleet, mark: &str) -> Vec<SourceFile> {
    let mut files = fleet.files.clone();
    files[0].text += &format!("\n; {mark}\n");
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
async fn an_apply_returns_when_every_entry_has_it_in_force() {
    let mut fleet = fixture::start(4).await;
    for round in 0..5 {
        let files = changed(&fleet, &format!("round {round}"));
        fixture::apply(&mut fleet, files).await;
        assert_eq!(revisions(&fleet), [round + 2; 4]);
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn of_racing_applies_one_is_accepted_and_the_others_see_what_differs() {
    let fleet = fixture::start(3).await;
    let applies = (0..3).map(|place| {
        let files = changed(&fleet, &format!("operator {place}"));
        let fleet = &fleet;
        async move { fleet.apply(place, files, 1, &format!("race-{place}")).await }
    });
    let results = join_all(applies).await;
    let accepted = results
        .iter()
        .filter(|r| matches!(r, ApplyResult::Accepted { revision: 2, .. }));
    let lost = results.iter().filter(|r| {
        matches!(r, ApplyResult::Conflict { in_force: 2, differs_in, .. } if differs_in == &["small.ini"])
    });
    assert_eq!((accepted.count(), lost.count()), (1, 2), "{results:?}");
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_file_with_faults_changes_nothing() {
    let fleet = fixture::start(2).await;
    let mut files = fleet.files.clone();
    files[0].text += "\n[hall.east]\nregoin = one\n";
    let result = fleet.apply(0, files, 1, "faulty").await;
    assert!(matches!(result, ApplyResult::Faulty { faults } if faults.len() == 2));
    assert_eq!(revisions(&fleet), [1, 1]);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn an_apply_whose_answers_are_lost_is_accepted_once() {
    let fleet = fixture::start(2).await;
    fleet.store.set_faults(StoreFaults {
        lose_answers: 0.6,
        ..StoreFaults::default()
    });
    for base in 1..6 {
        let files = changed(&fleet, &format!("on {base}"));
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
            result = fleet.apply_again(1, files.clone(), base, &id).await;
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
async fn an_apply_id_used_for_other_files_is_a_conflict() {
    let fleet = fixture::start(1).await;
    let first = fleet.apply(0, changed(&fleet, "one"), 1, "same").await;
    assert!(matches!(first, ApplyResult::Accepted { .. }));
    let second = fleet.apply(0, changed(&fleet, "two"), 2, "same").await;
    assert!(matches!(second, ApplyResult::Conflict { .. }), "{second:?}");
    assert_eq!(revisions(&fleet), [2]);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn with_the_store_down_an_apply_changes_nothing_and_traffic_goes_on() {
    let fleet = fixture::start(2).await;
    fleet.store.set_faults(down());
    let result = fleet.apply(0, changed(&fleet, "down"), 1, "down").await;
    assert!(
        matches!(result, ApplyResult::Unavailable { .. }),
        "{result:?}"
    );
    let answer = fixture::call(&fleet, 1, &fixture::request("read", BOTH, "on")).await;
    assert_eq!(answer.body.outcome, Outcome::Whole);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_new_entry_learns_the_configuration_from_peers_while_the_store_is_down() {
    let mut fleet = fixture::start(2).await;
    let files = changed(&fleet, "second");
    fixture::apply(&mut fleet, files).await;
    fleet.store.set_faults(down());
    let place = fleet.start_entry().await.expect("it starts");
    let entry = fleet.entry(place).entry.clone();
    fixture::wait_until("it has revision 2", || entry.view().revision() == 2).await;
    let answer = fixture::call(&fleet, place, &fixture::request("read", BOTH, "new")).await;
    assert_eq!(answer.body.outcome, Outcome::Whole);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn an_entry_without_any_configuration_refuses_and_says_so() {
    let mut fleet = fixture::start(1).await;
    fleet.take_entry(0).expect("it runs").kill().await;
    fleet.store.set_faults(down());
    let place = fleet.start_entry().await.expect("it starts");
    let answer = fixture::call(&fleet, place, &fixture::request("read", BOTH, "early")).await;
    assert_eq!(answer.body.kind, Some(ErrorKind::NoConfiguration));
    assert_eq!(answer.body.outcome, Outcome::NotRun);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_store_that_went_back_reverts_nobody() {
    let mut fleet = fixture::start(3).await;
    let old_head = fleet.store.read(HEAD_KEY).expect("a head");
    for mark in ["second", "third"] {
        let files = changed(&fleet, mark);
        fixture::apply(&mut fleet, files).await;
    }
    let (reads, _) = fleet.store.calls();
    fleet.store.overwrite(HEAD_KEY, old_head);
    fixture::wait_until("the watchers have read it", || {
        fleet.store.calls().0 >= reads + 4
    })
    .await;
    assert_eq!(revisions(&fleet), [3, 3, 3]);
    let place = fleet.start_entry().await.expect("it starts");
    let entry = fleet.entry(place).entry.clone();
    fixture::wait_until("a new entry has the newest", || {
        entry.view().revision() == 3
    })
    .await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn an_entry_cut_off_from_store_and_peers_takes_no_new_work() {
    let mut fleet = fixture::start(2).await;
    fleet.store.set_faults(down());
    let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH, "with peer")).await;
    assert_eq!(answer.status, 400, "ids have no spaces");
    let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH, "with-peer")).await;
    assert_eq!(answer.body.outcome, Outcome::Whole);
    fleet.take_entry(1).expect("it runs").kill().await;
    let entry = fleet.entry(0).entry.clone();
    fixture::wait_until("it is isolated", || {
        entry.view().standing == hollowsail_fleet::Standing::Isolated
    })
    .await;
    let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH, "cut")).await;
    assert_eq!(answer.body.kind, Some(ErrorKind::Isolated));
    assert_eq!(answer.body.outcome, Outcome::NotRun);
    fleet.store.set_faults(StoreFaults::default());
    fixture::wait_until("it is in touch again", || {
        entry.view().standing == hollowsail_fleet::Standing::InTouch
    })
    .await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_store_that_comes_back_is_asked_by_a_few_watchers_alone() {
    let entries = 6;
    let fleet = fixture::start(entries).await;
    // Two watchers in each of the two halls.
    let watchers = 4;
    fleet.store.set_faults(down());
    let calls = || {
        let (reads, writes) = fleet.store.calls();
        reads + writes
    };
    // Long enough for pauses to have grown; calls to a dead store count not.
    actix_rt::time::sleep(std::time::Duration::from_millis(3_000)).await;
    let before = calls();
    fleet.store.set_faults(StoreFaults::default());
    fixture::wait_until("every watcher has asked", || calls() >= before + watchers).await;
    actix_rt::time::sleep(std::time::Duration::from_millis(1_000)).await;
    let asked = calls() - before;
    assert!(asked <= 2 * watchers, "{asked} calls of {entries} entries");
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn an_entry_that_has_only_the_store_stays_in_touch_between_its_answers() {
    let mut options = fixture::options(1);
    options.limits.isolation_ms = 4_000;
    let fleet = fixture::start_with(options).await;
    let entry = fleet.entry(0).entry.clone();
    for _ in 0..70 {
        actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
        assert_eq!(entry.view().standing, hollowsail_fleet::Standing::InTouch);
    }
    fleet.shut_down().await;
}
