//! Reads a long list of targets from an entry of this hall that has it.
//!
//! Only the hall's store followers read such a list from the store. The larger hosts query
//! the followers, and all other hosts query the larger ones, until one has the list. An
//! entry that finds none in time continues at the store. Positions are the store's
//! everywhere, so an entry can continue from the list's position at any source.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::{ownership, Position};
use hollowsail_observe::events;
use hollowsail_routing::Millis;
use rand::seq::IndexedRandom;

use super::source::candidates;
use super::Control;
use crate::peer_call::{self, QueryError};
use crate::peers::{
    PeerRecord, RecordsRequest, RecordsSnapshot, TargetList, TargetListRequest, RECORDS_PATH,
    TARGETS_PATH,
};

/// Time after the first list of entries from which the store followers count as known, in
/// milliseconds. In a fleet that starts together, the first list holds only the entries
/// that registered earlier.
const FOLLOWERS_KNOWN_MS: Millis = 700;
/// Time to search the hall for the list: several times what a follower takes to read it.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(6_000);
/// Timeout of one query: the response may be a megabyte, on a small host's link.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval between queries while no peer has the list.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

impl Control {
    /// Applies all records from an entry of this hall and returns their position. `None` if
    /// this entry must read them from the store.
    pub(super) async fn records_from_hall(self: &Rc<Self>) -> Option<Position> {
        let search = async {
            loop {
                let peer = self.choose_list_peer()?;
                match self.query_hall_peer(&peer).await {
                    Ok(Some(list)) => return Some(self.apply_hall_records(&peer, list)),
                    Ok(None) => {}
                    Err(err) => log::debug!("{} returned no list of targets: {err}", peer.host),
                }
                tokio::time::sleep(QUERY_INTERVAL).await;
            }
        };
        let found = tokio::time::timeout(SEARCH_TIMEOUT, search).await;
        found.unwrap_or_else(|_| {
            let fields = format_args!("from=store why=\"no entry of the hall had the list\"");
            self.log.line(events::TARGETS_LISTED, fields);
            None
        })
    }

    async fn query_hall_peer(&self, peer: &PeerRecord) -> Result<Option<TargetList>, QueryError> {
        let pool = self.pool_of(peer.addr);
        let after = self.records_at.get();
        let request = TargetListRequest {
            after,
            must_follow: true,
        };
        let answer = peer_call::query(&pool, TARGETS_PATH, &request, ANSWER_TIMEOUT).await;
        match answer {
            Err(err) if err.is_unsupported() => {}
            answer => return answer,
        }
        let request = RecordsRequest { after };
        let answer: Option<RecordsSnapshot> =
            peer_call::query(&pool, RECORDS_PATH, &request, ANSWER_TIMEOUT).await?;
        Ok(answer.map(TargetList::without_missing))
    }

    fn apply_hall_records(self: &Rc<Self>, from: &PeerRecord, list: TargetList) -> Position {
        let at = list.snapshot.at;
        let fields = format_args!(
            "from={} targets={} missing={} at={at} before={}",
            from.host,
            list.snapshot.records.len(),
            list.missing.len(),
            self.records_at.get()
        );
        self.log.line(events::TARGETS_LISTED, fields);
        self.adopt_list(list);
        at
    }

    /// True if the list is long and the store followers of this hall are known.
    pub(super) fn may_query_hall(&self) -> bool {
        let listed = self.entries_listed_at.get();
        let are_known = listed.is_some_and(|at| self.clock.now() >= at + FOLLOWERS_KNOWN_MS);
        are_known && self.is_list_long.get()
    }

    /// Chooses an entry that may have the list; `None` if this entry reads it from the
    /// store.
    fn choose_list_peer(&self) -> Option<PeerRecord> {
        let peers = self.peers_now();
        let hall = self.hall_of(&peers);
        let followers = self.followers_of(&hall)?;
        if followers.iter().any(|peer| peer.host == self.me.host) {
            return None;
        }
        let larger = ownership::owners(&self.me.hall, candidates(&hall), usize::MAX);
        let larger: Vec<&PeerRecord> = larger.into_iter().map(|index| hall[index]).collect();
        let is_larger = larger.iter().any(|peer| peer.host == self.me.host);
        let peer = if is_larger { &followers } else { &larger };
        peer.choose(&mut rand::rng()).map(|peer| (*peer).clone())
    }
}
