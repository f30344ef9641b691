//! `hollowsail check`: valid, faulty and missing files.

use std::path::{Path, PathBuf};

use expect_test::expect;
use hollowsail::{ops, Context, Exit};

fn check(paths: &[PathBuf]) -> (Exit, String, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let mut cx = Context {
        out: &mut out,
        err: &mut err,
    };
    let exit = ops::check::run(&mut cx, paths);
    let text = |bytes| String::from_utf8(bytes).expect("the output is UTF-8");
    (exit, text(out), text(err))
}

fn quebec() -> Vec<PathBuf> {
    ["models", "organisations", "pipelines", "platform"]
        .iter()
        .map(|name| PathBuf::from(format!("examples/quebec/{name}.ini")))
        .collect()
}

#[test]
fn example_passes_the_check() {
    let (exit, out, err) = check(&quebec());
    assert_eq!(exit, Exit::Success);
    expect![[r#"
        quebec: 3 halls, 5 services, 36 targets, 2 models, 3 pipelines, 5 organisations: ok
    "#]]
    .assert_eq(&out);
    assert_eq!(err, "");
}

#[test]
fn every_fault_is_listed() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let mut paths = Vec::new();
    for path in quebec() {
        let text = std::fs::read_to_string(&path)
            .expect("the example can be read")
            .replace("deadline_ms = 6000", "deadline_ms = soon")
            .replace(
                "model = writer-3b\nmax_tokens = 32",
                "model = nobody\nmax_tokens = 32",
            )
            .replace("weight = 8", "wieght = 8");
        let copy = directory
            .path()
            .join(path.file_name().expect("a file name"));
        std::fs::write(&copy, text).expect("the file can be written");
        paths.push(copy);
    }
    let (exit, _, err) = check(&paths);
    assert_eq!(exit, Exit::Failure);
    let shown = err.replace(&format!("{}/", directory.path().display()), "");
    expect![[r#"
        organisations.ini:7: organisation.health-inspection.wieght: is not a field here; known fields: adapter, halls, key_sha256, pipelines, weight
        pipelines.ini:33: pipeline.batch-summary.deadline_ms: is not a number from 1 to 120000
        pipelines.ini:79: stage.alert-explanation.generate.model: names nobody, which no section defines
        3 fault(s); nothing was changed. Correct them and try again.
    "#]].assert_eq(&shown);
}

#[test]
fn missing_file_is_named() {
    let (exit, _, err) = check(&[Path::new("nowhere.ini").to_path_buf()]);
    assert_eq!(exit, Exit::CannotRun);
    expect![[r#"
        error: cannot read nowhere.ini: No such file or directory (os error 2); check the path
    "#]]
    .assert_eq(&err);
}
