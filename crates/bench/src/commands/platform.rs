//! `hollowsail-bench platform`: emulates the platform until standard input closes.

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail_bench::run::BenchError;
use hollowsail_bench::soak;
use hollowsail_platform_emulator::{Emulator, Event, Events, TargetProgram};
use tokio::io::AsyncReadExt;

/// emulate the users' platform on loopback until standard input ends: a store, targets and
/// what goes wrong with them; events go to standard output, a line of JSON each
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct Arguments {
    /// site file with halls, services, routes and troubles
    #[argh(option)]
    site: PathBuf,
}

impl Arguments {
    pub async fn run(self) -> Result<bool, BenchError> {
        let site = soak::read_site(&self.site).map_err(|source| BenchError::Scenario { source })?;
        let events = Events::new(|line| println!("{line}"));
        let emulator = match site.target_processes {
            true => {
                let program = TargetProgram {
                    program: std::env::current_exe().unwrap_or_default(),
                    site: self.site,
                };
                let started = Emulator::start_processes(site, events, program).await;
                started.map_err(|source| BenchError::Target { source })?
            }
            false => Emulator::start(site, events).await,
        };
        let store = emulator.store_addr().to_string();
        let hosts = emulator.host_store_addrs();
        let hosts = hosts.iter().map(ToString::to_string).collect();
        emulator.account.events.emit(&Event::Ready { store, hosts });
        let mut ignored = Vec::new();
        if let Err(err) = tokio::io::stdin().read_to_end(&mut ignored).await {
            log::warn!("cannot read standard input: {err}");
        }
        Ok(emulator.account.broken_promises().is_empty())
    }
}
