//! Runs the daemon for the users' platform until it is told to stop.

use hollowsail_gateway::{start, Mechanisms};
use hollowsail_platform::settings::Settings;

use crate::ops::signals::{Signals, Told};
use crate::{Context, Exit};

/// Reads settings, serves, and on SIGTERM or SIGINT makes a planned stop;
/// on SIGHUP reads the settings again.
pub async fn run(cx: &mut Context<'_>, without: &[String]) -> Exit {
    let mechanisms = match Mechanisms::without(without) {
        Ok(mechanisms) => mechanisms,
        Err(err) => {
            cx.complain(format_args!("error: {err}"));
            return Exit::Unusable;
        }
    };
    let settings = match Settings::from_environment() {
        Ok(settings) => settings,
        Err(err) => {
            cx.complain(format_args!("error: {err}"));
            return Exit::Unusable;
        }
    };
    let mut signals = match Signals::take() {
        Ok(signals) => signals,
        Err(err) => {
            cx.complain(format_args!("error: cannot take signals: {err}"));
            return Exit::Unusable;
        }
    };
    let running = match start(settings, mechanisms).await {
        Ok(running) => running,
        Err(err) => {
            cx.complain(format_args!("error: {err}"));
            return Exit::Unusable;
        }
    };
    while signals.next().await == Told::Reload {
        match Settings::from_environment() {
            Ok(settings) => running.reload(settings),
            Err(err) => cx.complain(format_args!("error: {err}; the settings before stay")),
        }
    }
    running.stop().await;
    Exit::Success
}
