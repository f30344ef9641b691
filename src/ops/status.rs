//! Prints an entry's view of itself, the other entries and the targets.

use std::time::Duration;

use hollowsail_entry::control::StatusReport;

use crate::ops::operator::Operator;
use crate::{Context, Exit};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Requests one entry's report and prints it.
pub async fn run(cx: &mut Context<'_>, operator: &Operator, json: bool) -> Exit {
    let report: StatusReport = match operator.get("/v1/status", RESPONSE_TIMEOUT).await {
        Ok(report) => report,
        Err(err) => {
            cx.print_error(format_args!("error: {err}"));
            return Exit::CannotRun;
        }
    };
    if json {
        if let Err(err) = cx.print_json(&report) {
            cx.print_error(format_args!("error: {err}"));
        }
    } else {
        print(cx, &report);
    }
    Exit::Success
}

/// Prints a report in human-readable form.
pub fn print(cx: &mut Context<'_>, report: &StatusReport) {
    let apply_id = report.apply_id.as_deref().unwrap_or("none");
    cx.print(format_args!(
        "{}: revision {} (apply {apply_id}) in force for {}, {}",
        report.entry,
        report.revision,
        format_age(report.revision_age_ms),
        report.standing
    ));
    match report.store_age_ms {
        Some(ms) => cx.print(format_args!("store answered {ms} ms ago")),
        None => cx.print("store has not been queried by this entry, or has not answered"),
    }
    cx.print(format_args!(
        "ledger: {} open, {} records",
        report.ledger_open, report.ledger_records
    ));
    cx.print("entries:");
    for member in &report.members {
        cx.print(format_args!(
            "  {:<12} hall {:<10} revision {:<6} {}, stopping: {}, last update {} ago",
            member.name,
            member.hall,
            member.revision,
            member.health,
            member.stopping,
            format_age(member.heard_ms_ago)
        ));
    }
    cx.print("targets:");
    for target in &report.targets {
        cx.print(format_args!(
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

/// Formats milliseconds, in seconds from 10 s on.
fn format_age(ms: Option<u64>) -> String {
    match ms {
        None => "an unknown time".to_string(),
        Some(ms) if ms < 10_000 => format!("{ms} ms"),
        Some(ms) => format!("{} s", ms / 1000),
    }
}
