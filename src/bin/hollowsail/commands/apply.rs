//! `hollowsail apply`

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail::{ops, Context, Exit};

/// apply operators' files as a whole
///
/// Exit code: 0 when the revision is in force everywhere, 1 when it was
/// refused or some entry does not report it yet, 2 when the entry cannot be
/// reached.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Arguments {
    /// files of one deployment
    #[argh(positional)]
    files: Vec<PathBuf>,

    /// revision you believe to be in force; 0 for the first
    #[argh(option)]
    base: u64,

    /// operators' listener of an entry, IP:PORT
    #[argh(option)]
    operators: String,

    /// operators' key
    #[argh(option)]
    key: String,

    /// id of an apply whose answer was lost: sends the same apply again
    #[argh(option)]
    id: Option<String>,

    /// how long to wait until it is in force everywhere, in milliseconds
    #[argh(option, default = "8000")]
    wait_ms: u64,
}

impl Arguments {
    pub async fn run(self, cx: &mut Context<'_>) -> Exit {
        let resent = self.id.is_some();
        let apply_id = self
            .id
            .unwrap_or_else(|| format!("{:016x}", rand::random::<u64>()));
        let apply = ops::apply::Apply {
            operator: ops::operator::Operator {
                address: self.operators,
                key: self.key,
            },
            paths: self.files,
            base: self.base,
            apply_id,
            resent,
            wait_ms: self.wait_ms,
        };
        ops::apply::run(cx, apply).await
    }
}
