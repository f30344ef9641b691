//! Runs the entry daemon until it is told to stop.

use std::path::Path;

use hollowsail_config::Settings;
use hollowsail_entry::{start, StartOptions};
use hollowsail_local::localize::read_file;

use crate::ops::signals;
use crate::{Context, Exit};

/// Reads settings, serves, and on SIGTERM or SIGINT makes a planned stop.
pub async fn run(cx: &mut Context<'_>, settings_path: &Path) -> Exit {
    let source = match read_file(settings_path) {
        Ok(source) => source,
        Err(err) => {
            cx.complain(format_args!("error: {err}"));
            return Exit::Unusable;
        }
    };
    let settings = match Settings::read(&source) {
        Ok(settings) => settings,
        Err(faults) => {
            cx.complain(faults);
            return Exit::Unusable;
        }
    };
    let running = match start(settings, StartOptions::default()).await {
        Ok(running) => running,
        Err(err) => {
            cx.complain(format_args!("error: {err}"));
            return Exit::Unusable;
        }
    };
    cx.say(format_args!(
        "callers={} peers={} operators={}",
        running.callers, running.peers, running.operators
    ));
    let _ = cx.out.flush();
    signals::wait_for_stop().await;
    running.stop().await;
    Exit::Success
}
