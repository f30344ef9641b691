//! Shows what an entry knows of itself, the others and the targets.

use std::time::Duration;

use hollowsail_entry::control::StatusReport;

use crate::ops::operator::Operator;
use crate::{Context, Exit};

/// Longest wait for a report.
const WAIT: Duration = Duration::from_secs(5);

/// Asks one entry and prints its report.
pub async fn run(cx: &mut Context<'_>, operator: &Operator, json: bool) -> Exit {
    let report: StatusReport = match operator.get("/v1/status", WAIT).await {
        Ok(report) => report,
        Err(err) => {
            cx.complain(format_args!("error: {err}"));
            return Exit::Unusable;
        }
    };
    if json {
        match serde_json::to_string_pretty(&report) {
            Ok(text) => cx.say(text),
            Err(err) => cx.complain(format_args!("error: {err}")),
        }
    } else {
        print(cx, &report);
    }
    Exit::Success
}

/// Writes a report for people.
pub fn print(cx: &mut Context<'_>, report: &StatusReport) {
    let apply_id = report.apply_id.as_deref().unwrap_or("none");
    cx.say(format_args!(
        "{}: revision {} (apply {apply_id}) in force for {}, {}",
        report.entry,
        report.revision,
        age(report.revision_age_ms),
        report.standing
    ));
    match report.store_age_ms {
        Some(ms) => cx.say(format_args!("store answered {ms} ms ago")),
        None => cx.say("store has not been asked by this entry, or has not answered"),
    }
    cx.say(format_args!(
        "ledger: {} open, {} records",
        report.ledger_open, report.ledger_records
    ));
    cx.say("entries:");
    for member in &report.members {
        cx.say(format_args!(
            "  {:<12} hall {:<10} revision {:<6} {}, stopping: {}, heard of {} ago",
            member.name,
            member.hall,
            member.revision,
            member.health,
            member.stopping,
            age(member.heard_ms_ago)
        ));
    }
    cx.say("targets:");
    for target in &report.targets {
        cx.say(format_args!(
            "  {:<14} in flight {:<4} {:>5.1} times its usual time{}{}",
            target.name,
            target.in_flight,
            target.slowness,
            if target.ejected { ", ejected" } else { "" },
            if target.takes_work {
                ""
            } else {
                ", takes no new work"
            }
        ));
    }
}

/// Milliseconds for people.
fn age(ms: Option<u64>) -> String {
    match ms {
        None => "an unknown time".to_string(),
        Some(ms) if ms < 10_000 => format!("{ms} ms"),
        Some(ms) => format!("{} s", ms / 1000),
    }
}
