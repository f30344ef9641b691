//! An organisation's data is handled in its permitted halls alone.

use hollowsail_config::SourceFile;
use hollowsail_entry::ErrorKind;
use hollowsail_local::{Caller, LocalFleet, Once};
use hollowsail_routing::Outcome;
use hollowsail_standins::TargetFaults;

use crate::fixture::{self, BOTH, NORTH};

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

/// The files with the organisation `both` permitted in the south alone.
fn both_in_south(files: &[SourceFile]) -> Vec<SourceFile> {
    let mut files = files.to_vec();
    files[0].text = files[0].text.replace("halls=north, south", "halls=south");
    files
}

#[actix_rt::test]
async fn an_entry_in_another_hall_passes_the_request_on() {
    let fleet = fixture::start(2).await;
    for at in 0..10 {
        let id = format!("passed-{at}");
        let answer = fixture::call(&fleet, 1, &fixture::request("read", NORTH, &id)).await;
        assert_eq!(answer.body.outcome, Outcome::Whole, "{:?}", answer.body);
    }
    assert_eq!(halls_of(&fleet, "northern"), ["north"]);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_stream_passes_through_an_entry_in_another_hall() {
    let fleet = fixture::start(2).await;
    let request = fixture::request("read", NORTH, "stream");
    let here = Caller::default()
        .stream(fleet.entry(0).callers, &request)
        .await
        .expect("one");
    let there = Caller::default()
        .stream(fleet.entry(1).callers, &request)
        .await
        .expect("one");
    assert_eq!(there.body.outcome, Outcome::Whole);
    assert_eq!(there.streamed, here.streamed);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn tickets_come_from_a_permitted_hall_and_work_through_any_entry() {
    let fleet = fixture::start(2).await;
    let ticket = fixture::ticket(&fleet, 1, NORTH).await;
    let payment = fixture::payment(NORTH, "far", &ticket);
    for place in [1, 0, 1] {
        let answer = fixture::call(&fleet, place, &payment).await.body;
        assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
    }
    assert_eq!(fixture::executions(&fleet, "far", "confirm"), 1);
    assert_eq!(halls_of(&fleet, "northern"), ["north"]);
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn without_a_permitted_entry_the_request_is_refused_and_not_run() {
    let mut fleet = fixture::start(2).await;
    fleet.take_entry(0).expect("it runs").kill().await;
    let answer = fixture::call(&fleet, 1, &fixture::request("read", NORTH, "cut-off")).await;
    assert_eq!(answer.body.kind, Some(ErrorKind::NoPermittedEntry));
    assert_eq!(answer.body.outcome, Outcome::NotRun);
    assert!(fleet.targets.log.all().is_empty());
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn without_a_permitted_target_the_request_is_refused_though_others_live() {
    let fleet = fixture::start(1).await;
    let leaving = TargetFaults {
        leaving: true,
        ..TargetFaults::default()
    };
    fleet.targets.set_faults("encoder-north", leaving);
    let answer = fixture::call(&fleet, 0, &fixture::request("read", NORTH, "alone")).await;
    assert_eq!(answer.body.outcome, Outcome::NotRun);
    assert!(
        fleet.targets.log.all().is_empty(),
        "the south was not asked"
    );
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_hall_taken_away_while_a_request_runs_gets_none_of_its_later_stages() {
    let mut options = fixture::options(2);
    options.profile.encoder_ms = 600.0;
    let mut fleet = fixture::start_with(options).await;
    let address = fleet.entry(0).callers;
    let running = actix_rt::spawn(async move {
        let request = fixture::request("read", BOTH, "moving");
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
async fn from_another_hall_a_ticket_or_id_finds_its_owner_among_several_permitted_entries() {
    let fleet = fixture::start(4).await;
    for round in 0..6 {
        let ticket = fixture::ticket(&fleet, 1, NORTH).await;
        let id = format!("ticket-{round}");
        let payment = fixture::payment(NORTH, &id, &ticket);
        for place in [1, 3, 1] {
            let answer = fixture::call(&fleet, place, &payment).await.body;
            assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
        }
        assert_eq!(fixture::executions(&fleet, &id, "confirm"), 1);
        let id = format!("own-{round}");
        let mut own = fixture::request("pay", NORTH, &id);
        own.once = Once::Id(id.clone(), fixture::wall_clock_ms());
        for place in [1, 3, 1] {
            let answer = fixture::call(&fleet, place, &own).await.body;
            assert_eq!(answer.outcome, Outcome::Whole, "{answer:?}");
        }
        assert_eq!(fixture::executions(&fleet, &id, "confirm"), 1);
    }
    fleet.shut_down().await;
}
