//! `hollowsail-bench day`: simulates days with several policies and prints a table.

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail_bench::day::draw::{draw_requests, DrawnRequest};
use hollowsail_bench::day::{bound, report, world, DayModel, DayPolicy, DayReport};
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
        let days: Vec<Vec<DrawnRequest>> = (1..=self.seeds)
            .map(|seed| draw_requests(&day, seed))
            .collect();
        let reports = play_all(&day, &days, &policies);
        if self.json {
            super::print_json(&reports);
        } else {
            print!("{}", report::table(&reports, mean_bound(&day, &days)));
        }
        Ok(true)
    }

    /// The selected policies with their names.
    fn policies(&self) -> Result<Vec<(String, DayPolicy)>, BenchError> {
        let names = match self.policy.is_empty() {
            true => DayPolicy::names(),
            false => self.policy.clone(),
        };
        let named = names.into_iter().map(|name| {
            let policy = DayPolicy::named(&name).ok_or_else(|| BenchError::Usage {
                message: format!(
                    "unknown policy {name}; use one of {}",
                    DayPolicy::names().join(", ")
                ),
            })?;
            Ok((name, policy))
        });
        named.collect()
    }
}

/// Plays each day with each policy; returns the reports by policy.
fn play_all(
    day: &DayModel,
    days: &[Vec<DrawnRequest>],
    policies: &[(String, DayPolicy)],
) -> Vec<Vec<DayReport>> {
    let play_days = |(name, policy): &(String, DayPolicy)| {
        let seeded = (1..).zip(days);
        seeded
            .map(|(seed, drawn)| world::play(day, drawn, name, *policy, seed))
            .collect()
    };
    policies.iter().map(play_days).collect()
}

/// Mean of the days' upper bounds of credit.
fn mean_bound(day: &DayModel, days: &[Vec<DrawnRequest>]) -> f64 {
    let bounds = days.iter().map(|drawn| bound::credit(day, drawn));
    bounds.sum::<f64>() / days.len().max(1) as f64
}
