//! `hollowsail-bench overhead`: measures the latency that an entry adds.

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail_bench::overhead;
use hollowsail_bench::run::BenchError;

/// measure what an entry adds to a request, against calling targets straight
#[derive(FromArgs)]
#[argh(subcommand, name = "overhead")]
pub struct Arguments {
    /// directory of operators' files
    #[argh(option, default = "\"examples/quebec\".into()")]
    deployment: PathBuf,

    /// requests each way
    #[argh(option, default = "1000")]
    requests: usize,

    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl Arguments {
    pub async fn run(self) -> Result<bool, BenchError> {
        let reports = overhead::run(&self.deployment, self.requests).await?;
        if self.json {
            super::print_json(&reports);
            return Ok(true);
        }
        for report in reports {
            println!(
                "{:<20} {} stages: direct p50 {:.3} p99 {:.3} ms, through an entry p50 {:.3} \
                 p99 {:.3} ms, added per stage p50 {:.3} p99 {:.3} ms",
                report.pipeline,
                report.stages,
                report.direct.p50_ms,
                report.direct.p99_ms,
                report.through_entry.p50_ms,
                report.through_entry.p99_ms,
                report.added_per_stage_p50_ms,
                report.added_per_stage_p99_ms
            );
        }
        Ok(true)
    }
}
