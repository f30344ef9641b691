//! Marks of runs that stopped as planned, in the store.
//!
//! A run that is killed leaves its record until the lease ends. One that stops removes its record, so
//! that peers stop using it at once, and leaves a mark instead: the next run on the host has to know
//! that its share of what all hosts use together may be used up.

use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_platform::store::StoreError;

use super::Control;
use crate::peers::PeerRecord;

const PREFIX: &str = "hollowsail/stopped/";
/// How long a mark stays: longer than a planned stop, in which the run goes on, and the window in
/// which shares are used.
const LEASE: Duration = Duration::from_secs(30);
/// Digits of a run in a key.
const RUN_DIGITS: usize = 16;

/// Number of other runs on the host that the keys of entries show.
pub fn count_earlier<'a>(me: &PeerRecord, keys: impl Iterator<Item = &'a str>) -> u32 {
    let is_earlier = |key: &&str| {
        let run = run_of(key, crate::peers::PREFIX, &me.host);
        let run = run.or_else(|| run_of(key, PREFIX, &me.host));
        run.is_some_and(|run| run != format!("{:016x}", me.id.0))
    };
    keys.filter(is_earlier).count() as u32
}

/// The run in the key of a host.
fn run_of<'a>(key: &'a str, prefix: &str, host: &str) -> Option<&'a str> {
    let run = key.strip_prefix(prefix)?.strip_prefix(host)?;
    run.strip_prefix('-').filter(|run| run.len() == RUN_DIGITS)
}

impl Control {
    /// Leaves the mark of this run.
    pub(super) async fn mark_stopped(&self) {
        if let Err(err) = self.write_mark().await {
            let fields = format_args!("state=leaving why=\"no mark: {err}\"");
            self.log.line(events::MEMBER, fields);
        }
    }

    async fn write_mark(&self) -> Result<(), StoreError> {
        let key = self.me.key_under(PREFIX);
        let lease = self.store.lease(LEASE.max(self.min_lease)).await?;
        self.store.put(&key, None, &[], lease).await?;
        Ok(())
    }
}
