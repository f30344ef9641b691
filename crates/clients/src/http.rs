//! How `awc` clients are built here, and what their errors say about progress.
//!
//! A client that silently sends twice would break "at most once" below every
//! layer that counts, so redirects are off, and calls that may not be repeated
//! use a client whose connections are never reused: a pooled connection that
//! the other end has just closed cannot take such a call down with it.

use std::io::ErrorKind;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::{Client, Connector};

/// Longest time to set up a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle time after which a pooled connection is closed; shorter than the
/// usual server's five seconds, so that we close first.
const POOL_IDLE: Duration = Duration::from_millis(2_000);
/// Connections a pooled client keeps; waiting for a free one is not wanted.
const POOL_LIMIT: usize = 0;
/// Upper bound of any exchange; callers set shorter ones per call.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(150);

/// A client that reuses connections, for calls that may be repeated.
pub fn pooled_client() -> Client {
    client(POOL_IDLE)
}

/// A client that opens a connection for every call and closes it after.
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

/// True when the error shows that no byte of the request was handed to a
/// socket. Everything else may have reached the other end.
///
/// The client reports a connection that closed under a request as a connect
/// error too, so connect errors are listed one by one: what is not known to
/// come from dialling alone does not count.
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
