//! Measures what this host carries for its callers, once a second.
//!
//! Bytes are counted on the connections of the traffic thread, by the other end: callers, targets
//! and peers. Connections that are relayed for peers and those to the store aren't included.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hollowsail_connect::ByteCounts;
use hollowsail_observe::events;
use hollowsail_routing::Carried;

use crate::metrics;
use crate::traffic::Traffic;

/// Interval between measurements.
const MEASURE_INTERVAL: Duration = Duration::from_secs(1);

/// Running totals of this host's load.
#[derive(Debug, Default)]
pub struct HostLoad {
    pub callers: Arc<ByteCounts>,
    pub targets: Arc<ByteCounts>,
    pub peers: Arc<ByteCounts>,
    accepted: Cell<u64>,
    requests: Cell<u64>,
}

impl HostLoad {
    /// Counts a connection of a caller.
    pub fn record_accepted(&self) {
        self.accepted.set(self.accepted.get() + 1);
    }

    /// Counts a request whose head was read.
    pub fn record_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    /// All bytes, and the requests of callers.
    pub fn carried(&self) -> Carried {
        let ends = [&self.callers, &self.targets, &self.peers].into_iter();
        let received = ends.clone().map(|end| end.received()).sum();
        let sent = ends.map(|end| end.sent()).sum();
        Carried {
            bytes: [received, sent],
            requests: self.requests.get(),
        }
    }

    fn totals(&self) -> Totals {
        let ends = [&self.callers, &self.targets, &self.peers];
        Totals {
            accepted: self.accepted.get(),
            requests: self.requests.get(),
            received: ends.map(|end| end.received()),
            sent: ends.map(|end| end.sent()),
        }
    }
}

/// Totals since the start of the process; bytes of callers, targets and peers.
#[derive(Debug, Clone, Copy)]
struct Totals {
    accepted: u64,
    requests: u64,
    received: [u64; 3],
    sent: [u64; 3],
}

/// Measures until the thread ends.
pub async fn watch(cx: Rc<Traffic>) {
    let mut before = cx.load.totals();
    loop {
        tokio::time::sleep(MEASURE_INTERVAL).await;
        let now = cx.load.totals();
        metrics::set_host_bytes(now.received, now.sent);
        metrics::set_kept_bytes(cx.kept.totals());
        if now.accepted > before.accepted || now.requests > before.requests {
            log_load(&cx, &before, &now);
        }
        before = now;
    }
}

/// Logs what was carried between two measurements, in bytes and milliseconds.
fn log_load(cx: &Traffic, before: &Totals, now: &Totals) {
    let between = |now: [u64; 3], before: [u64; 3]| {
        let [callers, targets, peers] = now;
        [callers - before[0], targets - before[1], peers - before[2]]
    };
    let [callers_in, targets_in, peers_in] = between(now.received, before.received);
    let [callers_out, targets_out, peers_out] = between(now.sent, before.sent);
    let fields = format_args!(
        "accepted={} requests={} in_flight={} connections={} lag_ms={:.1} \
         callers_in={callers_in} callers_out={callers_out} targets_in={targets_in} \
         targets_out={targets_out} peers_in={peers_in} peers_out={peers_out}",
        now.accepted - before.accepted,
        now.requests - before.requests,
        cx.in_flight.get(),
        cx.connections.get(),
        cx.lag.get().lag_ms(),
    );
    cx.log.line(events::HOST_LOAD, fields);
}
