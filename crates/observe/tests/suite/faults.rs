//! Log lines of faults.

use std::process::Command;

/// Set in the child process that faults.
const FAULTS: &str = "HOLLOWSAIL_TEST_FAULTS";

/// Guards against a line that doesn't tell a program's own instruction from another's.
#[cfg(target_arch = "x86_64")]
#[test]
fn faulty_instruction_is_logged_with_its_bytes() {
    if std::env::var_os(FAULTS).is_some() {
        hollowsail_observe::faults::log_faults().expect("handlers can be installed");
        // SAFETY: the instruction raises a signal that ends the process.
        unsafe { std::arch::asm!("ud2") };
    }
    let name = "faults::faulty_instruction_is_logged_with_its_bytes";
    let child = Command::new(std::env::current_exe().expect("a test has a path"))
        .args(["--exact", name, "--nocapture"])
        .env(FAULTS, "1")
        .output()
        .expect("the test runs");
    let stderr = String::from_utf8_lossy(&child.stderr);
    assert!(
        stderr.contains("HS0112 fatal_signal signal=4 code="),
        "{stderr}"
    );
    assert!(stderr.contains(" bytes=0f0b"), "{stderr}");
}
