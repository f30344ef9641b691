//! Log lines of faults.

use std::process::Command;

/// Set in the child process that faults.
const FAULTS: &str = "HOLLOWSAIL_TEST_FAULTS";

/// Raises a signal that ends the process.
fn run_faulty_instruction() {
    // SAFETY: the instruction is undefined by design and touches nothing.
    #[cfg(target_arch = "x86_64")]
    unsafe {
        std::arch::asm!("ud2")
    };
    // SAFETY: the same.
    #[cfg(target_arch = "aarch64")]
    unsafe {
        std::arch::asm!("udf #0xf0b")
    };
}

/// Bytes of the faulty instruction, in the order of memory.
const FAULTY_BYTES: &str = match cfg!(target_arch = "aarch64") {
    true => " bytes=0b0f0000",
    false => " bytes=0f0b",
};

/// Guards against a line that doesn't tell a program's own instruction from another's.
#[cfg(any(target_arch = "x86_64", target_arch = "aarch64"))]
#[test]
fn faulty_instruction_is_logged_with_its_bytes() {
    if std::env::var_os(FAULTS).is_some() {
        hollowsail_observe::faults::log_faults().expect("handlers can be installed");
        run_faulty_instruction();
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
    assert!(stderr.contains(FAULTY_BYTES), "{stderr}");
}
