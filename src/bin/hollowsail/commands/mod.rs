//! The subcommands, one module each.

mod apply;
mod call;
mod check;
mod drain;
mod entry;
mod gateway;
mod local;
mod status;

use argh::FromArgs;
use hollowsail::{Context, Exit};

/// The subcommands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Apply(apply::Arguments),
    Call(call::Arguments),
    Check(check::Arguments),
    Drain(drain::Arguments),
    Entry(entry::Arguments),
    Gateway(gateway::Arguments),
    Local(local::Arguments),
    Status(status::Arguments),
}

impl Command {
    pub async fn run(self, cx: &mut Context<'_>) -> Exit {
        match self {
            Command::Apply(arguments) => arguments.run(cx).await,
            Command::Call(arguments) => arguments.run(cx).await,
            Command::Check(arguments) => arguments.run(cx),
            Command::Drain(arguments) => arguments.run(cx).await,
            Command::Entry(arguments) => arguments.run(cx).await,
            Command::Gateway(arguments) => arguments.run(cx).await,
            Command::Local(arguments) => arguments.run(cx).await,
            Command::Status(arguments) => arguments.run(cx).await,
        }
    }

    /// True when the log goes to standard output, where the gateway writes nothing else.
    pub fn logs_to_output(&self) -> bool {
        matches!(self, Command::Gateway(_))
    }

    /// Level without `RUST_LOG`: daemons log their decisions, other commands only errors.
    pub fn default_log_level(&self) -> &'static str {
        match self {
            Command::Entry(_) | Command::Gateway(_) => "info",
            _ => "error",
        }
    }
}
