//! Scenario files: the shipped ones are valid, and invalid ones report every fault.

use std::path::Path;

use expect_test::expect;
use hollowsail_bench::scenario::Scenario;
use hollowsail_config::{check, SourceFile};
use hollowsail_local::read_directory;

#[test]
fn shipped_scenarios_match_their_deployments() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut count = 0;
    for entry in std::fs::read_dir(root.join("scenarios")).expect("scenarios exist") {
        let path = entry.expect("the entry is readable").path();
        let scenario = Scenario::read(&path).unwrap_or_else(|faults| panic!("{faults}"));
        let files =
            read_directory(&root.join(&scenario.deployment)).expect("the deployment exists");
        let deployment = check(&files).expect("the deployment is valid");
        for pipeline in scenario.mix.keys() {
            assert!(deployment.find_pipeline(pipeline).is_some(), "{pipeline}");
        }
        for org in scenario.shares.keys() {
            assert!(deployment.find_organisation(org).is_some(), "{org}");
        }
        count += 1;
    }
    assert!(count > 20);
}

#[test]
fn invalid_scenario_reports_every_fault() {
    let source = SourceFile {
        name: "s.ini".into(),
        text: "[scenario]\nload = much\n[fault.a]\nkind = earthquake\n[fault.b]\nkind = slow\n\
               factor = 2\n[mixture]\n"
            .into(),
    };
    let faults = Scenario::parse(&source).expect_err("the scenario is invalid");
    expect![[r#"
        s.ini:1: scenario.deployment: is missing; add it to this section
        s.ini:2: scenario.load: is not a number from 0.01 to 10
        s.ini:4: fault.a.kind: is not known; docs/operators/bench.md lists the kinds
        s.ini:5: fault.b.targets: is missing; add it to this section
        s.ini:8: mixture: is not known; use scenario, mix, shares or fault.NAME
        5 fault(s); nothing was changed. Correct them and try again."#]]
    .assert_eq(&faults.to_string());
}
