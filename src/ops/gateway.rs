//! Runs the daemon for the users' platform until it is told to stop.

use hollowsail_gateway::start;
use hollowsail_platform::settings::Settings;

use crate::ops::signals;
use crate::{Context, Exit};

/// Reads settings, serves, and on SIGTERM or SIGINT makes a planned stop.
pub async fn run(cx: &mut Context<'_>) -> Exit {
    let settings = match Settings::from_environment() {
        Ok(settings) => settings,
        Err(err) => {
            cx.complain(format_args!("error: {err}"));
            return Exit::Unusable;
        }
    };
    let running = match start(settings).await {
        Ok(running) => running,
        Err(err) => {
            cx.complain(format_args!("error: {err}"));
            return Exit::Unusable;
        }
    };
    signals::wait_for_stop().await;
    running.stop().await;
    Exit::Success
}
