//! `hollowsail gateway`

use argh::FromArgs;
use hollowsail::{ops, Context, Exit};

/// serve callers on the users' platform until SIGTERM, which makes a planned
/// stop; the environment names the settings file
#[derive(FromArgs)]
#[argh(subcommand, name = "gateway")]
pub struct Arguments {
    /// for measurements: take a mechanism out; may be given several times
    #[argh(option)]
    without: Vec<String>,
}

impl Arguments {
    pub async fn run(self, cx: &mut Context<'_>) -> Exit {
        ops::gateway::run(cx, &self.without).await
    }
}
