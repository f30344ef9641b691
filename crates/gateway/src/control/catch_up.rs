//! Asks peers for what a restored store doesn't tell: targets that drain, or that had left.
//!
//! Entries that ran before a restore remember both; the store has forgotten what came after its copy. A
//! process asks for some time after its start, and after each epoch that begins, since peers may hear
//! of an epoch later than this entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::peer_state::{choose_peers, pool_of, query_draining, ANSWER_TIMEOUT};
use super::Control;
use crate::peer_call::{self, QueryError};
use crate::peers::{RetiredRequest, RetiredTargets, RETIRED_PATH};

/// Interval between rounds. Together they last as long as peers may take to hear of an epoch and to
/// read their lists.
const INTERVAL: Duration = Duration::from_millis(500);
const ROUNDS: u32 = 6;

/// Asks peers after the start and after each new epoch, until the thread ends.
pub async fn follow(cx: Rc<Control>) {
    let mut known = None;
    loop {
        known = Some(cx.store_link.next_epoch(known).await);
        for _ in 0..ROUNDS {
            for addr in choose_peers(&cx) {
                match query_retired(addr).await {
                    Ok(retired) => cx.merge_retired(&retired),
                    Err(err) => log::debug!("peer {addr} returned no targets that left: {err}"),
                }
            }
            tokio::time::sleep(INTERVAL).await;
        }
    }
}

async fn query_retired(addr: SocketAddr) -> Result<RetiredTargets, QueryError> {
    let request = RetiredRequest {};
    match peer_call::query(&pool_of(addr), RETIRED_PATH, &request, ANSWER_TIMEOUT).await {
        Err(err) if err.is_unsupported() => Ok(RetiredTargets {
            draining: query_draining(addr).await?,
            restored: Vec::new(),
        }),
        answer => answer,
    }
}

impl Control {
    fn merge_retired(self: &Rc<Self>, retired: &RetiredTargets) {
        self.merge_draining(&retired.draining);
        self.merge_restored(&retired.restored);
    }
}
