//! `hollowsail-bench decision`: measures the cost of a routing decision at several sizes.

use argh::FromArgs;
use hollowsail_bench::decision;
use hollowsail_bench::run::BenchError;

/// measure what one routing decision costs, at today's size and at full size
#[derive(FromArgs)]
#[argh(subcommand, name = "decision")]
pub struct Arguments {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Measured sizes: numbers of targets and organisations.
const SIZES: [(usize, usize); 3] = [(20, 5), (190, 950), (770, 3800)];

impl Arguments {
    pub async fn run(self) -> Result<bool, BenchError> {
        let mut reports = Vec::new();
        for (targets, organisations) in SIZES {
            reports.push(decision::run(targets, organisations).await?);
        }
        if self.json {
            super::print_json(&reports);
            return Ok(true);
        }
        for report in reports {
            println!(
                "{:>4} targets, {:>4} organisations: {:.1} microseconds per decision",
                report.targets, report.organisations, report.microseconds
            );
        }
        Ok(true)
    }
}
