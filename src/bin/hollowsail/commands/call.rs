//! `hollowsail call`

use std::net::SocketAddr;

use argh::FromArgs;
use hollowsail::{ops, Context, Exit};

/// call a pipeline and print the answer
///
/// Exit code: 0 for a whole answer, 1 for any other, 2 when the entry cannot
/// be reached.
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub struct Arguments {
    /// name of the pipeline
    #[argh(positional)]
    pipeline: String,

    /// callers' listener of an entry, IP:PORT
    #[argh(option)]
    entry: SocketAddr,

    /// organisation's key
    #[argh(option)]
    key: String,

    /// text to send as the input
    #[argh(option)]
    input: String,

    /// deadline in milliseconds; the pipeline's when absent
    #[argh(option)]
    deadline_ms: Option<u64>,

    /// get a ticket first and run at most once
    #[argh(switch)]
    once: bool,
}

impl Arguments {
    pub async fn run(self, cx: &mut Context<'_>) -> Exit {
        let call = ops::call::Call {
            entry: self.entry,
            pipeline: self.pipeline,
            key: self.key,
            input: self.input,
            deadline_ms: self.deadline_ms,
            once: self.once,
        };
        ops::call::run(cx, &call).await
    }
}
