//! Opening TCP connections with a timeout.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time without acknowledgement after which a connection fails: a peer that lost power or
/// its network never resets it. Allows for two retransmissions on a lossy link. On Linux it also
/// decides when keep-alive probes give up, whatever their number.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a byte received after which keep-alive probes begin: nothing else shows that a
/// connection on which nothing is sent has fallen silent for good.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);
/// Time between keep-alive probes; the first one may be lost.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection could not be opened; nothing was sent.
#[derive(Debug, Snafu)]
pub enum DialError {
    /// The peer refused it, or the network failed.
    #[snafu(display("cannot connect to {addr}: {source}; check that it runs"))]
    Refused {
        addr: SocketAddr,
        source: std::io::Error,
    },
    /// The peer did not answer within the timeout.
    #[snafu(display("no connection to {addr} within {} ms; check its network", timeout.as_millis()))]
    TimedOut { addr: SocketAddr, timeout: Duration },
    /// No way to the peer works now.
    #[snafu(display(
        "no way to {addr} works, also none through other hosts; check the network of this host"
    ))]
    Unreachable { addr: SocketAddr },
}

impl DialError {
    /// True when the peer accepted the connection and reset it before it could be used.
    pub(crate) fn is_reset(&self) -> bool {
        matches!(self, DialError::Refused { source, .. }
            if source.kind() == std::io::ErrorKind::ConnectionReset)
    }
}

/// Connects to `addr`; fails after `timeout`.
pub async fn dial(addr: SocketAddr, timeout: Duration) -> Result<TcpStream, DialError> {
    let stream = match tokio::time::timeout(timeout, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(source)) => return Err(DialError::Refused { addr, source }),
        Err(_) => return Err(DialError::TimedOut { addr, timeout }),
    };
    set_options(&stream).map_err(|source| DialError::Refused { addr, source })?;
    Ok(stream)
}

/// Has a connection send at once, and fail when its other end is silent for too long.
pub fn set_options(stream: &TcpStream) -> std::io::Result<()> {
    let options = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL);
    options.set_tcp_nodelay(true)?;
    options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    options.set_tcp_keepalive(&keepalive)
}
