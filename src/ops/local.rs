//! A deployment on loopback: entries and stand-ins in one process.

use std::path::PathBuf;

use hollowsail_config::Deployment;
use hollowsail_local::caller::Request;
use hollowsail_local::fleet::LocalError;
use hollowsail_local::{read_directory, Caller, LocalFleet, LocalOptions, Once, OPERATOR_KEY};
use hollowsail_routing::Outcome;
use serde_json::json;

use crate::ops::call;
use crate::{Context, Exit};

/// Arguments of `hollowsail local`.
pub struct Local {
    /// Directories of operators' files, one per deployment.
    pub deployments: Vec<PathBuf>,
    pub entries: usize,
    /// Call every pipeline once, then exit.
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
                cx.print_error(format_args!("error: {err}"));
                return Exit::CannotRun;
            }
        };
        let fleet = match LocalFleet::start(&files, options).await {
            Ok(fleet) => fleet,
            Err(LocalError::Check { source }) => {
                cx.print_faults(&source);
                return Exit::CannotRun;
            }
            Err(err) => {
                cx.print_error(format_args!("error: {err}"));
                return Exit::CannotRun;
            }
        };
        if local.once {
            if !call_every_pipeline(cx, &fleet).await {
                exit = Exit::Failure;
            }
        } else {
            print_usage(cx, &fleet);
            let _ = cx.out.flush();
            let _ = tokio::signal::ctrl_c().await;
        }
        fleet.shut_down().await;
    }
    exit
}

async fn call_every_pipeline(cx: &mut Context<'_>, fleet: &LocalFleet) -> bool {
    cx.print(format_args!("== {} ==", fleet.deployment.name));
    let caller = Caller::default();
    let callers = fleet.callers();
    let mut all_whole = true;
    for (index, pipeline) in fleet.deployment.pipelines.iter().enumerate() {
        let entry = callers[index % callers.len()];
        let key = demo_key(&fleet.deployment, index);
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
            Ok(response) => {
                call::print(cx, &pipeline.name, &response.body);
                all_whole &= response.body.outcome == Outcome::Whole;
            }
            Err(err) => {
                cx.print_error(format_args!("{}: {err}", pipeline.name));
                all_whole = false;
            }
        }
    }
    all_whole
}

/// Key of an organisation that may call the pipeline at `index`.
fn demo_key(deployment: &Deployment, index: usize) -> String {
    deployment
        .organisations
        .iter()
        .find(|org| {
            org.pipelines.is_empty() || org.pipelines.iter().any(|key| key.index() == index)
        })
        .map(|org| format!("demo-{}", org.name))
        .unwrap_or_default()
}

fn print_usage(cx: &mut Context<'_>, fleet: &LocalFleet) {
    let deployment = &fleet.deployment;
    cx.print(format_args!(
        "{} runs on loopback; press Ctrl-C to stop",
        deployment.name
    ));
    for entry in fleet.running() {
        cx.print(format_args!(
            "{} in {}: callers {} operators {}",
            entry.entry.settings.name, entry.entry.settings.hall, entry.callers, entry.operators
        ));
    }
    let entry = fleet.entry(0);
    cx.print("try:");
    for (index, pipeline) in deployment.pipelines.iter().enumerate() {
        let once = if pipeline.runs_once() { " --once" } else { "" };
        cx.print(format_args!(
            "  hollowsail call {} --entry {} --key {}{once} --input hello",
            pipeline.name,
            entry.callers,
            demo_key(deployment, index)
        ));
    }
    cx.print(format_args!(
        "  hollowsail status --operators {} --key {OPERATOR_KEY}",
        entry.operators
    ));
}
