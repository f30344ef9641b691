//! What stays known when the store comes back from an older copy.
//!
//! Each answer of the store names its era ([`Store::era`]); whichever tells of a new one,
//! every watch ends and every list is read again. What is known meanwhile, and after:
//!
//! | what | who writes it again | until then | never written again |
//! |---|---|---|---|
//! | configuration | operators | the newest version stays in force | the same |
//! | emptied halls | operators | stay emptied | taken back after [`HALL_KEPT`] |
//! | a target's record, missing | the target | the target stays in use | gone after [`RECORD_RETURN_MS`] |
//! | a target's record, there though it had gone | the target, or nobody | it stays out | in use once the record has outlived its lapse |
//! | that a target leaves | the target | stays so, until its next start | the same |
//! | an entry's record | that entry, within [`SPREAD`] | the entry counts as live | gone once its lease would be over |
//! | refused requests | the entry that wrote them | stay refused, for the time that was named | the same |
//! | leases | whoever held them | end with their era; nothing rests on one that isn't taken again | |
//!
//! What may run at most once rests on none of these: it is sent once, by the entry that
//! the caller asked.
//!
//! [`Store::era`]: hollowsail_platform::store::Store::era

use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::BookTiming;
use hollowsail_observe::events;
use hollowsail_platform::settings::Settings;
use hollowsail_routing::Millis;
use rand::Rng;

use super::own_record::LEASE;
use super::{Control, RECORD_RETURN_MS};
use crate::feed::Keys;

/// Heartbeats of a target without which its record lapses, and one for the first.
const HEARTBEATS_TO_LAPSE: u64 = 4;
/// How long a hall that the store lost stays emptied: operators write it again within
/// seconds, and a hall that nobody wants emptied costs its targets for as long.
const HALL_KEPT: Duration = Duration::from_secs(60);
/// Time over which entries spread what they write and read again: each takes a lease and
/// writes a record, and together they stay well below what a store of their size takes.
pub const SPREAD: Duration = Duration::from_millis(300);

/// How long records of targets prove nothing.
pub fn of_targets(settings: &Settings) -> BookTiming {
    BookTiming {
        return_ms: RECORD_RETURN_MS,
        lost_ms: RECORD_RETURN_MS,
        lapse_ms: settings.heartbeat_ms * HEARTBEATS_TO_LAPSE,
    }
}

/// The same for records of entries. One that the store lost counts for as long as its lease
/// would have lasted: its entry may be cut off from the store, and serves on.
pub fn of_entries() -> BookTiming {
    let lease_ms = LEASE.as_millis() as Millis;
    BookTiming {
        return_ms: RECORD_RETURN_MS,
        lost_ms: lease_ms,
        lapse_ms: lease_ms,
    }
}

/// Waits for a part of [`SPREAD`], another one at each entry.
pub async fn spread() {
    let part = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(SPREAD.mul_f64(part)).await;
}

impl Control {
    /// Takes the era of the answer that just came.
    pub(super) fn note_era(self: &Rc<Self>) {
        let newest = self.store.era();
        let known = self.era.replace(Some(newest));
        let Some(known) = known.filter(|known| *known != newest) else {
            return;
        };
        let now = self.clock.now();
        self.book.borrow_mut().era_began(now);
        self.peers.borrow_mut().era_began(now);
        self.feeds
            .store_back(Duration::from_millis(RECORD_RETURN_MS));
        let fields = format_args!(
            "era={newest} before={known} records_at={} halls_at={}",
            self.records_at.get(),
            self.emptied.borrow().as_of()
        );
        self.log.line(events::STORE_CAME_BACK_OLDER, fields);
        self.give_halls_up_later(newest);
    }

    /// Waits for this entry's part of the time over which all read a new era's lists, if
    /// one has begun that isn't taken yet. What operators wrote is read at once: it is
    /// short, and their word has to be in force soon.
    pub(super) async fn spread_new_era(&self, keys: Keys) {
        let is_new = self.era.get().is_some_and(|era| era < self.store.era());
        if is_new && keys != Keys::Operators {
            spread().await;
        }
    }

    /// Gives up the halls that nobody has written again some time after an era began.
    fn give_halls_up_later(self: &Rc<Self>, era: u64) {
        let cx = self.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(HALL_KEPT).await;
            if cx.era.get() == Some(era) {
                cx.change_emptied("not_written_again", |halls| {
                    !halls.drop_unwritten().is_empty()
                });
            }
        });
    }
}
