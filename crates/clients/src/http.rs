//! Construction of `awc` clients, and how far a failed request got.
//!
//! Redirects are off, because a client that resends would break at-most-once
//! execution. Calls that must not be repeated use a client that never reuses
//! connections, so they cannot fail on a pooled connection that the peer has
//! just closed.

use std::io::ErrorKind;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};

/// Longest time to set up a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle time after which a pooled connection is closed; shorter than the usual
/// server timeout of 5 s, so that this side closes first.
const POOL_IDLE: Duration = Duration::from_millis(2_000);
/// Connections per client; 0 is unlimited, so no call waits for a free one.
const POOL_LIMIT: usize = 0;
/// Upper bound of any exchange; callers set shorter ones per call.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(150);

/// A client that reuses connections, for calls that may be repeated.
pub fn pooled_client() -> Client {
    client(POOL_IDLE)
}

/// A client that opens a connection for every call and closes it afterwards.
pub fn single_use_client() -> Client {
    client(Duration::ZERO)
}

fn client(idle: Duration) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(idle)
        .limit(POOL_LIMIT);
    Client::builder()
        .connector(connector)
        .timeout(EXCHANGE_TIMEOUT)
        .disable_redirects()
        .no_default_headers()
        .finish()
}

/// True if no byte of the request was written to a socket. After any other
/// error the request may have reached the peer.
///
/// `awc` also reports a connection that closed during a request as a connect
/// error, so only connect errors that dialling alone can cause count.
pub fn nothing_sent(err: &SendRequestError) -> bool {
    match err {
        SendRequestError::Url(_) | SendRequestError::Http(_) => true,
        SendRequestError::Connect(err) => failed_to_dial(err),
        _ => false,
    }
}

fn failed_to_dial(err: &ConnectError) -> bool {
    match err {
        ConnectError::Resolver(_)
        | ConnectError::NoRecords
        | ConnectError::Timeout
        | ConnectError::Unresolved => true,
        ConnectError::Io(err) => matches!(
            err.kind(),
            ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}
