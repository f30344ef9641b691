//! `hollowsail local --platform` with the example site.

use std::process::Command;

#[test]
fn every_example_route_answers_whole() {
    let output = Command::new(env!("CARGO_BIN_EXE_hollowsail"))
        .args(["local", "--platform", "--once"])
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    for route in ["/safe/plain/", "/once/", "/answers/"] {
        let line = text.lines().find(|line| line.starts_with(route));
        assert!(line.is_some_and(|line| line.ends_with(": whole")), "{text}");
    }
}

#[test]
fn missing_site_file_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_hollowsail"))
        .args(["local", "--platform", "--site", "no/site.ini"])
        .output()
        .expect("the command runs");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains("no/site.ini") && text.contains("name a site file"),
        "{text}"
    );
    assert_eq!(output.status.code(), Some(2));
}
