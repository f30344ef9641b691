//! `hollowsail local`

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail::{ops, Context, Exit};

/// run a deployment on loopback: entries and stand-ins in one process
///
/// With --platform: gateways before the users' platform, emulated by a site file.
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

    /// call every pipeline or route once, then end
    #[argh(switch)]
    once: bool,

    /// gateways before an emulated platform instead
    #[argh(switch)]
    platform: bool,

    /// the platform's site file
    #[argh(option, default = "PathBuf::from(\"examples/platform/site.ini\")")]
    site: PathBuf,
}

impl Arguments {
    pub async fn run(self, cx: &mut Context<'_>) -> Exit {
        if self.platform {
            let local = ops::local_platform::LocalPlatform {
                site: self.site,
                entries: self.entries.max(1),
                once: self.once,
            };
            return ops::local_platform::run(cx, &local).await;
        }
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
