//! `hollowsail check`

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail::{ops, Context, Exit};

/// check operators' files together, without applying them
///
/// Exit code: 0 when they are right, 1 with every fault listed, 2 when a file
/// cannot be read.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Arguments {
    /// files of one deployment
    #[argh(positional)]
    files: Vec<PathBuf>,
}

impl Arguments {
    pub fn run(self, cx: &mut Context<'_>) -> Exit {
        ops::check::run(cx, &self.files)
    }
}
