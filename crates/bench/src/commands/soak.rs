//! `hollowsail-bench soak`: runs the soak test for one or more seeds.

use std::path::PathBuf;

use argh::FromArgs;
use hollowsail_bench::run::BenchError;
use hollowsail_bench::soak::{self, SoakOptions};

/// Number of seeds that are listed by the repeats that they use.
const MAX_TIGHTEST: usize = 5;

/// run real gateways before an emulated platform under a drawn plan of faults, and check
/// what callers and targets see
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Arguments {
    /// seed of the plan and of the callers
    #[argh(option, default = "1")]
    seed: u64,

    /// how many seeds to run, one after the other, from the first on
    #[argh(option, default = "1")]
    seeds: u64,

    /// length of a run in seconds, 20 at least
    #[argh(option, default = "60")]
    seconds: u64,

    /// gateways
    #[argh(option, default = "3")]
    entries: usize,

    /// callers, each with a connection of its own
    #[argh(option, default = "24")]
    callers: usize,

    /// the hollowsail program; beside this one when absent
    #[argh(option)]
    program: Option<PathBuf>,

    /// program of the first gateway, such as an older build; the same as the others when absent
    #[argh(option)]
    old_program: Option<PathBuf>,

    /// play only the crowding of one host, on hosts with an eighth of a core;
    /// --seconds has no effect
    #[argh(switch)]
    small_hosts: bool,

    /// play only targets that fail most of what they get, beside gateways that are killed, stopped
    /// and paused in series; --seconds has no effect
    #[argh(switch)]
    failing_targets: bool,

    /// play only targets that stand still, beside gateways that are killed, stopped and paused in
    /// series; --seconds has no effect
    #[argh(switch)]
    suspended_targets: bool,

    /// play only a store that is restored from older copies, beside targets that leave and fail and
    /// gateways that are killed, stopped and paused in series; --seconds has no effect
    #[argh(switch)]
    restores: bool,

    /// play only hosts that start one after the other and are killed, replaced under other names,
    /// stopped and paused, while targets fail most of what they get; --seconds has no effect
    #[argh(switch)]
    joining_hosts: bool,

    /// play only gateways that are stopped in calm, beside requests whose body comes late and targets
    /// that are full or take long; --seconds has no effect
    #[argh(switch)]
    planned_stops: bool,

    /// play only targets that are processes of their own, which are killed, suspended, slow and fail,
    /// beside gateways that are killed, stopped and paused in series; --seconds has no effect
    #[argh(switch)]
    target_processes: bool,

    /// play only gateways and targets that are killed and start again at once on the same address, beside
    /// a store that does writes late, resets connections, or is silent; --seconds has no effect
    #[argh(switch)]
    quick_restarts: bool,

    /// play only thousands of pieces a second, beside gateways that stand still for a moment and stage
    /// workers that end; --seconds has no effect
    #[argh(switch)]
    stage_load: bool,

    /// play only targets that are processes of their own and spoil the heads of their answers, answer
    /// early and reset, or answer with odd statuses, beside gateways that are killed, stopped and paused
    /// in series; --seconds has no effect
    #[argh(switch)]
    spoiling_targets: bool,

    /// play only entries of other writers in the store, with odd keys and large values, beside a lost
    /// history, a restored store, and gateways that start again; --seconds has no effect
    #[argh(switch)]
    foreign_entries: bool,

    /// bandwidth of the link of each small host, in megabits per second
    #[argh(option, default = "10.0")]
    link_mbps: f64,

    /// give each small host a whole core, as for a build without optimizations
    #[argh(switch)]
    whole_cores: bool,

    /// folder for settings, output and events; a new one under target when absent
    #[argh(option)]
    folder: Option<PathBuf>,
}

impl Arguments {
    pub async fn run(self) -> Result<bool, BenchError> {
        let mut all_succeeded = true;
        let mut used = Vec::new();
        for seed in self.seed..self.seed + self.seeds {
            let options = SoakOptions {
                seed,
                seconds: self.seconds,
                entries: self.entries,
                callers: self.callers,
                program: self.program.clone(),
                old_program: self.old_program.clone(),
                folder: self.folder.clone(),
                small_hosts: self.small_hosts,
                failing_targets: self.failing_targets,
                suspended_targets: self.suspended_targets,
                restores: self.restores,
                joining_hosts: self.joining_hosts,
                planned_stops: self.planned_stops,
                target_processes: self.target_processes,
                quick_restarts: self.quick_restarts,
                stage_load: self.stage_load,
                spoiling_targets: self.spoiling_targets,
                foreign_entries: self.foreign_entries,
                link_mbps: self.link_mbps,
                whole_cores: self.whole_cores,
            };
            let report = soak::run(&options)
                .await
                .map_err(|source| BenchError::Soak { source })?;
            println!("{report}");
            all_succeeded &= report.is_success();
            used.push((seed, report.used_repeats));
        }
        if used.len() > 1 {
            println!("{}", describe_tightest(used));
        }
        Ok(all_succeeded)
    }
}

/// The seeds whose repeats came nearest to what is allowed.
fn describe_tightest(mut used: Vec<(u64, f64)>) -> String {
    used.sort_by(|(_, a), (_, b)| b.total_cmp(a));
    let tightest = used.iter().take(MAX_TIGHTEST);
    let tightest = tightest.map(|(seed, used)| format!("{seed} ({used:.2})"));
    let tightest: Vec<String> = tightest.collect();
    format!(
        "seeds that used most of the allowed repeats: {}",
        tightest.join(", ")
    )
}
