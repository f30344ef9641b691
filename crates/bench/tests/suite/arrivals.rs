//! Planned arrivals: determined by the seed, permitted, and multiplied by faults.

use std::collections::BTreeMap;

use hollowsail_bench::arrivals::plan;
use hollowsail_bench::scenario::{FaultKind, FaultPlan, Scenario};

fn scenario(faults: Vec<FaultPlan>) -> Scenario {
    Scenario {
        name: "s".into(),
        deployment: "examples/accra".into(),
        entries: 3,
        load: 0.5,
        duplicates: 0.2,
        drawn_faults: 0,
        mix: BTreeMap::from([("ticket-check".into(), 3.0), ("appeal-draft".into(), 1.0)]),
        shares: BTreeMap::new(),
        faults,
    }
}

fn fault(kind: FaultKind) -> FaultPlan {
    FaultPlan {
        name: "f".into(),
        kind,
        at_ms: 10_000,
        for_ms: 10_000,
    }
}

#[test]
fn plan_depends_on_the_seed_alone() {
    let deployment = crate::accra();
    let scenario = scenario(Vec::new());
    let one = plan(&scenario, &deployment, 100.0, 10.0, 1);
    assert_eq!(one, plan(&scenario, &deployment, 100.0, 10.0, 1));
    assert_ne!(one, plan(&scenario, &deployment, 100.0, 10.0, 2));
    assert!((800..1200).contains(&one.len()), "{} arrivals", one.len());
}

#[test]
fn only_permitted_pipelines_are_called() {
    let deployment = crate::accra();
    for arrival in plan(&scenario(Vec::new()), &deployment, 200.0, 10.0, 1) {
        let org = deployment
            .find_organisation(&arrival.org)
            .expect("the organisation is configured");
        assert!(deployment.may_call(org, arrival.pipeline));
    }
}

#[test]
fn faults_multiply_the_affected_arrivals() {
    let deployment = crate::accra();
    let flood = FaultKind::Flood {
        organisation: "lorry-parks".into(),
        factor: 10.0,
    };
    for (kind, affected) in [
        (FaultKind::Burst { factor: 3.0 }, None),
        (flood, Some("lorry-parks")),
    ] {
        let factor = if affected.is_some() { 10.0 } else { 3.0 };
        let scenario = scenario(vec![fault(kind)]);
        let arrivals = plan(&scenario, &deployment, 100.0, 20.0, 1);
        let count = |from: u64, to: u64| {
            let within = |ms: u64| (from..to).contains(&ms);
            arrivals
                .iter()
                .filter(|a| affected.is_none_or(|org| a.org == org))
                .filter(|a| within(a.at.as_millis() as u64))
                .count() as f64
        };
        let ratio = count(10_000, 20_000) / count(0, 10_000);
        assert!(
            (0.7 * factor..1.3 * factor).contains(&ratio),
            "{affected:?}: {ratio}"
        );
    }
}
