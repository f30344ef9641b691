//! A bound on all bytes that a host keeps for others: bodies of requests, and what targets send.
//!
//! Everything that is kept has an account. What a caller sends is refused when there is no room. What a
//! target sends is taken, and if all accounts exceed the bound together, the largest answer of the source
//! that has most of them is ended: a target that sends without end loses its own answers, not those of
//! others.

use std::collections::HashMap;
use std::hash::Hash;

use slotmap::{new_key_type, SlotMap};

/// Part of the bound that requests may use, so that answers have room beside them.
const REQUESTS_PART: f64 = 0.5;

new_key_type! {
    /// An account of kept bytes.
    pub struct AccountKey;
}

/// Whose bytes an account has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kept<S> {
    /// Sent by a caller or a peer.
    Request,
    /// Sent by a source of answers.
    Answer(S),
}

struct Account<S> {
    kept: Kept<S>,
    bytes: u64,
}

/// Sums of all accounts, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KeptTotals {
    pub requests: u64,
    pub answers: u64,
}

/// All accounts of a host. `S` identifies a source of answers.
pub struct ByteBudget<S> {
    limit: u64,
    totals: KeptTotals,
    accounts: SlotMap<AccountKey, Account<S>>,
}

impl<S: Copy + Eq + Hash> ByteBudget<S> {
    /// A budget for `limit` bytes.
    pub fn new(limit: u64) -> Self {
        ByteBudget {
            limit,
            totals: KeptTotals::default(),
            accounts: SlotMap::with_key(),
        }
    }

    pub fn limit(&self) -> u64 {
        self.limit
    }

    pub fn totals(&self) -> KeptTotals {
        self.totals
    }

    /// Opens an account without bytes.
    pub fn open(&mut self, kept: Kept<S>) -> AccountKey {
        self.accounts.insert(Account { kept, bytes: 0 })
    }

    /// Adds bytes of a request. False if there is no room for them; nothing is added then.
    pub fn try_add(&mut self, key: AccountKey, bytes: u64) -> bool {
        let all = self.totals.requests + self.totals.answers;
        let for_requests = (self.limit as f64 * REQUESTS_PART) as u64;
        let has_room = self.totals.requests + bytes <= for_requests && all + bytes <= self.limit;
        if has_room {
            let kept = self.bytes(key);
            self.set(key, kept + bytes);
        }
        has_room
    }

    /// Sets the bytes of an answer. Returns the accounts, this one perhaps among them, that have to be
    /// closed so that all fit again; their bytes don't count any more.
    pub fn set_answer(&mut self, key: AccountKey, bytes: u64) -> Vec<AccountKey> {
        self.set(key, bytes);
        let mut ended = Vec::new();
        while self.totals.requests + self.totals.answers > self.limit {
            let Some(largest) = self.largest_of_worst_source() else {
                break;
            };
            self.set(largest, 0);
            ended.push(largest);
        }
        ended
    }

    /// Closes an account.
    pub fn close(&mut self, key: AccountKey) {
        self.set(key, 0);
        self.accounts.remove(key);
    }

    /// Bytes of an account; 0 if it is closed.
    pub fn bytes(&self, key: AccountKey) -> u64 {
        self.accounts.get(key).map_or(0, |account| account.bytes)
    }

    fn set(&mut self, key: AccountKey, bytes: u64) {
        let Some(account) = self.accounts.get_mut(key) else {
            return;
        };
        let total = match account.kept {
            Kept::Request => &mut self.totals.requests,
            Kept::Answer(_) => &mut self.totals.answers,
        };
        *total = *total - account.bytes + bytes;
        account.bytes = bytes;
    }

    /// The largest answer of the source whose answers have most bytes together.
    fn largest_of_worst_source(&self) -> Option<AccountKey> {
        let answers = self.accounts.iter().filter_map(|(key, account)| {
            let Kept::Answer(source) = account.kept else {
                return None;
            };
            (account.bytes > 0).then_some((key, source, account.bytes))
        });
        let mut sources: HashMap<S, u64> = HashMap::new();
        for (_, source, bytes) in answers.clone() {
            *sources.entry(source).or_default() += bytes;
        }
        let (worst, _) = sources.into_iter().max_by_key(|(_, bytes)| *bytes)?;
        let of_worst = answers.filter(|(_, source, _)| *source == worst);
        let largest = of_worst.max_by_key(|(_, _, bytes)| *bytes);
        largest.map(|(key, ..)| key)
    }
}
