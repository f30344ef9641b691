//! `hollowsail local --platform`, as the README shows it.

use std::process::Command;

#[test]
fn one_request_on_every_route_of_the_example_is_answered_whole() {
    let output = Command::new(env!("CARGO_BIN_EXE_hollowsail"))
        .args(["local", "--platform", "--once"])
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    for route in ["/safe/plain/", "/once/", "/answers/"] {
        let line = text.lines().find(|line| line.starts_with(route));
        assert!(line.is_some_and(|line| line.ends_with(": whole")), "{text}");
    }
}

#[test]
fn a_site_file_that_isnt_there_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_hollowsail"))
        .args(["local", "--platform", "--site", "no/site.ini"])
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains("no/site.ini") && text.contains("name a site file"),
        "{text}"
    );
    assert_eq!(output.status.code(), Some(2));
}
