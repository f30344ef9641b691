//! Opening a TCP connection within a time.

use std::net::SocketAddr;
use std::time::Duration;

use snafu::Snafu;
use socket2::SockRef;
use tokio::net::TcpStream;

/// Bytes that a peer leaves unacknowledged for this long break a connection: a
/// peer without power, or behind a cut, never resets it. Milliseconds; long
/// enough for two retransmissions on a link that loses packets.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// Why no connection came up; nothing was sent.
#[derive(Debug, Snafu)]
pub enum DialError {
    /// The peer refused or the network failed.
    #[snafu(display("cannot connect to {addr}: {source}; check that it runs"))]
    Refused {
        addr: SocketAddr,
        source: std::io::Error,
    },
    /// No answer within the time.
    #[snafu(display("no connection to {addr} within {} ms; check its network", within.as_millis()))]
    Silent { addr: SocketAddr, within: Duration },
}

/// Connects to `addr` within a time.
pub async fn dial(addr: SocketAddr, within: Duration) -> Result<TcpStream, DialError> {
    let stream = match tokio::time::timeout(within, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(source)) => return Err(DialError::Refused { addr, source }),
        Err(_) => return Err(DialError::Silent { addr, within }),
    };
    let options = SockRef::from(&stream);
    options
        .set_tcp_nodelay(true)
        .and_then(|()| options.set_tcp_user_timeout(Some(UNACKNOWLEDGED)))
        .map_err(|source| DialError::Refused { addr, source })?;
    Ok(stream)
}
