//! Random faults: how they are drawn, and the promises under them in short runs.

use std::collections::HashSet;
use std::path::Path;

use hollowsail_bench::chaos::draw;
use hollowsail_bench::policy;
use hollowsail_bench::run::{run, RunPlan};
use hollowsail_bench::scenario::Scenario;

#[test]
fn same_seed_draws_same_faults_of_all_kinds() {
    let deployment = crate::accra();
    let drawn = draw(200, 1, 10.0, 3, &deployment);
    assert_eq!(drawn, draw(200, 1, 10.0, 3, &deployment));
    assert_ne!(drawn, draw(200, 2, 10.0, 3, &deployment));
    let kinds: HashSet<_> = drawn
        .iter()
        .map(|f| std::mem::discriminant(&f.kind))
        .collect();
    assert_eq!(kinds.len(), 9);
}

/// Checks promises only; attainment depends on the speed of the machine.
#[actix_rt::test]
async fn overlapping_faults_break_no_promise() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let path = root.join("scenarios/chaos.ini");
    let mut scenario = Scenario::read(&path).unwrap_or_else(|faults| panic!("{faults}"));
    scenario.deployment = root.join(&scenario.deployment);
    for seed in 1..=2 {
        let plan = RunPlan {
            switches: policy::switches(policy::OWN).expect("the policy exists"),
            capacity: 300.0,
            seconds: 4.0,
            seed,
        };
        let report = run(&scenario, &plan)
            .await
            .unwrap_or_else(|err| panic!("{err}"));
        for (name, promise) in &report.promises.0 {
            assert_eq!(promise.broken, 0, "seed {seed}: {name}");
        }
        let checks: usize = report
            .promises
            .0
            .values()
            .map(|promise| promise.checks)
            .sum();
        assert!(checks > report.requests, "{checks} checks");
    }
}
