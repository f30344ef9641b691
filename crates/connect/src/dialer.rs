//! How the connections of a pool are opened.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{FutureExt, LocalBoxFuture};

use crate::dial::{dial, DialError};
use crate::transport::Transport;

/// Result of a dial.
pub type Dialled = Result<Transport, DialError>;

/// Opens the connections of a pool.
pub struct Dialer {
    /// Opens a connection within a time.
    pub dial: Box<dyn Fn(Duration) -> LocalBoxFuture<'static, Dialled>>,
}

impl Dialer {
    /// Connects to an address.
    pub fn direct(addr: SocketAddr) -> Self {
        Dialer {
            dial: Box::new(move |timeout| {
                async move { dial(addr, timeout).await.map(Transport::new) }.boxed_local()
            }),
        }
    }
}
