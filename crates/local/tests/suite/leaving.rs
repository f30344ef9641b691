//! A leaving target gets no new work, whoever says first that it leaves.

use hollowsail_clients::HostStatus;
use hollowsail_entry::control::Drain;
use hollowsail_local::LocalFleet;
use hollowsail_routing::Outcome;
use hollowsail_standins::TargetFaults;

use crate::fixture::{self, BOTH};

fn all_know_leaving(fleet: &LocalFleet, target: &str) -> bool {
    fleet.running().all(|running| {
        let view = running.entry.view();
        let deployment = view.deployment().expect("in force");
        let at = deployment.targets.iter().position(|t| t.name == target);
        !view.targets[at.expect("it is there")].takes_work
    })
}

async fn no_work_reaches(fleet: &LocalFleet, target: &str) {
    let before = count_at(fleet, target);
    for at in 0..12 {
        let id = format!("after-{at}");
        let place = at % fleet.running().count();
        let answer = fixture::call(fleet, place, &fixture::request("read", BOTH, &id)).await;
        assert_eq!(answer.body.outcome, Outcome::Whole);
    }
    assert_eq!(count_at(fleet, target), before);
}

fn count_at(fleet: &LocalFleet, target: &str) -> usize {
    fleet
        .targets
        .log
        .all()
        .iter()
        .filter(|e| e.target == target)
        .count()
}

#[actix_rt::test]
async fn an_operators_drain_reaches_every_entry() {
    let fleet = fixture::start(3).await;
    let drain = Drain("llm-north".into());
    fleet
        .entry(1)
        .control
        .send(drain)
        .await
        .expect("it answers");
    fixture::wait_until("all know", || all_know_leaving(&fleet, "llm-north")).await;
    no_work_reaches(&fleet, "llm-north").await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_targets_own_word_reaches_every_entry_and_costs_the_caller_nothing() {
    let fleet = fixture::start(3).await;
    let leaving = TargetFaults {
        leaving: true,
        ..TargetFaults::default()
    };
    fleet.targets.set_faults("encoder-south", leaving);
    let mut at = 0;
    while !all_know_leaving(&fleet, "encoder-south") {
        let id = format!("meets-{at}");
        let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH, &id)).await;
        assert_eq!(answer.body.outcome, Outcome::Whole);
        at += 1;
    }
    no_work_reaches(&fleet, "encoder-south").await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn a_list_that_lags_cannot_bring_a_host_back_but_a_new_incarnation_comes() {
    let fleet = fixture::start(2).await;
    let drain = Drain("encoder-north".into());
    fleet
        .entry(0)
        .control
        .send(drain)
        .await
        .expect("it answers");
    fixture::wait_until("all know", || all_know_leaving(&fleet, "encoder-north")).await;
    // The list still says "live" for the same incarnation.
    no_work_reaches(&fleet, "encoder-north").await;
    fleet.host_list.change(|hosts| {
        for host in hosts.iter_mut().filter(|host| host.name == "encoder-north") {
            host.incarnation = 2;
            host.status = HostStatus::Live;
        }
    });
    fixture::wait_until("the new one takes work", || {
        !all_know_leaving(&fleet, "encoder-north")
            && fleet
                .running()
                .all(|e| e.entry.view().targets.iter().all(|t| t.takes_work))
    })
    .await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn the_list_alone_is_enough() {
    let fleet = fixture::start(2).await;
    fleet.host_list.set_leaving("retriever-north");
    fixture::wait_until("all know", || all_know_leaving(&fleet, "retriever-north")).await;
    no_work_reaches(&fleet, "retriever-north").await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn an_empty_list_empties_no_pool() {
    let fleet = fixture::start(2).await;
    fleet.host_list.change(|hosts| hosts.clear());
    let reads = 4;
    for _ in 0..reads {
        actix_rt::time::sleep(std::time::Duration::from_millis(1000)).await;
    }
    let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH, "empty")).await;
    assert_eq!(answer.body.outcome, Outcome::Whole);
    fleet.shut_down().await;
}
