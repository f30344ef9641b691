//! Queries peers for new state while the store doesn't answer this entry, or a list can't be
//! completed.
//!
//! The store may refuse some hosts and serve others, and a process may start during an
//! outage. Two random peers are queried at a time; the highest version and the newest
//! records win, regardless of the peer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_connect::{Dialer, Pool};
use hollowsail_fleet::Position;
use hollowsail_platform::targets::Incarnation;
use rand::seq::IndexedRandom;

use super::Control;
use crate::feed::KeyGroup;
use crate::peer_call::{self, QueryError};
use crate::peers::{
    DrainingRequest, StateRequest, StateResponse, TargetList, TargetListRequest, DRAINING_PATH,
    STATE_PATH, TARGETS_PATH,
};

/// Interval between rounds: a configuration must be in force within seconds at a host that
/// the store refuses.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of one query.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Peers queried in a round: one of them may be cut off from the store as well.
const PEERS_PER_ROUND: usize = 2;

/// Queries peers whenever the store is unreachable or a list incomplete, until the thread ends.
pub async fn follow(cx: Rc<Control>) {
    loop {
        tokio::select! {
            () = cx.store_link.until_unreachable() => {}
            () = cx.incomplete_lists.until_any() => {}
        }
        let needed = KeyGroup::ALL.map(|keys| cx.needs_from_peers(keys));
        let needs = |keys: KeyGroup| needed[keys.position()];
        for addr in choose_peers(&cx) {
            let records = match needs(KeyGroup::Targets) {
                true => update_targets(&cx, addr).await,
                false => None,
            };
            match query_peer(&cx, addr, records).await {
                Ok(answer) => cx.apply_state(answer, needs),
                Err(err) => log::debug!("peer {addr} returned no state: {err}"),
            }
            if needs(KeyGroup::Targets) {
                match query_draining(addr).await {
                    Ok(draining) => cx.merge_draining(&draining),
                    Err(err) => log::debug!("peer {addr} returned no draining targets: {err}"),
                }
            }
        }
        tokio::time::sleep(QUERY_INTERVAL).await;
    }
}

/// Updates the targets from a peer. Returns the position after which one of an older build is to send
/// records with its state.
async fn update_targets(cx: &Rc<Control>, addr: SocketAddr) -> Option<Position> {
    match query_targets(cx, addr).await {
        Ok(list) => {
            list.into_iter().for_each(|list| cx.adopt_list(list));
            None
        }
        Err(err) if err.is_unsupported() => Some(cx.records_at.get()),
        Err(err) => {
            log::debug!("peer {addr} returned no list of targets: {err}");
            None
        }
    }
}

/// Chooses random peers, or of the seeds and those that talk to this entry if no peer is known.
pub(super) fn choose_peers(cx: &Control) -> Vec<SocketAddr> {
    let peers = cx.peers.borrow();
    let known = peers.usable().filter(|peer| peer.id != cx.me.id);
    let mut addrs: Vec<SocketAddr> = known.map(|peer| peer.addr).collect();
    if addrs.is_empty() {
        addrs.clone_from(&cx.seeds);
        addrs.extend(cx.heard_peers.addrs());
    }
    addrs.retain(|addr| *addr != cx.me.addr);
    addrs
        .choose_multiple(&mut rand::rng(), PEERS_PER_ROUND)
        .copied()
        .collect()
}

pub(super) fn pool_of(addr: SocketAddr) -> Rc<Pool> {
    peer_call::single_use_pool(addr, Dialer::direct(addr), ANSWER_TIMEOUT)
}

pub(super) async fn query_draining(addr: SocketAddr) -> Result<Vec<Incarnation>, QueryError> {
    let request = DrainingRequest {};
    peer_call::query(&pool_of(addr), DRAINING_PATH, &request, ANSWER_TIMEOUT).await
}

async fn query_targets(cx: &Control, addr: SocketAddr) -> Result<Option<TargetList>, QueryError> {
    let request = TargetListRequest {
        after: cx.records_at.get(),
        must_follow: false,
    };
    peer_call::query(&pool_of(addr), TARGETS_PATH, &request, ANSWER_TIMEOUT).await
}

/// Queries the rest of a peer's state; target records after `records` only from an older build, which
/// sends them with it.
async fn query_peer(
    cx: &Control,
    addr: SocketAddr,
    records: Option<Position>,
) -> Result<StateResponse, QueryError> {
    let request = StateRequest {
        configuration: cx.configuration_version(),
        records: records.unwrap_or(Position::new(u64::MAX, u64::MAX)),
        evacuated: cx.evacuated.borrow().as_of(),
    };
    peer_call::query(&pool_of(addr), STATE_PATH, &request, ANSWER_TIMEOUT).await
}

impl Control {
    /// True if the store can't be asked for a list, or doesn't send all of it.
    fn needs_from_peers(&self, keys: KeyGroup) -> bool {
        !self.store_link.is_reachable() || self.incomplete_lists.contains(keys)
    }

    /// Applies what is needed of the state that a peer returned.
    fn apply_state(self: &Rc<Self>, answer: StateResponse, needs: impl Fn(KeyGroup) -> bool) {
        if needs(KeyGroup::Operators) {
            if let Some(evacuated) = answer.evacuated {
                self.adopt_evacuated(evacuated);
            }
            self.merge_orders(answer.orders);
            if let Some(source) = &answer.configuration {
                self.apply_configuration(source, "peer");
            }
        }
        if needs(KeyGroup::Entries) {
            self.merge_peers(answer.peers);
            self.merge_refused(answer.refused);
        }
        if let Some(records) = answer.records {
            self.adopt_records(records);
        }
    }
}
