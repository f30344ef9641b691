//! Follows keys in the store: reads them once, then waits for their changes, there or at
//! a reader of this entry's hall ([`super::source`]).
//!
//! At the start lists are read as they were some seconds ago, which costs a tenth; the
//! watch goes on from there and tells at once what changed since. It reads again, and
//! the newest, when the store loses its history or stops answering: by an old list, what
//! had gone would be back until the watch told of it. While a watch waits, other calls
//! show whether the store is there at all ([`Control::until_store_lost`]).

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::Position;
use hollowsail_platform::store::{Changes, Item, Range, StoreError};

use super::backoff::Backoff;
use super::source::{Heard, Teller};
use super::Control;
use crate::feed::Keys;

/// Longest pause after changes that a reader told of: asking it has no price, and it
/// paused itself.
const PAUSE_AFTER_READER: Duration = Duration::from_millis(50);

/// Changes in one answer of the store from which on the next ones are asked for at once.
const MANY_CHANGES: usize = 100;
/// Pause after all was taken from an entry of this hall, which may be hearing of more itself.
const PAUSE_AFTER_HALL: Duration = Duration::from_millis(300);

/// Keys that are followed, and who takes them.
pub struct Followed {
    pub keys: Keys,
    pub prefix: &'static str,
    /// The first read may be seconds old: nothing is known yet that could go back.
    pub may_begin_old: bool,
    /// This loop asks a store that is away whether it is back; the others wait
    /// for that word.
    pub probes: bool,
    /// Takes a part of what is there, as soon as it is read.
    pub take_page: fn(&Rc<Control>, &[Item]),
    /// Takes what is there, once all is read.
    pub take_all: fn(&Rc<Control>, &Range),
    /// Takes what changed since; tells how long to pause before the next watch,
    /// so that changes that come one after the other are told in a few answers.
    pub take_changes: fn(&Rc<Control>, &Changes, Teller) -> Duration,
}

/// Follows until the thread ends.
pub async fn follow(cx: Rc<Control>, keys: Followed) {
    let mut backoff = Backoff::default();
    let mut may_be_old = keys.may_begin_old;
    loop {
        let end = follow_once(&cx, &keys, may_be_old, &mut backoff).await;
        may_be_old = false;
        match end {
            Ok(()) => {}
            Err(StoreError::HistoryGone) => cx.spread_new_era(keys.keys).await,
            Err(err) => {
                cx.store_failed(&err);
                backoff.pause().await;
                if !keys.probes {
                    cx.until_store_back().await;
                }
            }
        }
    }
}

/// Reads the keys, then takes their changes until the store fails.
async fn follow_once(
    cx: &Rc<Control>,
    keys: &Followed,
    may_be_old: bool,
    backoff: &mut Backoff,
) -> Result<(), StoreError> {
    let mut at = match read_all(cx, keys, may_be_old).await? {
        Read::FromStore(range) => {
            if !may_be_old {
                // An old answer doesn't show that the store is there.
                cx.store_answered();
            }
            cx.take_whole(keys, &range)
        }
        Read::FromReader(at) => {
            cx.feeds.begin(keys.keys, at);
            tokio::time::sleep(PAUSE_AFTER_HALL).await;
            at
        }
    };
    backoff.reset();
    loop {
        match cx.next_changes(keys.keys, keys.prefix, at).await? {
            (Heard::Changes(changes), teller) => {
                at = changes.at;
                cx.feeds.extend(keys.keys, &changes);
                let pause = (keys.take_changes)(cx, &changes, teller);
                let pause = match teller {
                    // It may be a part of what there is: the store tells some hundreds at a time.
                    Teller::Store if changes.changes.len() >= MANY_CHANGES => Duration::ZERO,
                    Teller::Store => pause,
                    Teller::Reader { .. } => pause.min(PAUSE_AFTER_READER),
                };
                tokio::time::sleep(pause).await;
            }
            (Heard::Whole(range), teller) => {
                cx.hear_of_outage(teller);
                at = cx.take_whole(keys, &range);
            }
        }
    }
}

/// Where all that is there came from.
enum Read {
    FromStore(Range),
    /// It was taken as of this position.
    FromReader(Position),
}

/// Reads all that is there: the rest of a long list from an entry of this hall that has it.
/// Read at the store by every entry, it would take entries times targets on one link.
async fn read_all(cx: &Rc<Control>, keys: &Followed, may_be_old: bool) -> Result<Read, StoreError> {
    let may_ask = keys.keys == Keys::Targets;
    let mut has_asked = false;
    let mut reading = cx.store.read(keys.prefix, may_be_old);
    loop {
        if may_ask && !has_asked && cx.may_ask_hall() {
            has_asked = true;
            if let Some(at) = cx.records_from_hall().await {
                return Ok(Read::FromReader(at));
            }
        }
        let items = reading.next_page().await?;
        cx.note_era();
        (keys.take_page)(cx, items);
        if reading.is_whole() {
            return Ok(Read::FromStore(reading.into_range()));
        }
        cx.is_list_long.set(true);
    }
}

impl Control {
    /// Takes all that is there, as the store or a reader lists it. Gives its position.
    fn take_whole(self: &Rc<Self>, keys: &Followed, range: &Range) -> Position {
        (keys.take_all)(self, range);
        match keys.keys {
            Keys::Targets => self.feeds.begin(keys.keys, range.at),
            Keys::Operators | Keys::Entries => self.feeds.begin_with(keys.keys, range),
        }
        range.at
    }

    /// Waits until the store answers again; at once when it does.
    async fn until_store_back(&self) {
        while self.book.borrow().is_store_away() {
            self.store_back.notified().await;
        }
    }

    /// Waits for a watch, but no longer than the store answers other calls.
    pub(super) async fn until_store_lost<T>(
        &self,
        watch: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        tokio::select! {
            result = watch => result,
            () = self.store_lost.notified() => Err(StoreError::Lost),
        }
    }
}
