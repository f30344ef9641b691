//! `hollowsail-bench run`: runs a scenario with one policy and checks the promises.

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail_bench::run::BenchError;

use super::compare;

/// run a scenario over several seeds and check every promise
///
/// Exit code: 0 when no promise was broken, 1 when one was.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct Arguments {
    /// scenario file
    #[argh(option)]
    scenario: PathBuf,

    /// policy to run
    #[argh(option, default = "hollowsail_bench::policy::OWN.into()")]
    policy: String,

    /// number of seeds
    #[argh(option, default = "1")]
    seeds: u64,

    /// seconds of arrivals a run
    #[argh(option, default = "10.0")]
    seconds: f64,

    /// requests a second that the targets can serve; found when absent
    #[argh(option)]
    capacity: Option<f64>,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Arguments {
    pub async fn run(self) -> Result<bool, BenchError> {
        compare::Arguments {
            scenario: self.scenario,
            policy: vec![self.policy],
            seeds: self.seeds,
            seconds: self.seconds,
            capacity: self.capacity,
            json: self.json,
            details: true,
        }
        .run()
        .await
    }
}
