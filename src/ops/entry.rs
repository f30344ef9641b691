//! Runs the entry daemon until SIGTERM or SIGINT.

use std::path::Path;

use hollowsail_config::Settings;
use hollowsail_entry::{start, StartOptions};
use hollowsail_local::localize::read_file;

use crate::ops::signals;
use crate::{Context, Exit};

/// Serves with the settings of a file; SIGTERM or SIGINT begins a planned stop.
pub async fn run(cx: &mut Context<'_>, settings_path: &Path) -> Exit {
    let source = match read_file(settings_path) {
        Ok(source) => source,
        Err(err) => {
            cx.print_error(format_args!("error: {err}"));
            return Exit::CannotRun;
        }
    };
    let settings = match Settings::read(&source) {
        Ok(settings) => settings,
        Err(faults) => {
            cx.print_faults(&faults);
            return Exit::CannotRun;
        }
    };
    let running = match start(settings, StartOptions::default()).await {
        Ok(running) => running,
        Err(err) => {
            cx.print_error(format_args!("error: {err}"));
            return Exit::CannotRun;
        }
    };
    cx.print(format_args!(
        "callers={} peers={} operators={}",
        running.callers, running.peers, running.operators
    ));
    let _ = cx.out.flush();
    signals::wait_for_stop().await;
    running.stop().await;
    Exit::Success
}
