//! Reports of single runs and of several runs of a policy, as data and as printed tables.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use hollowsail_config::Deployment;
use serde::Serialize;

use crate::faults::ApplyCounts;
use crate::history::Promises;
use crate::load::CallRecord;
use crate::scenario::Scenario;

/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Results of one run.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    pub requests: usize,
    /// Share of requests answered whole within the deadline.
    pub attainment: f64,
    pub by_organisation: BTreeMap<String, f64>,
    pub by_pipeline: BTreeMap<String, f64>,
    /// Target-seconds per request answered in time, by service.
    pub cost: BTreeMap<String, f64>,
    pub p50_ms: f64,
    pub p95_ms: f64,
    pub p99_ms: f64,
    /// Number of requests not answered in time, by outcome.
    pub misses: BTreeMap<String, usize>,
    /// Attainment before, during and after each fault.
    pub around_faults: BTreeMap<String, [f64; 3]>,
    pub store_calls_per_second: f64,
    /// Results of concurrent applies during the run.
    pub applies: ApplyCounts,
    pub promises: Promises,
}

impl RunReport {
    pub fn new(
        scenario: &Scenario,
        deployment: &Deployment,
        records: &[CallRecord],
        target_seconds: Vec<(String, f64)>,
        promises: Promises,
        store_calls_per_second: f64,
        applies: ApplyCounts,
    ) -> Self {
        let firsts: Vec<&CallRecord> = records.iter().filter(|r| !r.second).collect();
        let attained = |record: &CallRecord| record.attained(deadline(deployment, record));
        let in_time = firsts.iter().filter(|r| attained(r)).count();
        let share = |is_included: &dyn Fn(&CallRecord) -> bool| {
            let all: Vec<_> = firsts.iter().filter(|r| is_included(r)).collect();
            let good = all.iter().filter(|r| attained(r)).count();
            ratio(good, all.len())
        };
        let latencies = latencies(&firsts);
        let quantile = |share| latencies.value_at_quantile(share) as f64 / 1000.0;
        RunReport {
            requests: firsts.len(),
            attainment: ratio(in_time, firsts.len()),
            by_organisation: deployment
                .organisations
                .iter()
                .map(|org| (org.name.clone(), share(&|r| r.arrival.org == org.name)))
                .collect(),
            by_pipeline: deployment
                .pipelines
                .iter()
                .map(|pipeline| {
                    let key = deployment.find_pipeline(&pipeline.name);
                    (
                        pipeline.name.clone(),
                        share(&|r| Some(r.arrival.pipeline) == key),
                    )
                })
                .collect(),
            cost: target_seconds
                .into_iter()
                .map(|(service, seconds)| (service, seconds / in_time.max(1) as f64))
                .collect(),
            p50_ms: quantile(0.5),
            p95_ms: quantile(0.95),
            p99_ms: quantile(0.99),
            misses: misses(&firsts, attained),
            around_faults: scenario
                .faults
                .iter()
                .map(|fault| {
                    let (start, end) = (fault.at_ms, fault.at_ms + fault.for_ms);
                    let at = |r: &CallRecord| r.arrival.at.as_millis() as u64;
                    let shares = [
                        share(&|r| at(r) < start),
                        share(&|r| (start..end).contains(&at(r))),
                        share(&|r| at(r) >= end),
                    ];
                    (fault.name.clone(), shares)
                })
                .collect(),
            store_calls_per_second,
            applies,
            promises,
        }
    }

    /// Target-seconds of all services per request answered in time.
    pub fn total_cost(&self) -> f64 {
        self.cost.values().sum()
    }
}

fn deadline(deployment: &Deployment, record: &CallRecord) -> Duration {
    let pipeline = deployment.pipeline(record.arrival.pipeline);
    Duration::from_millis(u64::from(pipeline.deadline_ms))
}

/// Share of good items; 1 if there are none.
fn ratio(good: usize, all: usize) -> f64 {
    if all == 0 {
        1.0
    } else {
        good as f64 / all as f64
    }
}

fn latencies(records: &[&CallRecord]) -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are constants");
    for record in records {
        histogram.saturating_record(record.latency.as_micros() as u64);
    }
    histogram
}

fn misses(
    records: &[&CallRecord],
    attained: impl Fn(&CallRecord) -> bool,
) -> BTreeMap<String, usize> {
    let mut misses = BTreeMap::new();
    for record in records.iter().filter(|record| !attained(record)) {
        let name = match (&record.answer, record.kind()) {
            (None, _) => "no answer",
            (Some(_), None) => "whole but late",
            (Some(_), Some(kind)) => kind.answer().name,
        };
        *misses.entry(name.to_string()).or_default() += 1;
    }
    misses
}

/// Runs of one policy with several seeds.
#[derive(Debug, Clone, Serialize)]
pub struct PolicyReport {
    pub policy: String,
    pub runs: Vec<RunReport>,
}

/// Minimum, median and maximum of a figure over several runs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    pub low: f64,
    pub median: f64,
    pub high: f64,
}

/// Computes the spread of figures; NaN if there are none.
pub fn spread(figures: impl Iterator<Item = f64>) -> Spread {
    let mut sorted: Vec<f64> = figures.collect();
    sorted.sort_by(f64::total_cmp);
    let at = |index: usize| sorted.get(index).copied().unwrap_or(f64::NAN);
    Spread {
        low: at(0),
        median: at(sorted.len() / 2),
        high: at(sorted.len().saturating_sub(1)),
    }
}

impl PolicyReport {
    pub fn spread_of(&self, figure: impl Fn(&RunReport) -> f64) -> Spread {
        spread(self.runs.iter().map(figure))
    }

    /// Sums of the promise counts of all runs.
    pub fn promises(&self) -> Promises {
        let mut all = Promises::default();
        self.runs.iter().for_each(|run| all.add(&run.promises));
        all
    }
}

/// Formats a table with one line per policy.
pub fn table(reports: &[PolicyReport]) -> String {
    let mut text = format!(
        "{:<34} {:>9} {:>17} {:>9} {:>8} {:>8} {:>8} {:>7}\n",
        "policy", "attained", "(low..high)", "cost s", "p50 ms", "p95 ms", "p99 ms", "broken"
    );
    for report in reports {
        let attained = report.spread_of(|run| run.attainment);
        text += &format!(
            "{:<34} {:>8.2}% {:>7.2}..{:>6.2}% {:>9.4} {:>8.0} {:>8.0} {:>8.0} {:>7}\n",
            report.policy,
            100.0 * attained.median,
            100.0 * attained.low,
            100.0 * attained.high,
            report.spread_of(RunReport::total_cost).median,
            report.spread_of(|run| run.p50_ms).median,
            report.spread_of(|run| run.p95_ms).median,
            report.spread_of(|run| run.p99_ms).median,
            report.promises().broken(),
        );
    }
    text
}

/// Formats the details of a policy: organisations, costs, misses, faults, promises.
pub fn details(report: &PolicyReport) -> String {
    let mut text = format!("{}:\n", report.policy);
    let Some(first) = report.runs.first() else {
        return text;
    };
    for org in first.by_organisation.keys() {
        let share = report.spread_of(|run| run.by_organisation[org]).median;
        text += &format!("  attained by {org:<24} {:>7.2}%\n", 100.0 * share);
    }
    for pipeline in first.by_pipeline.keys() {
        let share = report.spread_of(|run| run.by_pipeline[pipeline]).median;
        text += &format!("  attained in {pipeline:<24} {:>7.2}%\n", 100.0 * share);
    }
    for service in first.cost.keys() {
        let cost = report.spread_of(|run| run.cost[service]).median;
        text += &format!("  cost of {service:<28} {cost:>8.4} target-seconds\n");
    }
    for run in &report.runs {
        text += &format!("  misses: {:?}\n", run.misses);
    }
    for fault in first.around_faults.keys() {
        let [before, during, after] = [0, 1, 2].map(|phase| {
            100.0
                * report
                    .spread_of(|run| run.around_faults[fault][phase])
                    .median
        });
        text += &format!(
            "  around {fault:<20} before {before:>6.2}% during {during:>6.2}% after {after:>6.2}%\n"
        );
    }
    for (name, promise) in report.promises().0 {
        text += &format!(
            "  {name:<46} {} broken of {} checks\n",
            promise.broken, promise.checks
        );
    }
    let applies = report
        .runs
        .iter()
        .fold(ApplyCounts::default(), |sum, run| sum.plus(run.applies));
    if applies.sent > 0 {
        text += &format!(
            "  applies: {} sent, {} accepted, {} conflicts, {} without an answer from the store\n",
            applies.sent, applies.accepted, applies.conflicts, applies.unanswered
        );
    }
    let calls = report.spread_of(|run| run.store_calls_per_second).median;
    text += &format!("  store calls per second: {calls:.2}\n");
    text
}
