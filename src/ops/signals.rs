//! The signals that a daemon heeds.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// What a daemon is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// SIGTERM or SIGINT: make a planned stop.
    Stop,
    /// SIGHUP: read the settings again.
    Reload,
}

/// The signals of one process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Takes the signals over from their default, which ends the process.
    pub fn take() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next one.
    pub async fn next(&mut self) -> Told {
        tokio::select! {
            _ = self.terminate.recv() => Told::Stop,
            _ = self.interrupt.recv() => Told::Stop,
            _ = self.hang_up.recv() => Told::Reload,
        }
    }
}

/// Waits for SIGTERM or SIGINT; heeds nothing else.
pub async fn wait_for_stop() {
    let Ok(mut signals) = Signals::take() else {
        // Without signals only a kill ends the process.
        return std::future::pending().await;
    };
    while signals.next().await != Told::Stop {}
}
