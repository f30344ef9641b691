//! Measures the control plane: CPU time, traffic, store calls and memory per entry, when idle
//! and during configuration changes.
//!
//! Entries and the store's stand-in run in this process. The figures are totals of the process
//! and of the loopback interface divided by the number of entries, so they are upper bounds.

use std::time::{Duration, Instant};

use hollowsail_config::key::hash_key;
use hollowsail_config::settings::Limits;
use hollowsail_config::SourceFile;
use hollowsail_entry::apply::ApplyResult;
use hollowsail_local::{LocalFleet, LocalOptions};
use hollowsail_standins::Profile;
use serde::Serialize;
use snafu::ResultExt;

use crate::run::{BenchError, StartSnafu};

/// Size of the configuration and of the fleet.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Size {
    pub entries: usize,
    pub organisations: usize,
    pub targets: usize,
    pub pipelines: usize,
}

/// Cost of the control plane.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Cost {
    /// CPU time per entry as a share of one core.
    pub core_share: f64,
    /// Bytes sent and received per entry and second, including headers of all layers.
    pub bytes_per_second: f64,
    /// Store calls of the whole fleet per second.
    pub store_calls_per_second: f64,
}

/// Results for one size.
#[derive(Debug, Clone, Serialize)]
pub struct ControlReport {
    pub size: Size,
    pub at_rest: Cost,
    /// With a change of one organisation per second.
    pub changing: Cost,
    pub changes: usize,
    /// Time from each apply until every entry reports the revision, in milliseconds.
    pub in_force_ms: Vec<u64>,
    /// Resident memory of the process divided by the number of entries, in MB.
    pub memory_mb: f64,
    /// Size of the largest value in the store, in bytes.
    pub largest_chunk: usize,
}

/// Measurement time without changes; covers two waits of a watch.
const REST: Duration = Duration::from_secs(20);
/// Measurement time with changes.
const CHANGING: Duration = Duration::from_secs(8);
/// Time after the start that is not measured.
const SETTLE: Duration = Duration::from_secs(4);
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Measures a fleet and configuration of one size.
pub async fn run(size: Size) -> Result<ControlReport, BenchError> {
    let files = vec![files(size, 1)];
    let options = LocalOptions {
        entries: size.entries,
        profile: Profile::instant(),
        limits: Limits {
            threads: 1,
            ..Limits::default()
        },
        ..LocalOptions::default()
    };
    let before = resident_bytes();
    let fleet = LocalFleet::start(&files, options)
        .await
        .context(StartSnafu)?;
    tokio::time::sleep(SETTLE).await;
    let at_rest = measure(&fleet, size, tokio::time::sleep(REST)).await;
    let mut in_force_ms = Vec::new();
    let changing = measure(&fleet, size, change(&fleet, &mut in_force_ms)).await;
    let memory = resident_bytes().saturating_sub(before) as f64 / size.entries as f64;
    let (_, chunks) = hollowsail_config::chunk::split(&fleet.files);
    let report = ControlReport {
        size,
        at_rest,
        changing,
        changes: in_force_ms.len(),
        in_force_ms,
        memory_mb: memory / 1e6,
        largest_chunk: chunks
            .iter()
            .map(|(_, bytes)| bytes.len())
            .max()
            .unwrap_or(0),
    };
    fleet.shut_down().await;
    Ok(report)
}

async fn measure(
    fleet: &LocalFleet,
    size: Size,
    phase: impl std::future::Future<Output = ()>,
) -> Cost {
    let cpu = cpu_seconds();
    let bytes = loopback_bytes();
    let calls = fleet.store.calls();
    let started = Instant::now();
    phase.await;
    let elapsed = started.elapsed().as_secs_f64();
    let after = fleet.store.calls();
    let calls = (after.0 - calls.0 + after.1 - calls.1) as f64;
    // Each byte on loopback is sent once and received once.
    let moved = 2.0 * (loopback_bytes() - bytes) as f64;
    Cost {
        core_share: (cpu_seconds() - cpu) / elapsed / size.entries as f64,
        bytes_per_second: moved / elapsed / size.entries as f64,
        store_calls_per_second: calls / elapsed,
    }
}

/// Changes one organisation's weight at each interval and records the time until in force.
async fn change(fleet: &LocalFleet, in_force_ms: &mut Vec<u64>) {
    let changes = CHANGING.as_secs() / CHANGE_INTERVAL.as_secs();
    for index in 0..changes {
        let due = Instant::now() + CHANGE_INTERVAL;
        let base = fleet.entry(0).entry.view().revision();
        let mut files = fleet.files.clone();
        let old = "[organisation.o0]\nhalls=h0, h1\nweight=1";
        let new = format!("[organisation.o0]\nhalls=h0, h1\nweight={}", index + 2);
        files[0].text = files[0].text.replace(old, &new);
        let started = Instant::now();
        let result = fleet
            .apply(0, files, base, &format!("change-{index}"))
            .await;
        if matches!(&result, ApplyResult::Accepted { missing, .. } if missing.is_empty()) {
            in_force_ms.push(started.elapsed().as_millis() as u64);
        }
        tokio::time::sleep_until(due.into()).await;
    }
}

/// Generates the configuration file of a deployment of one size.
pub fn files(size: Size, weight: u32) -> SourceFile {
    let mut text = String::from("[deployment]\nname = sized\n");
    for hall in 0..4 {
        text += &format!("[hall.h{hall}]\nregion = r{}\n", hall / 2);
    }
    for service in 0..5 {
        text += &format!("[service.s{service}]\nkind = plain\n");
    }
    for target in 0..size.targets.max(5) {
        text += &format!(
            "[target.t{target}]\nservice = s{}\nhall = h{}\naddress = 127.0.0.1:{}\n",
            target % 5,
            target % 4,
            target + 1
        );
    }
    for pipeline in 0..size.pipelines {
        text += &format!("[pipeline.p{pipeline}]\nstages = a, b, c, d\n");
        for (index, stage) in ["a", "b", "c", "d"].iter().enumerate() {
            text += &format!("[stage.p{pipeline}.{stage}]\nservice = s{index}\n");
        }
    }
    for org in 0..size.organisations {
        let hash: String = hash_key(&org.to_string())
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        text += &format!(
            "[organisation.o{org}]\nhalls = h0, h1\nweight = {weight}\nkey_sha256 = {hash}\n"
        );
    }
    SourceFile {
        name: "sized.ini".into(),
        text,
    }
}

/// User and system CPU time of this process, in seconds.
fn cpu_seconds() -> f64 {
    // Fields 14 (utime) and 15 (stime); counted from the state, after the command in brackets.
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let ticks: f64 = after_name
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}

/// Clock ticks per second of the times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

fn loopback_bytes() -> u64 {
    std::fs::read_to_string("/sys/class/net/lo/statistics/tx_bytes")
        .ok()
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0)
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok())
        .map_or(0, |kilobytes| kilobytes * 1024)
}
