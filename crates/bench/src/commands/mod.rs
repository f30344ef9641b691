//! The subcommands, one per file. Each returns whether its checks passed.

mod compare;
mod control;
mod day;
mod decision;
mod overhead;
mod platform;
mod run;
mod soak;
mod target;

use argh::FromArgs;
use hollowsail_bench::run::BenchError;

/// The subcommands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Compare(compare::Arguments),
    Control(control::Arguments),
    Day(day::Arguments),
    Decision(decision::Arguments),
    Overhead(overhead::Arguments),
    Platform(platform::Arguments),
    Run(run::Arguments),
    Soak(soak::Arguments),
    Target(target::Arguments),
}

impl Command {
    pub async fn run(self) -> Result<bool, BenchError> {
        match self {
            Command::Compare(arguments) => arguments.run().await,
            Command::Control(arguments) => arguments.run().await,
            Command::Day(arguments) => arguments.run().await,
            Command::Decision(arguments) => arguments.run().await,
            Command::Overhead(arguments) => arguments.run().await,
            Command::Platform(arguments) => arguments.run().await,
            Command::Run(arguments) => arguments.run().await,
            Command::Soak(arguments) => arguments.run().await,
            Command::Target(arguments) => arguments.run().await,
        }
    }
}

/// Prints a value as indented JSON to standard output.
pub fn print_json(value: &impl serde::Serialize) {
    match serde_json::to_string_pretty(value) {
        Ok(text) => println!("{text}"),
        Err(err) => eprintln!("error: {err}"),
    }
}
