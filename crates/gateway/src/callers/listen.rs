//! The callers' listener.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};

use super::connection;
use crate::traffic::Traffic;

/// Pause after an accept failed, as it does when descriptors run out.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Connections that wait to be accepted; a dropped opening packet is sent again
/// only after seconds.
const BACKLOG: u32 = 1_024;
/// Part of the descriptors that callers may use; the rest is for targets,
/// peers and the store.
const CALLERS_SHARE: f64 = 0.6;

/// Listens at an address, also right after another process did.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Listens for callers until the planned stop closes the listener.
pub fn start(
    cx: &Rc<Traffic>,
    addr: SocketAddr,
) -> std::io::Result<actix_rt::task::JoinHandle<()>> {
    let listener = bind(addr)?;
    Ok(actix_rt::spawn(accept(cx.clone(), listener)))
}

async fn accept(cx: Rc<Traffic>, listener: TcpListener) {
    let most = (cx.settings.limits.descriptors as f64 * CALLERS_SHARE) as usize;
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
