//! The signals that a daemon handles.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Action requested by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalAction {
    /// SIGTERM or SIGINT: make a planned stop.
    Stop,
    /// SIGHUP: reload the settings.
    Reload,
}

/// Installed signal handlers.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Replaces the default handlers, which end the process.
    pub fn install() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hang_up.recv() => SignalAction::Reload,
        }
    }
}

/// Waits for SIGTERM or SIGINT; ignores SIGHUP.
pub async fn wait_for_stop() {
    let Ok(mut signals) = Signals::install() else {
        // Without handlers there is nothing to wait for: the daemon serves until it is killed.
        return std::future::pending().await;
    };
    while signals.next().await != SignalAction::Stop {}
}
