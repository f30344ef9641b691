//! The `hollowsail` command: parses arguments and hands them to the library.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;
use hollowsail::Context;

/// Serves multi-stage model pipelines.
#[derive(FromArgs)]
struct Hollowsail {
    #[argh(subcommand)]
    command: commands::Command,
}

fn main() -> ExitCode {
    let arguments: Hollowsail = argh::from_env();
    let default_level = arguments.command.default_log_level();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(default_level))
        .init();
    let mut cx = Context {
        out: &mut std::io::stdout(),
        err: &mut std::io::stderr(),
    };
    let exit = actix_rt::System::new().block_on(arguments.command.run(&mut cx));
    ExitCode::from(exit.code())
}
