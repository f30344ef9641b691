//! The `hollowsail` command: parses arguments and hands them to the library.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;
use hollowsail::Context;
use hollowsail_observe::output::LineOutput;

/// Serves multi-stage model pipelines.
#[derive(FromArgs)]
struct Hollowsail {
    #[argh(subcommand)]
    command: commands::Command,
}

fn main() -> ExitCode {
    let arguments: Hollowsail = argh::from_env();
    let default_level = arguments.command.default_log_level();
    start_log(default_level, arguments.command.logs_to_output());
    let mut cx = Context {
        out: &mut std::io::stdout(),
        err: &mut std::io::stderr(),
    };
    let exit = actix_rt::System::new().block_on(arguments.command.run(&mut cx));
    ExitCode::from(exit.code())
}

/// Starts the log: to standard error, or to standard output without ever
/// waiting for its reader.
fn start_log(default_level: &str, to_output: bool) {
    let mut builder =
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(default_level));
    if to_output {
        match LineOutput::open() {
            Ok(output) => {
                builder.target(env_logger::Target::Pipe(Box::new(output)));
            }
            Err(err) => eprintln!("warning: log lines go to standard error: {err}"),
        }
    }
    builder.init();
}
