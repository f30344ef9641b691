//! The `hollowsail` command: parses arguments and runs the operation of the subcommand.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

mod commands;

use std::process::ExitCode;

use argh::FromArgs;
use hollowsail::Context;
use hollowsail_observe::faults;
use hollowsail_observe::output::{write_line, LineOutput};

/// Serves multi-stage model pipelines.
#[derive(FromArgs)]
struct Hollowsail {
    #[argh(subcommand)]
    command: commands::Command,
}

fn main() -> ExitCode {
    let arguments: Hollowsail = argh::from_env();
    let default_level = arguments.command.default_log_level();
    init_log(default_level, arguments.command.logs_to_output());
    if let Err(err) = faults::log_faults() {
        log::warn!("cannot log the signals of faulty instructions: {err}");
    }
    let mut cx = Context {
        out: &mut std::io::stdout(),
        err: &mut std::io::stderr(),
    };
    let exit = actix_rt::System::new().block_on(arguments.command.run(&mut cx));
    ExitCode::from(exit.code())
}

/// Initialises logging to standard error, or to a standard output that never blocks.
fn init_log(default_level: &str, to_output: bool) {
    let mut builder =
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(default_level));
    builder.format(write_line);
    if to_output {
        match LineOutput::open() {
            Ok(output) => {
                builder.target(env_logger::Target::Pipe(Box::new(output)));
            }
            Err(err) => eprintln!(
                "warning: cannot log to standard output: {err}; logging to standard error"
            ),
        }
    }
    builder.init();
}
