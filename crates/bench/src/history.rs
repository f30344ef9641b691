//! Checks the answers of callers against the executions of targets.
//!
//! Each check belongs to a named promise; [`check`] counts checks and violations per promise.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hollowsail_config::Deployment;
use hollowsail_entry::context::Entry;
use hollowsail_entry::AnswerBody;
use hollowsail_routing::{Outcome, StageStatus};
use hollowsail_standins::{output, Execution};
use serde::Serialize;
use serde_json::Value;

use crate::load::CallRecord;

/// Counts of a promise: how often it was checked and how often it was broken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Promise {
    pub checks: usize,
    pub broken: usize,
}

impl Promise {
    fn check(&mut self, holds: bool) {
        self.checks += 1;
        self.broken += usize::from(!holds);
    }

    fn add(&mut self, other: Promise) {
        self.checks += other.checks;
        self.broken += other.broken;
    }
}

/// Counts of all promises, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Promises(pub BTreeMap<&'static str, Promise>);

impl Promises {
    fn check(&mut self, name: &'static str, holds: bool) {
        self.0.entry(name).or_default().check(holds);
    }

    /// Total number of violations.
    pub fn broken(&self) -> usize {
        self.0.values().map(|promise| promise.broken).sum()
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Promises) {
        for (name, promise) in &other.0 {
            self.0.entry(name).or_default().add(*promise);
        }
    }
}

/// Checks callers' records, targets' executions and the revisions seen by each entry.
pub fn check(
    deployment: &Deployment,
    records: &[CallRecord],
    executions: &[Execution],
    revisions: &[Vec<u64>],
) -> Promises {
    let mut promises = Promises::default();
    let by_request = group(executions);
    for record in records {
        let executed = by_request
            .get(record.arrival.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        if let Some(answer) = &record.answer {
            check_answer(&mut promises, deployment, record, answer, executed);
        }
        if !record.second {
            check_once(&mut promises, deployment, record, executed);
        }
    }
    check_halls(&mut promises, deployment, executions);
    check_same_answer(&mut promises, deployment, records);
    for pair in revisions.iter().flat_map(|seen| seen.windows(2)) {
        promises.check("no configuration goes back", pair[0] <= pair[1]);
    }
    promises
}

fn group(executions: &[Execution]) -> HashMap<&str, Vec<&Execution>> {
    let mut groups: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for execution in executions {
        groups
            .entry(execution.request())
            .or_default()
            .push(execution);
    }
    groups
}

fn check_answer(
    promises: &mut Promises,
    deployment: &Deployment,
    record: &CallRecord,
    answer: &AnswerBody,
    executed: &[&Execution],
) {
    let own = answer.request == record.arrival.id;
    promises.check("an answer is its request's own", own);
    match answer.outcome {
        Outcome::Whole => {
            let expected = expected_output(deployment, record);
            let same = expected.is_some() && answer.output == expected;
            promises.check("a whole answer is the targets' own", same);
        }
        Outcome::NotRun => {
            promises.check("what is not run was not executed", executed.is_empty());
        }
        Outcome::Unknown => {}
    }
    for stage in &answer.stages {
        let was_executed = executed.iter().any(|e| e.stage() == stage.stage);
        match stage.status {
            StageStatus::NotRun => {
                promises.check("a stage not run was not executed", !was_executed);
            }
            StageStatus::Ran => promises.check("a stage that ran was executed", was_executed),
            StageStatus::Unknown => {}
        }
    }
}

fn check_once(
    promises: &mut Promises,
    deployment: &Deployment,
    record: &CallRecord,
    executed: &[&Execution],
) {
    let pipeline = deployment.pipeline(record.arrival.pipeline);
    for stage in pipeline.stages.iter().filter(|stage| !stage.repeatable) {
        let runs = executed.iter().filter(|e| e.stage() == stage.name).count();
        promises.check("what may not be repeated runs at most once", runs <= 1);
    }
}

fn check_halls(promises: &mut Promises, deployment: &Deployment, executions: &[Execution]) {
    for execution in executions {
        let org = deployment.find_organisation(&execution.org);
        let permitted = org.is_some_and(|org| deployment.permits_named(org, &execution.hall));
        promises.check("data stays in permitted halls", permitted);
    }
}

/// Checks that two sends under one ticket never get different whole answers.
fn check_same_answer(promises: &mut Promises, deployment: &Deployment, records: &[CallRecord]) {
    let mut first: HashMap<&str, &Value> = HashMap::new();
    let once = records
        .iter()
        .filter(|record| deployment.pipeline(record.arrival.pipeline).runs_once());
    for record in once {
        let Some(output) = record.answer.as_ref().and_then(|a| a.output.as_ref()) else {
            continue;
        };
        let before = first.entry(&record.arrival.id).or_insert(output);
        promises.check("one ticket has one answer", *before == output);
    }
}

/// Output of the stand-ins for a request, computed without an entry.
fn expected_output(deployment: &Deployment, record: &CallRecord) -> Option<Value> {
    let org = deployment.find_organisation(&record.arrival.org)?;
    let pipeline = record.arrival.pipeline;
    let input = record.input.clone();
    Some(output::pipeline_output(deployment, org, pipeline, input))
}

/// Samples the configuration revision of each entry during a run.
#[derive(Clone, Default)]
pub struct RevisionSampler {
    watched: Arc<Mutex<Vec<Watched>>>,
}

struct Watched {
    entry: Arc<Entry>,
    seen: Vec<u64>,
}

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

impl RevisionSampler {
    /// Starts sampling an entry; sampling continues after it has stopped.
    pub fn watch(&self, entry: &Arc<Entry>) {
        let mut watched = self.watched.lock().expect("no panic while held");
        watched.push(Watched {
            entry: entry.clone(),
            seen: Vec::new(),
        });
    }

    /// Samples until the future is dropped.
    pub async fn run(&self) {
        loop {
            for one in self.watched.lock().expect("no panic while held").iter_mut() {
                one.seen.push(one.entry.view().revision());
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }

    /// Sampled revisions of each entry, in order of time.
    pub fn revisions(&self) -> Vec<Vec<u64>> {
        let watched = self.watched.lock().expect("no panic while held");
        watched.iter().map(|one| one.seen.clone()).collect()
    }
}
