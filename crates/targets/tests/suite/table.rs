//! The table of usable targets, changed step by step, against one made anew.

use std::sync::Arc;

use hollowsail_platform::deployment::Deployment;
use hollowsail_platform_standins::DeploymentJson;
use hollowsail_targets::{TargetTable, UsableTarget};
use proptest::prelude::*;
use serde_json::json;

use crate::usable;

const SERVICES: [&str; 3] = ["one", "two", "three"];

/// Targets that may be there, each with a start and a service.
type Listed = Vec<Option<(u64, usize)>>;

fn deployment(services: usize) -> Deployment {
    let json = SERVICES[..services]
        .iter()
        .fold(DeploymentJson::new(1), |json, name| json.service(name))
        .route("/a/", "safe", "one", json!({}));
    Deployment::decode(&json.bytes()).expect("it is whole")
}

/// The listed targets in the order of their ids; those that stay are the same records.
fn records(listed: &Listed, before: &[UsableTarget]) -> Vec<UsableTarget> {
    let made = listed.iter().enumerate().filter_map(|(at, target)| {
        let (born, service) = (*target)?;
        let made = usable(&format!("i-{at:03}"), born, SERVICES[service]);
        let same = before.iter().find(|known| known.record == made.record);
        Some(same.cloned().unwrap_or(made))
    });
    made.collect()
}

fn ids(table: &TargetTable, deployment: &Deployment) -> Vec<Vec<(String, u64)>> {
    let services = SERVICES.iter().map(|name| {
        let key = deployment.service_named(name);
        let targets = key.map_or(&[][..], |key| table.of(key));
        let starts = targets.iter().map(|target| target.incarnation().clone());
        starts.map(|start| (start.id, start.born)).collect()
    });
    services.collect()
}

fn listed() -> impl Strategy<Value = Listed> {
    prop::collection::vec(prop::option::of((1u64..3, 0usize..3)), 12)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn step_by_step_it_comes_to_what_one_step_gives(
        steps in prop::collection::vec((listed(), 1usize..4), 1..6),
    ) {
        let mut table = TargetTable::default();
        let mut before = Vec::new();
        for (listed, services) in steps {
            let deployment = deployment(services);
            let told = records(&listed, &before);
            table.take(0, &deployment, &told, &[]);
            let mut anew = TargetTable::default();
            anew.take(0, &deployment, &told, &[]);
            prop_assert_eq!(ids(&table, &deployment), ids(&anew, &deployment));
            before = told;
        }
    }

    #[test]
    fn it_says_which_services_changed(first in listed(), second in listed()) {
        let deployment = deployment(3);
        let mut table = TargetTable::default();
        let told = records(&first, &[]);
        table.take(0, &deployment, &told, &[]);
        let before = ids(&table, &deployment);
        let changed = table.take(0, &deployment, &records(&second, &told), &[]);
        let after = ids(&table, &deployment);
        for (at, name) in SERVICES.iter().enumerate() {
            let key = deployment.service_named(name).expect("it is named");
            prop_assert_eq!(changed.contains(&key), before[at] != after[at]);
        }
    }
}

#[test]
fn nothing_is_done_for_targets_whose_records_stay() {
    let deployment = deployment(3);
    let mut table = TargetTable::default();
    let mut told: Vec<UsableTarget> = (0..200)
        .map(|at| usable(&format!("i-{at:03}"), 1, SERVICES[at % 3]))
        .collect();
    table.take(0, &deployment, &told, &[]);
    let kept: Vec<usize> = told.iter().map(|t| Arc::strong_count(&t.record)).collect();
    told.remove(50);
    let changed = table.take(0, &deployment, &told, &[]);
    assert_eq!(changed.len(), 1, "of one service alone");
    let still: Vec<usize> = told.iter().map(|t| Arc::strong_count(&t.record)).collect();
    assert_eq!(kept[..50], still[..50]);
}
