//! The signals that a daemon heeds.

use tokio::signal::unix::{signal, SignalKind};

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop() {
    let (Ok(mut terminate), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        // Without signals only a kill ends the process.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
