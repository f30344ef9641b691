//! Listens for callers, and helpers for the other listeners.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::connection;
use crate::traffic::Traffic;

/// Pause after a failed accept, for example when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Interval between checks whether a full host has room again.
const ADMISSION_INTERVAL: Duration = Duration::from_millis(10);
/// Length of the accept queue. A dropped SYN is sent again only after a second or more.
const BACKLOG: u32 = 1_024;
/// Share of the descriptors that callers may use; the rest is left for targets, peers and the
/// store.
const CALLERS_SHARE: f64 = 0.6;

/// Listens at an address, also when an earlier process has just closed it.
pub fn bind(addr: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)?.into_std()
}

/// Accepts callers until the returned task is aborted.
pub fn start(cx: &Rc<Traffic>, listener: TcpListener) -> actix_rt::task::JoinHandle<()> {
    actix_rt::spawn(accept(cx.clone(), listener))
}

async fn accept(cx: Rc<Traffic>, mut listener: TcpListener) {
    let max_connections = (cx.settings().limits.descriptors as f64 * CALLERS_SHARE) as usize;
    loop {
        if !cx.admission.is_open(&cx) {
            listener = pause_listening(&cx, listener).await;
        }
        if cx.connections.get() >= max_connections {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                cx.load.record_accepted();
                cx.admission.record_accepted(&cx);
                connection::spawn(&cx, stream);
            }
            Err(err) => {
                log::warn!("cannot accept a connection: {err}; retrying");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Refuses connections until the host has room again. What waits in the accept queue is reset.
async fn pause_listening(cx: &Rc<Traffic>, listener: TcpListener) -> TcpListener {
    let addr = listener
        .local_addr()
        .unwrap_or(cx.settings().listen.callers);
    drop(listener);
    while !cx.admission.is_open(cx) {
        tokio::time::sleep(ADMISSION_INTERVAL).await;
    }
    loop {
        match bind(addr).and_then(TcpListener::from_std) {
            Ok(listener) => return listener,
            Err(err) => {
                log::warn!("cannot listen at {addr} again: {err}; retrying");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Passes each accepted connection to `handle` until the thread ends, and retries failed accepts
/// after a pause. `label` names the remote side in log messages.
pub async fn accept_each(listener: TcpListener, label: &str, mut handle: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => handle(stream),
            Err(err) => {
                log::warn!("cannot accept {label}: {err}; retrying");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
