//! Peers that sent messages to this process while it had no list of them.
//!
//! A process that starts while the store doesn't answer knows nobody to ask for its state, but peers
//! that knew an earlier process of its host talk to it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Maximum number of addresses that are kept; the latest ones are.
const MAX_HEARD: usize = 8;

/// Addresses that the traffic thread records, and the control thread asks.
#[derive(Debug, Default)]
pub struct HeardPeers(Mutex<VecDeque<SocketAddr>>);

impl HeardPeers {
    pub fn record(&self, addr: SocketAddr) {
        let mut heard = self.lock();
        if heard.contains(&addr) {
            return;
        }
        if heard.len() == MAX_HEARD {
            heard.pop_front();
        }
        heard.push_back(addr);
    }

    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.lock().iter().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<SocketAddr>> {
        // No change is left half done.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
