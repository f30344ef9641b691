//! Opening TCP connections with a timeout.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;
use socket2::SockRef;
use tokio::net::TcpStream;

/// Time without acknowledgement after which a connection fails: a peer that lost power or
/// its network never resets it. Allows for two retransmissions on a lossy link.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

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
    let options = SockRef::from(&stream);
    options
        .set_tcp_nodelay(true)
        .and_then(|()| options.set_tcp_user_timeout(Some(USER_TIMEOUT)))
        .map_err(|source| DialError::Refused { addr, source })?;
    Ok(stream)
}
