//! A deployment on loopback: entries and stand-ins in one process.

use std::path::PathBuf;

use hollowsail_config::Deployment;
use hollowsail_local::caller::Request;
use hollowsail_local::{read_directory, Caller, LocalFleet, LocalOptions, Once, OPERATOR_KEY};
use hollowsail_routing::Outcome;
use serde_json::json;

use crate::ops::call;
use crate::{Context, Exit};

/// What to run.
pub struct Local {
    /// Directories of operators' files, one per deployment.
    pub deployments: Vec<PathBuf>,
    pub entries: usize,
    /// One request per pipeline, then end.
    pub once: bool,
}

/// Starts each deployment; with `once`, calls every pipeline and stops.
pub async fn run(cx: &mut Context<'_>, local: &Local) -> Exit {
    let mut exit = Exit::Success;
    for directory in &local.deployments {
        let options = LocalOptions {
            entries: local.entries,
            ..LocalOptions::default()
        };
        let files = match read_directory(directory) {
            Ok(files) => files,
            Err(err) => {
                cx.complain(format_args!("error: {err}"));
                return Exit::Unusable;
            }
        };
        let fleet = match LocalFleet::start(&files, options).await {
            Ok(fleet) => fleet,
            Err(err) => {
                cx.complain(format_args!("error: {err}"));
                return Exit::Unusable;
            }
        };
        if local.once {
            if !call_every_pipeline(cx, &fleet).await {
                exit = Exit::Failure;
            }
        } else {
            explain(cx, &fleet);
            let _ = cx.out.flush();
            let _ = tokio::signal::ctrl_c().await;
        }
        fleet.shut_down().await;
    }
    exit
}

async fn call_every_pipeline(cx: &mut Context<'_>, fleet: &LocalFleet) -> bool {
    cx.say(format_args!("== {} ==", fleet.deployment.name));
    let caller = Caller::default();
    let callers = fleet.callers();
    let mut all_whole = true;
    for (at, pipeline) in fleet.deployment.pipelines.iter().enumerate() {
        let entry = callers[at % callers.len()];
        let key = demo_key(&fleet.deployment, at);
        let input = json!(format!("a first request to {}", pipeline.name));
        let mut request = Request::new(&pipeline.name, &key, input);
        if pipeline.runs_once() {
            let tickets = caller.tickets(entry, &key, 1).await;
            request.once = match tickets.ok().and_then(|mut tickets| tickets.pop()) {
                Some(ticket) => Once::Ticket(ticket),
                None => Once::No,
            };
        }
        match caller.call(entry, &request).await {
            Ok(answered) => {
                call::print(cx, &pipeline.name, &answered.body);
                all_whole &= answered.body.outcome == Outcome::Whole;
            }
            Err(err) => {
                cx.complain(format_args!("{}: {err}", pipeline.name));
                all_whole = false;
            }
        }
    }
    all_whole
}

/// Key of an organisation that may call the pipeline at `at`.
fn demo_key(deployment: &Deployment, at: usize) -> String {
    deployment
        .organisations
        .iter()
        .find(|org| org.pipelines.is_empty() || org.pipelines.iter().any(|key| key.index() == at))
        .map(|org| format!("demo-{}", org.name))
        .unwrap_or_default()
}

fn explain(cx: &mut Context<'_>, fleet: &LocalFleet) {
    let deployment = &fleet.deployment;
    cx.say(format_args!(
        "{} runs on loopback; Ctrl-C ends it",
        deployment.name
    ));
    for entry in fleet.running() {
        cx.say(format_args!(
            "{} in {}: callers {} operators {}",
            entry.entry.settings.name, entry.entry.settings.hall, entry.callers, entry.operators
        ));
    }
    let entry = fleet.entry(0);
    cx.say("try:");
    for (at, pipeline) in deployment.pipelines.iter().enumerate() {
        let once = if pipeline.runs_once() { " --once" } else { "" };
        cx.say(format_args!(
            "  hollowsail call {} --entry {} --key {}{once} --input hello",
            pipeline.name,
            entry.callers,
            demo_key(deployment, at)
        ));
    }
    cx.say(format_args!(
        "  hollowsail status --operators {} --key {OPERATOR_KEY}",
        entry.operators
    ));
}
