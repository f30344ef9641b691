//! `hollowsail local`

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail::{ops, Context, Exit};

/// run a deployment on loopback: entries and stand-ins in one process
///
/// With --once: one request per pipeline of both examples (or of the named
/// deployment), answers printed; exit code 1 when one is not whole.
#[derive(FromArgs)]
#[argh(subcommand, name = "local")]
pub struct Arguments {
    /// directory of operators' files
    #[argh(positional)]
    deployment: Option<PathBuf>,

    /// number of entries
    #[argh(option, default = "3")]
    entries: usize,

    /// call every pipeline once, then end
    #[argh(switch)]
    once: bool,
}

impl Arguments {
    pub async fn run(self, cx: &mut Context<'_>) -> Exit {
        let deployments = match (self.deployment, self.once) {
            (Some(directory), _) => vec![directory],
            (None, true) => vec!["examples/quebec".into(), "examples/accra".into()],
            (None, false) => vec!["examples/quebec".into()],
        };
        let local = ops::local::Local {
            deployments,
            entries: self.entries.max(1),
            once: self.once,
        };
        ops::local::run(cx, &local).await
    }
}
