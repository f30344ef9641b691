//! `hollowsail entry`

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail::{ops, Context, Exit};

/// run an entry until SIGTERM, which makes a planned stop
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct Arguments {
    /// settings file; docs/operators/settings.md explains it
    #[argh(option)]
    settings: PathBuf,
}

impl Arguments {
    pub async fn run(self, cx: &mut Context<'_>) -> Exit {
        ops::entry::run(cx, &self.settings).await
    }
}
