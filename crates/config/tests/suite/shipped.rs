//! The shipped examples are valid and have the expected sizes.

use std::path::Path;

use hollowsail_config::{check, Deployment, ServiceKind, SourceFile};

fn example(name: &str) -> Deployment {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    let files: Vec<SourceFile> = ["models", "organisations", "pipelines", "platform"]
        .iter()
        .map(|file| {
            let path = directory.join(format!("{file}.ini"));
            SourceFile {
                name: path.display().to_string(),
                text: std::fs::read_to_string(path).expect("the example file exists"),
            }
        })
        .collect();
    check(&files).expect("the example is valid")
}

fn assert_sizes(deployment: &Deployment, engines: usize) {
    assert_eq!(deployment.halls.len(), 3);
    assert_eq!(deployment.organisations.len(), 5);
    let supporting = deployment
        .services
        .iter()
        .filter(|s| s.kind != ServiceKind::Engine);
    assert_eq!(supporting.clone().count(), 4);
    assert_eq!(supporting.clone().filter(|s| s.reports_load).count(), 3);
    assert!(supporting
        .clone()
        .all(|s| (3..=5).contains(&s.targets.len())));
    let engine = deployment
        .services
        .iter()
        .find(|s| s.kind == ServiceKind::Engine);
    assert_eq!(engine.expect("an engine service").targets.len(), engines);
    assert!(deployment
        .pipelines
        .iter()
        .any(|pipeline| pipeline.runs_once()));
}

#[test]
fn quebec_example_has_expected_sizes() {
    assert_sizes(&example("quebec"), 20);
}

#[test]
fn accra_example_has_expected_sizes() {
    assert_sizes(&example("accra"), 12);
}
