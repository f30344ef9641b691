//! The callers' listener.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::connection;
use crate::traffic::Traffic;

/// Pause after an accept failed, as it does when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that wait to be accepted; a dropped opening packet is sent again
/// only after seconds.
const BACKLOG: u32 = 1_024;
/// Part of the descriptors that callers may use; the rest is for targets,
/// peers and the store.
const CALLERS_SHARE: f64 = 0.6;

/// Listens at an address, also right after another process did.
pub fn bind(addr: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)?.into_std()
}

/// Accepts callers until the planned stop ends the task.
pub fn start(cx: &Rc<Traffic>, listener: TcpListener) -> actix_rt::task::JoinHandle<()> {
    actix_rt::spawn(accept(cx.clone(), listener))
}

async fn accept(cx: Rc<Traffic>, listener: TcpListener) {
    let most = (cx.settings().limits.descriptors as f64 * CALLERS_SHARE) as usize;
    loop {
        if cx.connections.get() >= most {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => connection::spawn(&cx, stream),
            Err(err) => {
                log::warn!("cannot accept a connection: {err}; trying again");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Hands each connection on until the thread ends. A failed accept, as when
/// descriptors run out, is tried again after a pause.
pub async fn accept_each(listener: TcpListener, what: &str, mut take: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take(stream),
            Err(err) => {
                log::warn!("cannot accept {what}: {err}; trying again");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
