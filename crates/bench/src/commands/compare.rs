//! `hollowsail-bench compare`: runs a scenario with several policies and prints their reports.

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail_bench::report::{self, PolicyReport};
use hollowsail_bench::run::{self, BenchError, RunPlan};
use hollowsail_bench::scenario::Scenario;
use hollowsail_bench::{capacity, policy};

/// run a scenario with several policies on the same arrivals
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Arguments {
    /// scenario file
    #[argh(option)]
    pub scenario: PathBuf,

    /// policies: random, round-robin, least-reported-load, hollowsail,
    /// hollowsail-without-MECHANISM; all baselines and hollowsail when absent
    #[argh(option)]
    pub policy: Vec<String>,

    /// number of seeds
    #[argh(option, default = "5")]
    pub seeds: u64,

    /// seconds of arrivals a run
    #[argh(option, default = "10.0")]
    pub seconds: f64,

    /// requests a second that the targets can serve; found when absent
    #[argh(option)]
    pub capacity: Option<f64>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    /// print details of every policy
    #[argh(switch)]
    pub details: bool,
}

impl Arguments {
    pub async fn run(self) -> Result<bool, BenchError> {
        let scenario =
            Scenario::read(&self.scenario).map_err(|source| BenchError::Scenario { source })?;
        let policies = self.policies()?;
        let capacity = match self.capacity {
            Some(capacity) => capacity,
            None => capacity::find(&scenario, &self.plan(policy::OWN, 0.0, 0)?).await?,
        };
        if !self.json {
            println!(
                "{}: capacity {capacity:.0} requests/s, load {:.0}%, {} seeds of {} s",
                scenario.name,
                100.0 * scenario.load,
                self.seeds,
                self.seconds
            );
        }
        let mut reports: Vec<PolicyReport> = policies
            .iter()
            .map(|policy| PolicyReport {
                policy: policy.clone(),
                runs: Vec::new(),
            })
            .collect();
        // Policies alternate, so that changes in machine speed affect all of them.
        for seed in 1..=self.seeds {
            for report in &mut reports {
                let plan = self.plan(&report.policy, capacity, seed)?;
                report.runs.push(run::run(&scenario, &plan).await?);
            }
        }
        self.print(&reports);
        Ok(reports.iter().all(|report| report.promises().broken() == 0))
    }

    fn policies(&self) -> Result<Vec<String>, BenchError> {
        if !self.policy.is_empty() {
            return Ok(self.policy.clone());
        }
        let all = policy::BASELINES.iter().chain([&policy::OWN]);
        Ok(all.map(|name| name.to_string()).collect())
    }

    fn plan(&self, name: &str, capacity: f64, seed: u64) -> Result<RunPlan, BenchError> {
        let switches = policy::switches(name).ok_or_else(|| BenchError::Usage {
            message: format!("unknown policy {name}; see --help"),
        })?;
        Ok(RunPlan {
            switches,
            capacity,
            seconds: self.seconds,
            seed,
        })
    }

    fn print(&self, reports: &[PolicyReport]) {
        if self.json {
            return super::print_json(&reports);
        }
        print!("{}", report::table(reports));
        if self.details {
            reports
                .iter()
                .for_each(|report| print!("{}", report::details(report)));
        }
    }
}
