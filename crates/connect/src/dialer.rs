//! How the connections of a pool are opened.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::{ready, FutureExt, LocalBoxFuture};
use tokio::net::TcpStream;

use crate::byte_counts::ByteCounts;
use crate::dial::{dial, DialError};
use crate::transport::{Transport, Way};

/// Result of a dial.
pub type Dialled = Result<Transport, DialError>;

/// Whether a process listens at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    Ended,
    /// Neither is shown, for example behind a network cut.
    Unknown,
}

/// Why a direct connection doesn't show that a process listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unreached {
    Refused,
    /// It wasn't answered, or direct connections are known to fail.
    Silent,
}

/// Opens the connections of a pool, and judges them.
pub struct Dialer {
    /// Opens a connection within a time.
    pub dial: Box<dyn Fn(Duration) -> LocalBoxFuture<'static, Dialled>>,
    /// False for a connection that should carry no further request.
    pub may_reuse: Box<dyn Fn(Way) -> bool>,
    /// Whether the peer runs, by what others reach, after a direct connection didn't show it.
    pub confirm_state: Box<dyn Fn(Unreached) -> LocalBoxFuture<'static, ProcessState>>,
}

impl Dialer {
    /// Connects to an address.
    pub fn direct(addr: SocketAddr) -> Self {
        Self::with_transport(addr, Transport::direct)
    }

    /// Connects to an address, and counts the bytes of all connections.
    pub fn counted(addr: SocketAddr, counts: Arc<ByteCounts>) -> Self {
        Self::with_transport(addr, move |stream| {
            Transport::counted(stream, counts.clone())
        })
    }

    fn with_transport(
        addr: SocketAddr,
        transport: impl Fn(TcpStream) -> Transport + Clone + 'static,
    ) -> Self {
        Dialer {
            dial: Box::new(move |timeout| {
                let transport = transport.clone();
                async move { dial(addr, timeout).await.map(transport) }.boxed_local()
            }),
            may_reuse: Box::new(|_| true),
            confirm_state: Box::new(|unreached| {
                let state = match unreached {
                    Unreached::Refused => ProcessState::Ended,
                    Unreached::Silent => ProcessState::Unknown,
                };
                ready(state).boxed_local()
            }),
        }
    }
}
