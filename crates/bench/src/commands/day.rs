//! `hollowsail-bench day`

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail_bench::day::{bound, draw_requests, report, world, DayModel, DayPolicy, DayReport};
use hollowsail_bench::run::BenchError;

/// emulate days of a deployment with several policies, on the same requests
#[derive(FromArgs)]
#[argh(subcommand, name = "day")]
pub struct Arguments {
    /// scenario file with the pools, engines and kinds of request
    #[argh(option)]
    scenario: PathBuf,

    /// policies: hollowsail, hollowsail-without-MECHANISM; all when absent
    #[argh(option)]
    policy: Vec<String>,

    /// multiple of the scenario's requests a second
    #[argh(option, default = "1.0")]
    load: f64,

    /// number of seeds
    #[argh(option, default = "20")]
    seeds: u64,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Arguments {
    pub async fn run(self) -> Result<bool, BenchError> {
        let mut day =
            DayModel::read(&self.scenario).map_err(|source| BenchError::Scenario { source })?;
        day.rate *= self.load;
        let policies = self.policies()?;
        let mut bounds = Vec::new();
        let mut reports: Vec<Vec<DayReport>> = vec![Vec::new(); policies.len()];
        for seed in 1..=self.seeds {
            let drawn = draw_requests(&day, seed);
            bounds.push(bound::credit(&day, &drawn));
            for ((name, policy), reports) in policies.iter().zip(&mut reports) {
                reports.push(world::play(&day, &drawn, name, *policy, seed));
            }
        }
        if self.json {
            super::print_json(&reports);
        } else {
            let bound = bounds.iter().sum::<f64>() / bounds.len().max(1) as f64;
            print!("{}", report::table(&reports, bound));
        }
        Ok(true)
    }

    fn policies(&self) -> Result<Vec<(String, DayPolicy)>, BenchError> {
        let names = match self.policy.is_empty() {
            true => DayPolicy::names(),
            false => self.policy.clone(),
        };
        let named = names.into_iter().map(|name| {
            let policy = DayPolicy::named(&name).ok_or_else(|| BenchError::Usage {
                message: format!(
                    "there is no policy {name}; use one of {}",
                    DayPolicy::names().join(", ")
                ),
            })?;
            Ok((name, policy))
        });
        named.collect()
    }
}
