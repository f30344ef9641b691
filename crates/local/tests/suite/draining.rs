//! A draining target gets no new work, whether the operator, the target or the
//! host list reports it.

use hollowsail_clients::HostStatus;
use hollowsail_entry::control::Drain;
use hollowsail_local::LocalFleet;
use hollowsail_routing::Outcome;
use hollowsail_standins::TargetFaults;

use crate::fixture::{self, BOTH_KEY};

fn all_list_as_draining(fleet: &LocalFleet, target: &str) -> bool {
    fleet.running().all(|running| {
        let view = running.entry.view();
        let deployment = view.deployment().expect("in force");
        let index = deployment.targets.iter().position(|t| t.name == target);
        !view.targets[index.expect("the target exists")].takes_work
    })
}

async fn assert_no_work_reaches(fleet: &LocalFleet, target: &str) {
    let before = executions_at(fleet, target);
    for index in 0..12 {
        let id = format!("after-{index}");
        let entry = index % fleet.running().count();
        let answer = fixture::call(fleet, entry, &fixture::request("read", BOTH_KEY, &id)).await;
        assert_eq!(answer.body.outcome, Outcome::Whole);
    }
    assert_eq!(executions_at(fleet, target), before);
}

fn executions_at(fleet: &LocalFleet, target: &str) -> usize {
    fleet
        .targets
        .log
        .all()
        .iter()
        .filter(|e| e.target == target)
        .count()
}

#[actix_rt::test]
async fn operator_drain_reaches_every_entry() {
    let fleet = fixture::start(3).await;
    let drain = Drain("llm-north".into());
    fleet
        .entry(1)
        .control
        .send(drain)
        .await
        .expect("the entry answers");
    fixture::wait_until("every entry lists the target as draining", || {
        all_list_as_draining(&fleet, "llm-north")
    })
    .await;
    assert_no_work_reaches(&fleet, "llm-north").await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn target_drain_report_reaches_every_entry() {
    let fleet = fixture::start(3).await;
    let draining = TargetFaults {
        draining: true,
        ..TargetFaults::default()
    };
    fleet.targets.set_faults("encoder-south", draining);
    let mut index = 0;
    while !all_list_as_draining(&fleet, "encoder-south") {
        let id = format!("meets-{index}");
        let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH_KEY, &id)).await;
        assert_eq!(answer.body.outcome, Outcome::Whole);
        index += 1;
    }
    assert_no_work_reaches(&fleet, "encoder-south").await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn stale_host_list_does_not_undo_drain() {
    let fleet = fixture::start(2).await;
    let drain = Drain("encoder-north".into());
    fleet
        .entry(0)
        .control
        .send(drain)
        .await
        .expect("the entry answers");
    fixture::wait_until("every entry lists the target as draining", || {
        all_list_as_draining(&fleet, "encoder-north")
    })
    .await;
    // The list still reports the same incarnation as live.
    assert_no_work_reaches(&fleet, "encoder-north").await;
    fleet.host_list.change(|hosts| {
        for host in hosts.iter_mut().filter(|host| host.name == "encoder-north") {
            host.incarnation = 2;
            host.status = HostStatus::Live;
        }
    });
    fixture::wait_until("the new incarnation takes work", || {
        !all_list_as_draining(&fleet, "encoder-north")
            && fleet
                .running()
                .all(|e| e.entry.view().targets.iter().all(|t| t.takes_work))
    })
    .await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn host_list_alone_drains_a_target() {
    let fleet = fixture::start(2).await;
    fleet.host_list.set_draining("retriever-north");
    fixture::wait_until("every entry lists the target as draining", || {
        all_list_as_draining(&fleet, "retriever-north")
    })
    .await;
    assert_no_work_reaches(&fleet, "retriever-north").await;
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn empty_host_list_keeps_the_pools() {
    let fleet = fixture::start(2).await;
    fleet.host_list.change(|hosts| hosts.clear());
    let reads = 4;
    for _ in 0..reads {
        actix_rt::time::sleep(std::time::Duration::from_millis(1000)).await;
    }
    let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH_KEY, "empty")).await;
    assert_eq!(answer.body.outcome, Outcome::Whole);
    fleet.shut_down().await;
}
