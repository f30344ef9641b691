//! The ways from this host to the targets.
//!
//! All connections to targets are opened here ([`dialer_for`]), so that every result counts in
//! [`Reachability`]. [`probe`] asks other targets when connects fail or targets fall silent, and
//! finds out when a cut begins and ends.

mod probe;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use futures_util::future::FutureExt;
use hollowsail_connect::{dial, DialError, Dialer, Dialled, Liveness, Transport};
use hollowsail_observe::events;
use hollowsail_platform::targets::TargetRecord;
use hollowsail_routing::Reachability;
use hollowsail_targets::TargetTable;
use tokio::net::TcpStream;

use crate::metrics;
use crate::traffic::Traffic;

pub use probe::watch;

/// What this host knows of its ways to the targets.
#[derive(Default)]
pub struct Reach {
    state: RefCell<Reachability<SocketAddr>>,
    /// Observes the direct connections to all targets.
    liveness: Rc<Liveness>,
}

/// A table whose targets are connected to as this module says.
pub fn target_table(cx: &Weak<Traffic>) -> TargetTable {
    let cx = cx.clone();
    TargetTable::new(Box::new(move |record| dialer_for(&cx, record)))
}

fn dialer_for(cx: &Weak<Traffic>, record: &TargetRecord) -> Dialer {
    let (cx, addr) = (cx.clone(), record.addr);
    Dialer {
        dial: Box::new(move |timeout| {
            let cx = cx.clone();
            async move { open(&cx, addr, timeout).await }.boxed_local()
        }),
    }
}

/// Opens a connection to a target.
async fn open(cx: &Weak<Traffic>, addr: SocketAddr, timeout: Duration) -> Dialled {
    let Some(cx) = cx.upgrade() else {
        return Err(DialError::TimedOut { addr, timeout });
    };
    let stream = dial_direct(&cx, addr, timeout).await?;
    let observer = cx.reach.liveness.clone();
    Ok(Transport::observed(stream, observer))
}

/// Connects to a target from this host, and counts the result.
async fn dial_direct(
    cx: &Rc<Traffic>,
    addr: SocketAddr,
    timeout: Duration,
) -> Result<TcpStream, DialError> {
    let dialled = dial(addr, timeout).await;
    match &dialled {
        Ok(_) => cx.reach.record_reached(cx, addr),
        Err(_) => cx.reach.record_failed(cx, addr),
    }
    dialled
}

impl Reach {
    fn record_reached(&self, cx: &Traffic, addr: SocketAddr) {
        let cut_off_ms = self.state.borrow_mut().record_reached(cx.clock.now(), addr);
        let Some(cut_off_ms) = cut_off_ms else {
            return;
        };
        metrics::set_cut_off(false);
        let fields = format_args!("target_addr={addr} cut_off_ms={cut_off_ms}");
        cx.log.line(events::TARGETS_REACHABLE, fields);
    }

    fn record_failed(&self, cx: &Traffic, addr: SocketAddr) {
        self.state.borrow_mut().record_failed(cx.clock.now(), addr);
    }
}
