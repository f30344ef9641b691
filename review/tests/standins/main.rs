//! Stand-ins of the review's cases: store, workers and clients around real gateway processes.

mod extra;
mod fleet;
mod leave;
mod net;
mod store;

use std::process::ExitCode;
use std::sync::atomic::Ordering;

/// Arguments: the case, and the file for the record. Without `TROUBLE`, or with one that isn't 0,
/// the disruption takes place.
fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let is_on = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, path) = match &args[1..] {
        [role, id] if role == "worker" => {
            leave::worker(id);
            return ExitCode::SUCCESS;
        }
        [case, path] => (case.as_str(), path.as_str()),
        _ => {
            eprintln!("usage: review CASE RECORD");
            return ExitCode::from(2);
        }
    };
    let result = match case {
        "refusal" => extra::refusal(is_on),
        "stage" => extra::stage(is_on),
        "leave" => leave::run(is_on),
        _ => Err(format!("unknown case {case}")),
    };
    match result {
        Err(err) => {
            eprintln!("the case couldn't run: {err}");
            ExitCode::from(2)
        }
        Ok((world, broken)) => {
            for line in &broken {
                println!("{line}");
                world.record.line(format!("broken {line}"));
            }
            let (runs, extras) = (
                world.begun.lock().unwrap().len(),
                world.extras.load(Ordering::Relaxed),
            );
            let summary = format!(
                "requests_run={runs} extra_answers={extras} broken={}",
                broken.len()
            );
            println!("{summary}");
            world.record.line(summary);
            world.record.write(path);
            if runs == 0 {
                eprintln!("no request ran");
                return ExitCode::from(2);
            }
            ExitCode::from(u8::from(!broken.is_empty()))
        }
    }
}
