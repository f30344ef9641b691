//! How the connections of a pool are opened.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{ready, FutureExt, LocalBoxFuture};

use crate::dial::{dial, DialError};
use crate::transport::{Transport, Way};

/// Result of a dial.
pub type Dialled = Result<Transport, DialError>;

/// Opens the connections of a pool, and judges them.
pub struct Dialer {
    /// Opens a connection within a time.
    pub dial: Box<dyn Fn(Duration) -> LocalBoxFuture<'static, Dialled>>,
    /// False for a connection that should carry no further request.
    pub may_reuse: Box<dyn Fn(Way) -> bool>,
    /// Whether the peer refuses connections of others, too, after it has refused a direct one.
    pub confirm_refusal: Box<dyn Fn() -> LocalBoxFuture<'static, bool>>,
}

impl Dialer {
    /// Connects to an address.
    pub fn direct(addr: SocketAddr) -> Self {
        Dialer {
            dial: Box::new(move |timeout| {
                async move { dial(addr, timeout).await.map(Transport::direct) }.boxed_local()
            }),
            may_reuse: Box::new(|_| true),
            confirm_refusal: Box::new(|| ready(true).boxed_local()),
        }
    }
}
