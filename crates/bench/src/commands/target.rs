//! `hollowsail-bench target`: serves one target of an emulated platform until standard input closes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use hollowsail_bench::run::BenchError;
use hollowsail_bench::soak;
use hollowsail_platform_emulator::{serve, Events, ServedTarget};
use tokio::io::AsyncReadExt;

/// serve one target of an emulated platform on loopback until standard input ends; its platform starts
/// it, and reads its events from standard output
#[derive(FromArgs)]
#[argh(subcommand, name = "target")]
pub struct Arguments {
    /// site file with halls, services, routes and troubles
    #[argh(option)]
    site: PathBuf,

    /// service of the target
    #[argh(option)]
    service: String,

    /// position of the target in its service
    #[argh(option)]
    number: usize,

    /// id of the target
    #[argh(option)]
    id: String,

    /// address that it listens at; a free one when absent
    #[argh(option)]
    listen: Option<SocketAddr>,

    /// how long the platform has been running, in milliseconds
    #[argh(option, default = "0")]
    elapsed_ms: u64,
}

impl Arguments {
    pub async fn run(self) -> Result<bool, BenchError> {
        let site = soak::read_site(&self.site).map_err(|source| BenchError::Scenario { source })?;
        let served = ServedTarget {
            service: self.service,
            number: self.number,
            id: self.id,
            listen: self.listen,
            elapsed: Duration::from_millis(self.elapsed_ms),
        };
        let events = Events::new(|line| println!("{line}"));
        let target = serve(site, served, events).await;
        let mut ignored = Vec::new();
        if let Err(err) = tokio::io::stdin().read_to_end(&mut ignored).await {
            log::warn!("cannot read standard input: {err}");
        }
        Ok(target.is_some())
    }
}
