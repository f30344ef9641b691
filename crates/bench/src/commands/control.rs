//! `hollowsail-bench control`: measures the control plane and prints its cost.

use argh::FromArgs;
use hollowsail_bench::control::{self, Size};
use hollowsail_bench::run::BenchError;

/// measure what control costs an entry, at rest and through changes
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
pub struct Arguments {
    /// number of entries
    #[argh(option, default = "9")]
    entries: usize,

    /// number of organisations
    #[argh(option, default = "3800")]
    organisations: usize,

    /// number of targets
    #[argh(option, default = "770")]
    targets: usize,

    /// number of pipelines
    #[argh(option, default = "30")]
    pipelines: usize,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Arguments {
    pub async fn run(self) -> Result<bool, BenchError> {
        let report = control::run(Size {
            entries: self.entries,
            organisations: self.organisations,
            targets: self.targets,
            pipelines: self.pipelines,
        })
        .await?;
        if self.json {
            super::print_json(&report);
            return Ok(true);
        }
        println!(
            "{} entries, {} organisations, {} targets, {} pipelines",
            report.size.entries,
            report.size.organisations,
            report.size.targets,
            report.size.pipelines
        );
        for (phase, cost) in [("at rest", report.at_rest), ("changing", report.changing)] {
            println!(
                "{phase:<9} {:.2}% of a core, {:.0} bytes/s per entry; {:.2} store calls/s in total",
                100.0 * cost.core_share,
                cost.bytes_per_second,
                cost.store_calls_per_second
            );
        }
        println!(
            "{} changes, in force everywhere after {:?} ms; {:.1} MB per entry; largest chunk {} bytes",
            report.changes, report.in_force_ms, report.memory_mb, report.largest_chunk
        );
        Ok(true)
    }
}
