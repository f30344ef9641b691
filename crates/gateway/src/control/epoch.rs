//! Retention of state when the store is restored from an older copy.
//!
//! Each response of the store carries its epoch ([`Store::epoch`]). When a response carries a
//! new one, every watch ends and every list is read again. Until and after that:
//!
//! | state | written again by | until then | if never written again |
//! |---|---|---|---|
//! | configuration | operators | the newest version stays in force | the same |
//! | evacuated halls | operators | stay evacuated | reinstated after [`HALL_RETENTION`] |
//! | a target's record, missing | the target | the target stays in use | gone after [`RECORD_RETURN_MS`] |
//! | a target's record, listed although it was gone | the target, if it still runs | it stays out of use | in use once the record has outlived its expiry time |
//! | that a target is draining | the target | stays draining until its next incarnation | the same |
//! | an entry's record | that entry, within [`SPREAD`] | the entry counts as live | gone once its lease would have expired |
//! | refused requests | the entry that wrote them | stay refused for the stated time | the same |
//! | leases | their holders | end with their epoch; nothing depends on one that isn't renewed | |
//!
//! Requests that may run at most once depend on none of this: the entry that received one
//! sends it once.
//!
//! [`Store::epoch`]: hollowsail_platform::store::Store::epoch

use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::RegistryTiming;
use hollowsail_observe::events;
use hollowsail_platform::settings::Settings;
use hollowsail_routing::Millis;
use rand::Rng;

use super::own_record::LEASE;
use super::{Control, RECORD_RETURN_MS};
use crate::feed::KeyGroup;

/// Number of heartbeats, the first one included, after which a silent target's record
/// expires.
const HEARTBEATS_TO_EXPIRE: u64 = 4;
/// How long a hall stays evacuated after the store lost its key. Operators write it again within
/// seconds. A longer time would cost the targets of a hall that nobody wants evacuated.
const HALL_RETENTION: Duration = Duration::from_secs(60);
/// Time over which the entries of a fleet spread their writes and reads after an epoch
/// began, to bound the load on the store.
pub const SPREAD: Duration = Duration::from_millis(300);

/// Times after an outage or a new epoch during which target records are unreliable.
pub fn target_timing(settings: &Settings) -> RegistryTiming {
    RegistryTiming {
        return_ms: RECORD_RETURN_MS,
        lost_ms: RECORD_RETURN_MS,
        expiry_ms: settings.heartbeat_ms * HEARTBEATS_TO_EXPIRE,
    }
}

/// The same for entry records. A lost record counts for the length of its lease: the entry
/// may be cut off from the store while it still serves.
pub fn entry_timing() -> RegistryTiming {
    let lease_ms = LEASE.as_millis() as Millis;
    RegistryTiming {
        return_ms: RECORD_RETURN_MS,
        lost_ms: lease_ms,
        expiry_ms: lease_ms,
    }
}

/// Waits for a random part of [`SPREAD`].
pub async fn random_delay() {
    let part = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(SPREAD.mul_f64(part)).await;
}

impl Control {
    /// Marks all state as unconfirmed when an epoch began.
    pub(super) fn begin_epoch(self: &Rc<Self>, before: u64, epoch: u64) {
        let now = self.clock.now();
        self.registry.borrow_mut().epoch_began(now);
        self.peers.borrow_mut().epoch_began(now);
        let fields = format_args!(
            "era={epoch} before={before} records_at={} halls_at={}",
            self.records_at.get(),
            self.evacuated.borrow().as_of()
        );
        self.log.line(events::STORE_CAME_BACK_OLDER, fields);
        self.reinstate_halls_later(epoch);
    }

    /// Waits for a random part of [`SPREAD`] if a list belongs to an earlier epoch. The operators' keys
    /// are read at once: the list is short and takes effect soon.
    pub(super) async fn delay_in_new_epoch(&self, keys: KeyGroup) {
        let listed = self.lists.freshness(keys, self.clock.now());
        let is_new = listed.is_some_and(|(at, _)| at.epoch < self.store.epoch());
        if is_new && keys != KeyGroup::Operators {
            random_delay().await;
        }
    }

    /// Reinstates halls that weren't written again within [`HALL_RETENTION`] after an epoch
    /// began.
    fn reinstate_halls_later(self: &Rc<Self>, epoch: u64) {
        let cx = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(HALL_RETENTION).await;
            if cx.store_link.epoch() == Some(epoch) {
                cx.update_evacuated("not_written_again", |halls| {
                    !halls.drop_unconfirmed().is_empty()
                });
            }
        });
    }
}
