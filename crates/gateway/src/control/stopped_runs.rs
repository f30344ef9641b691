//! Marks of runs that stopped as planned, in the store.
//!
//! A run that is killed leaves its record until the lease ends. One that stops removes its record, so
//! that peers stop using it at once, and leaves a mark instead: the next run on the host has to know
//! that its share of what all hosts use together may be used up.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_platform::store::StoreError;
use hollowsail_routing::repeats::EarlierRuns;

use super::{Control, RECORD_RETURN_MS};
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
    /// Sets the number of earlier runs on this host that the store tells of. After a restore the list of
    /// entries, by which their shares are divided, isn't complete until they had time to write their
    /// records again.
    pub(super) fn set_earlier_runs(self: &Rc<Self>, known: u32) {
        let may_miss_one = self.store.was_restored();
        let earlier_runs = EarlierRuns {
            known,
            may_miss_one,
        };
        if !may_miss_one {
            return self.earlier_runs.set(Some(earlier_runs));
        }
        let cx = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(Duration::from_millis(RECORD_RETURN_MS)).await;
            cx.earlier_runs.set(Some(earlier_runs));
            cx.publish();
        });
    }

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
