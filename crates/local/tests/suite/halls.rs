//! An organisation's requests run only in its permitted halls.

use hollowsail_config::SourceFile;
use hollowsail_entry::ErrorKind;
use hollowsail_local::{Caller, LocalFleet, Once};
use hollowsail_routing::Outcome;
use hollowsail_standins::TargetFaults;

use crate::fixture::{self, BOTH_KEY, NORTH_KEY};

fn halls_of(fleet: &LocalFleet, org: &str) -> Vec<String> {
    let mut halls: Vec<String> = fleet
        .targets
        .log
        .all()
        .into_iter()
        .filter(|execution| execution.org == org)
        .map(|execution| execution.hall)
        .collect();
    halls.sort();
    halls.dedup();
    halls
}

/// The files with the organisation `both` permitted only in the south.
fn both_in_south(files: &[SourceFile]) -> Vec<SourceFile> {
    let mut files = files.to_vec();
    files[0].text = files[0].text.replace("halls=north, south", "halls=south");
    files
}

#[actix_rt::test]
async fn request_is_relayed_to_a_permitted_hall() {
    let fleet = fixture::start(2).await;
    for index in 0..10 {
        let id = format!("passed-{index}");
        let answer = fixture::call(&fleet, 1, &fixture::request("read", NORTH_KEY, &id)).await;
        assert_eq!(answer.body.outcome, Outcome::Whole, "{:?}", answer.body);
    }
    assert_eq!(halls_of(&fleet, "northern"), ["north"]);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn stream_is_relayed_from_a_permitted_hall() {
    let fleet = fixture::start(2).await;
    let request = fixture::request("read", NORTH_KEY, "stream");
    let direct = Caller::default()
        .stream(fleet.entry(0).callers, &request)
        .await
        .expect("an answer");
    let relayed = Caller::default()
        .stream(fleet.entry(1).callers, &request)
        .await
        .expect("an answer");
    assert_eq!(relayed.body.outcome, Outcome::Whole);
    assert_eq!(relayed.streamed, direct.streamed);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn ticket_from_permitted_hall_works_everywhere() {
    let fleet = fixture::start(2).await;
    let ticket = fixture::ticket(&fleet, 1, NORTH_KEY).await;
    let payment = fixture::payment(NORTH_KEY, "far", &ticket);
    for index in [1, 0, 1] {
        let answer = fixture::call(&fleet, index, &payment).await.body;
        assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
    }
    assert_eq!(fixture::executions(&fleet, "far", "confirm"), 1);
    assert_eq!(halls_of(&fleet, "northern"), ["north"]);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn no_permitted_entry_refuses_without_running() {
    let mut fleet = fixture::start(2).await;
    fleet.take_entry(0).expect("the entry runs").kill().await;
    let answer = fixture::call(&fleet, 1, &fixture::request("read", NORTH_KEY, "cut-off")).await;
    assert_eq!(answer.body.kind, Some(ErrorKind::NoPermittedEntry));
    assert_eq!(answer.body.outcome, Outcome::NotRun);
    assert!(fleet.targets.log.all().is_empty());
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn no_permitted_target_refuses_without_running() {
    let fleet = fixture::start(1).await;
    let draining = TargetFaults {
        draining: true,
        ..TargetFaults::default()
    };
    fleet.targets.set_faults("encoder-north", draining);
    let answer = fixture::call(&fleet, 0, &fixture::request("read", NORTH_KEY, "alone")).await;
    assert_eq!(answer.body.outcome, Outcome::NotRun);
    assert!(
        fleet.targets.log.all().is_empty(),
        "the south must get no call"
    );
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn revoked_hall_gets_no_later_stages() {
    let mut options = fixture::options(2);
    options.profile.encoder_ms = 600.0;
    let mut fleet = fixture::start_with(options).await;
    let address = fleet.entry(0).callers;
    let running = actix_rt::spawn(async move {
        let request = fixture::request("read", BOTH_KEY, "moving");
        Caller::default()
            .call(address, &request)
            .await
            .expect("an answer")
    });
    let log = fleet.targets.log.clone();
    fixture::wait_until("the first stage begins", || {
        log.count("moving", "encode") == 1
    })
    .await;
    let files = both_in_south(&fleet.files);
    assert_ne!(files, fleet.files);
    fixture::apply(&mut fleet, files).await;
    let answer = running.await.expect("no panic").body;
    assert_eq!(answer.outcome, Outcome::Whole);
    let later = log.all().into_iter().filter(|e| e.stage() != "encode");
    assert!(later.clone().count() >= 2);
    assert!(
        later.clone().all(|e| e.hall == "south"),
        "{:?}",
        later.collect::<Vec<_>>()
    );
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn owner_is_found_from_another_hall() {
    let fleet = fixture::start(4).await;
    for round in 0..6 {
        let ticket = fixture::ticket(&fleet, 1, NORTH_KEY).await;
        let id = format!("ticket-{round}");
        let payment = fixture::payment(NORTH_KEY, &id, &ticket);
        for index in [1, 3, 1] {
            let answer = fixture::call(&fleet, index, &payment).await.body;
            assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
        }
        assert_eq!(fixture::executions(&fleet, &id, "confirm"), 1);
        let id = format!("own-{round}");
        let mut own_id = fixture::request("pay", NORTH_KEY, &id);
        own_id.once = Once::Id(id.clone(), fixture::wall_clock_ms());
        for index in [1, 3, 1] {
            let answer = fixture::call(&fleet, index, &own_id).await.body;
            assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
        }
        assert_eq!(fixture::executions(&fleet, &id, "confirm"), 1);
    }
    fleet.shut_down().await;
}
