//! The `hollowsail-bench` command: parses arguments and runs a subcommand.
//!
//! Exit codes: 0 on success, 1 if a check failed, 2 on an error.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;
use hollowsail_observe::output::write_line;

/// Loads a fleet of entries and stand-ins on loopback, and measures.
#[derive(FromArgs)]
struct HollowsailBench {
    #[argh(subcommand)]
    command: commands::Command,
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("off"))
        .format(write_line)
        .init();
    let arguments: HollowsailBench = argh::from_env();
    match actix_rt::System::new().block_on(arguments.command.run()) {
        Ok(passed) => ExitCode::from(u8::from(!passed)),
        Err(err) => {
            eprintln!("error: {err}");
            ExitCode::from(2)
        }
    }
}
