//! Incremental updates of the target table, compared with a table built from scratch.

use std::sync::Arc;

use hollowsail_platform::deployment::Deployment;
use hollowsail_platform_standins::DeploymentJson;
use hollowsail_targets::{TargetTable, UsableTarget};
use proptest::prelude::*;
use serde_json::json;

use crate::usable;

const SERVICES: [&str; 3] = ["one", "two", "three"];

/// Targets that may be listed, each with its time of start and the index of its service.
type Listed = Vec<Option<(u64, usize)>>;

fn deployment(services: usize) -> Deployment {
    let json = SERVICES[..services]
        .iter()
        .fold(DeploymentJson::new(1), |json, name| json.service(name))
        .route("/a/", "safe", "one", json!({}));
    Deployment::decode(&json.bytes()).expect("the deployment decodes")
}

/// The listed targets in the order of their ids; unchanged ones share their records.
fn records(listed: &Listed, before: &[UsableTarget]) -> Vec<UsableTarget> {
    let records = listed.iter().enumerate().filter_map(|(index, target)| {
        let (started, service) = (*target)?;
        let new = usable(&format!("i-{index:03}"), started, SERVICES[service]);
        let same = before.iter().find(|known| known.record == new.record);
        Some(same.cloned().unwrap_or(new))
    });
    records.collect()
}

fn ids(table: &TargetTable, deployment: &Deployment) -> Vec<Vec<(String, u64)>> {
    let services = SERVICES.iter().map(|name| {
        let key = deployment.service_named(name);
        let targets = key.map_or(&[][..], |key| table.targets_of(key));
        let incarnations = targets.iter().map(|target| target.incarnation().clone());
        incarnations
            .map(|incarnation| (incarnation.id, incarnation.started))
            .collect()
    });
    services.collect()
}

fn listed() -> impl Strategy<Value = Listed> {
    prop::collection::vec(prop::option::of((1u64..3, 0usize..3)), 12)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn incremental_updates_match_a_fresh_table(
        steps in prop::collection::vec((listed(), 1usize..4), 1..6),
    ) {
        let mut table = TargetTable::default();
        let mut before = Vec::new();
        for (listed, services) in steps {
            let deployment = deployment(services);
            let usable = records(&listed, &before);
            table.update(0, &deployment, &usable, &[]);
            let mut fresh = TargetTable::default();
            fresh.update(0, &deployment, &usable, &[]);
            prop_assert_eq!(ids(&table, &deployment), ids(&fresh, &deployment));
            before = usable;
        }
    }

    #[test]
    fn update_returns_the_changed_services(first in listed(), second in listed()) {
        let deployment = deployment(3);
        let mut table = TargetTable::default();
        let usable = records(&first, &[]);
        table.update(0, &deployment, &usable, &[]);
        let before = ids(&table, &deployment);
        let changed = table.update(0, &deployment, &records(&second, &usable), &[]);
        let after = ids(&table, &deployment);
        for (index, name) in SERVICES.iter().enumerate() {
            let key = deployment.service_named(name).expect("the service exists");
            prop_assert_eq!(changed.contains(&key), before[index] != after[index]);
        }
    }
}

#[test]
fn unchanged_records_are_left_alone() {
    let deployment = deployment(3);
    let mut table = TargetTable::default();
    let mut listed: Vec<UsableTarget> = (0..200)
        .map(|index| usable(&format!("i-{index:03}"), 1, SERVICES[index % 3]))
        .collect();
    table.update(0, &deployment, &listed, &[]);
    let counts_before: Vec<usize> = listed
        .iter()
        .map(|t| Arc::strong_count(&t.record))
        .collect();
    listed.remove(50);
    let changed = table.update(0, &deployment, &listed, &[]);
    assert_eq!(changed.len(), 1, "only the service of the removed target");
    let counts_after: Vec<usize> = listed
        .iter()
        .map(|t| Arc::strong_count(&t.record))
        .collect();
    assert_eq!(counts_before[..50], counts_after[..50]);
}

#[test]
fn target_whose_record_names_another_version_is_replaced() {
    let deployment = deployment(1);
    let mut table = TargetTable::default();
    let old = usable("i-1", 0, "one");
    table.update(0, &deployment, std::slice::from_ref(&old), &[]);
    let mut record = (*old.record).clone();
    record.version = "another".to_string();
    let new = UsableTarget {
        record: Arc::new(record),
        ..old
    };
    table.update(1, &deployment, std::slice::from_ref(&new), &[]);
    let target = table.get(&new.record.incarnation).expect("it is listed");
    assert_eq!(target.record.version, "another");
}
