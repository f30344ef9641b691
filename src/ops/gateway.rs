//! Runs the gateway daemon for the users' platform until SIGTERM or SIGINT.

use hollowsail_gateway::{start, Mechanisms};
use hollowsail_platform::settings::Settings;

use crate::ops::signals::{SignalAction, Signals};
use crate::{Context, Exit};

/// Serves with the settings named by the environment. SIGTERM or SIGINT begins a planned
/// stop; SIGHUP reloads the settings.
pub async fn run(cx: &mut Context<'_>, without: &[String]) -> Exit {
    let mechanisms = match Mechanisms::without(without) {
        Ok(mechanisms) => mechanisms,
        Err(err) => {
            cx.print_error(format_args!("error: {err}"));
            return Exit::CannotRun;
        }
    };
    let settings = match Settings::from_environment() {
        Ok(settings) => settings,
        Err(err) => {
            cx.print_error(format_args!("error: {err}"));
            return Exit::CannotRun;
        }
    };
    let mut signals = match Signals::install() {
        Ok(signals) => signals,
        Err(err) => {
            cx.print_error(format_args!("error: cannot install signal handlers: {err}"));
            return Exit::CannotRun;
        }
    };
    let running = match start(settings, mechanisms).await {
        Ok(running) => running,
        Err(err) => {
            cx.print_error(format_args!("error: {err}"));
            return Exit::CannotRun;
        }
    };
    while signals.next().await == SignalAction::Reload {
        match Settings::from_environment() {
            Ok(settings) => running.reload(settings),
            Err(err) => cx.print_error(format_args!(
                "error: {err}; the previous settings stay in force"
            )),
        }
    }
    running.stop().await;
    Exit::Success
}
