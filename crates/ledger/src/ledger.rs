//! The ledger: one record per ticket or claim that was ever presented here.
//!
//! A record is opened before anything runs and closed with the outcome. Open
//! records are never evicted. A closed record stays until its ticket can no
//! longer be presented, so eviction never makes a second run possible; under
//! pressure only the kept answer is dropped, never the fact that it ran.

use std::collections::{BTreeSet, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::hand_over::{HandOver, HandedIssuer, HandedRecord, HandedRefusal};
use crate::ticket::Ticket;
use crate::{Incarnation, Millis};

/// Bounds of one ledger.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Records, open and closed.
    pub records: usize,
    /// Bytes of kept outcomes.
    pub bytes: usize,
    /// How long after its issue a ticket may be presented.
    pub ticket_ms: Millis,
    /// How long a claim's record is kept after it was opened.
    pub claim_ms: Millis,
}

/// What was presented: a ticket's number or the hash of a caller's own id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Slot {
    Ticket(u64),
    Claim([u8; 32]),
}

/// Key of one record in the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordId {
    /// Entry that issued the ticket or made the claim.
    pub issuer: Incarnation,
    pub slot: Slot,
}

/// Who presents, and a digest of what is asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub org: String,
    /// Hash of pipeline and body.
    pub digest: [u8; 32],
}

/// What a presentation leads to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Presented {
    /// First time: run it now, then call [`Ledger::close`].
    Run,
    /// It runs at this moment; wait for its outcome.
    Wait,
    /// It ended; this is its answer.
    Kept(Vec<u8>),
    /// It ended, but the answer had to be dropped.
    AnswerDropped,
    /// The ticket or id was used for another request or organisation.
    OtherRequest,
    /// Too old to say; it is not run now, and may have run before.
    Expired,
    /// This ledger does not answer for that issuer.
    NotIssuer,
    /// The ledger is at its bound; not run, and never will be.
    Full,
    /// This entry is stopping; not run, and never will be.
    Stopped,
    /// It was refused before as not run; it stays so.
    Refused,
    /// The ledger went to a successor, which alone can say.
    HandedOver,
    /// Refused now, but there is no room to remember it: another send of it
    /// may still run.
    Unsure,
}

#[derive(Debug, Clone)]
enum State {
    Open,
    Closed(Option<Vec<u8>>),
}

#[derive(Debug, Clone)]
struct Record {
    identity: Identity,
    state: State,
    /// When the record may be forgotten once it is closed.
    expires: Millis,
}

/// Clock of an issuer whose tickets this ledger answers for.
#[derive(Debug, Clone, Copy)]
struct IssuerClock {
    /// What that issuer's clock showed at `here`.
    there: Millis,
    /// The same moment on this process's clock.
    here: Millis,
}

impl IssuerClock {
    /// A moment of the issuer's clock, on this process's clock.
    fn to_here(self, issued: Millis) -> Millis {
        (self.here + issued).saturating_sub(self.there)
    }
}

/// Records of this process, and of the processes it took over from.
pub struct Ledger {
    own: Incarnation,
    bounds: Bounds,
    issuers: HashMap<Incarnation, IssuerClock>,
    records: HashMap<RecordId, Record>,
    /// Closed records whose answer is kept, oldest first.
    kept: VecDeque<RecordId>,
    kept_bytes: usize,
    /// Tickets and ids that were refused as "not run", by when they may be
    /// forgotten: saying so is true only if no later send runs them.
    refused: HashMap<RecordId, Millis>,
    /// Every record by the moment it may be forgotten.
    by_expiry: BTreeSet<(Millis, RecordId)>,
    /// Claims that were forgotten on the way, not yet reported.
    lapsed_claims: Vec<[u8; 32]>,
    open: usize,
    next_number: u64,
    stopped: bool,
    /// A successor may answer by now.
    handed_over: bool,
}

impl Ledger {
    pub fn new(own: Incarnation, bounds: Bounds) -> Self {
        let own_clock = IssuerClock { there: 0, here: 0 };
        Ledger {
            own,
            bounds,
            issuers: HashMap::from([(own, own_clock)]),
            records: HashMap::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            refused: HashMap::new(),
            by_expiry: BTreeSet::new(),
            lapsed_claims: Vec::new(),
            open: 0,
            next_number: 0,
            stopped: false,
            handed_over: false,
        }
    }

    /// Makes a new ticket for an organisation.
    pub fn issue(&mut self, now: Millis, org: &str) -> Ticket {
        self.next_number += 1;
        Ticket {
            issuer: self.own,
            org: org.into(),
            number: self.next_number,
            issued: now,
        }
    }

    /// True when this ledger answers for tickets of `issuer`.
    pub fn answers_for(&self, issuer: Incarnation) -> bool {
        self.issuers.contains_key(&issuer)
    }

    /// Presents a ticket.
    pub fn present_ticket(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        identity: &Identity,
    ) -> Presented {
        let Some(clock) = self.issuers.get(&ticket.issuer) else {
            return Presented::NotIssuer;
        };
        if ticket.org != identity.org {
            return Presented::OtherRequest;
        }
        let id = RecordId {
            issuer: ticket.issuer,
            slot: Slot::Ticket(ticket.number),
        };
        let expires = clock.to_here(ticket.issued) + self.bounds.ticket_ms;
        let may_open = now < expires;
        self.present(now, id, identity, expires, may_open)
    }

    /// Presents a caller's own id.
    ///
    /// `fresh` is true only for whoever has just made the claim in the store;
    /// nobody else may open a record for it.
    pub fn present_claim(
        &mut self,
        now: Millis,
        id: RecordId,
        identity: &Identity,
        fresh: bool,
    ) -> Presented {
        if !self.issuers.contains_key(&id.issuer) {
            return Presented::NotIssuer;
        }
        self.present(now, id, identity, now + self.bounds.claim_ms, fresh)
    }

    fn present(
        &mut self,
        now: Millis,
        id: RecordId,
        identity: &Identity,
        expires: Millis,
        may_open: bool,
    ) -> Presented {
        if let Some(record) = self.records.get(&id) {
            return answer_again(record, identity);
        }
        if self.refused.contains_key(&id) {
            return Presented::Refused;
        }
        if !may_open {
            return Presented::Expired;
        }
        if self.handed_over {
            return Presented::HandedOver;
        }
        self.forget_expired(now);
        if self.stopped {
            return self.refuse(id, expires, Presented::Stopped);
        }
        if self.records.len() >= self.bounds.records {
            return self.refuse(id, expires, Presented::Full);
        }
        self.insert(
            id,
            Record {
                identity: identity.clone(),
                state: State::Open,
                expires,
            },
        );
        self.open += 1;
        Presented::Run
    }

    /// Refuses for good, if there is room to remember it.
    fn refuse(&mut self, id: RecordId, expires: Millis, why: Presented) -> Presented {
        if self.refused.len() >= self.bounds.records {
            return Presented::Unsure;
        }
        self.refused.insert(id, expires);
        why
    }

    fn insert(&mut self, id: RecordId, record: Record) {
        self.by_expiry.insert((record.expires, id));
        self.records.insert(id, record);
    }

    /// Closes an open record with its final answer.
    ///
    /// Returns false when there is no such open record; nothing changes then.
    pub fn close(&mut self, id: RecordId, answer: Vec<u8>) -> bool {
        match self.records.get_mut(&id) {
            Some(record) if matches!(record.state, State::Open) => {
                self.kept_bytes += answer.len();
                record.state = State::Closed(Some(answer));
            }
            _ => return false,
        }
        self.open -= 1;
        self.kept.push_back(id);
        self.drop_answers();
        true
    }

    /// The record of a caller's own id, whichever issuer opened it.
    pub fn find_claim(&self, id_hash: &[u8; 32]) -> Option<RecordId> {
        self.issuers
            .keys()
            .map(|&issuer| RecordId {
                issuer,
                slot: Slot::Claim(*id_hash),
            })
            .find(|id| self.records.contains_key(id))
    }

    fn is_open(&self, id: RecordId) -> bool {
        self.records
            .get(&id)
            .is_some_and(|record| matches!(record.state, State::Open))
    }

    fn drop_answers(&mut self) {
        while self.kept_bytes > self.bounds.bytes {
            let Some(id) = self.kept.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&id) else {
                continue;
            };
            if let State::Closed(answer) = &mut record.state {
                self.kept_bytes -= answer.take().map_or(0, |bytes| bytes.len());
            }
        }
    }

    /// Forgets closed records whose time has come; returns the hashes of all
    /// claims forgotten since the last call, whose keys in the store may go too.
    pub fn housekeep(&mut self, now: Millis) -> Vec<[u8; 32]> {
        self.forget_expired(now);
        std::mem::take(&mut self.lapsed_claims)
    }

    fn forget_expired(&mut self, now: Millis) {
        self.refused.retain(|_, expires| *expires > now);
        let due: Vec<_> = self
            .by_expiry
            .iter()
            .take_while(|(expires, _)| *expires <= now)
            .filter(|(_, id)| !self.is_open(*id))
            .copied()
            .collect();
        for entry in &due {
            self.by_expiry.remove(entry);
            if let Some(Record {
                state: State::Closed(Some(answer)),
                ..
            }) = self.records.remove(&entry.1)
            {
                self.kept_bytes -= answer.len();
            }
        }
        let records = &self.records;
        self.kept.retain(|id| records.contains_key(id));
        let claims = due.into_iter().filter_map(|(_, id)| match id.slot {
            Slot::Claim(hash) => Some(hash),
            Slot::Ticket(_) => None,
        });
        self.lapsed_claims.extend(claims);
    }

    /// Records open at this moment.
    pub fn open_records(&self) -> usize {
        self.open
    }

    /// Records held, open and closed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Opens nothing from now on.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Everything a successor needs, or `None` while a record is open or this
    /// ledger still opens new ones.
    ///
    /// `may_hold` says whether the successor may hold an organisation's
    /// answers; where not, only the fact that the request ended goes over.
    pub fn hand_over(&mut self, now: Millis, may_hold: impl Fn(&str) -> bool) -> Option<HandOver> {
        if !self.stopped || self.open > 0 {
            return None;
        }
        self.handed_over = true;
        let issuers = self
            .issuers
            .iter()
            .map(|(&issuer, clock)| HandedIssuer {
                issuer,
                clock: clock.there + (now - clock.here),
                records: self.handed_records(now, issuer, &may_hold),
                refused: self.handed_refusals(now, issuer),
            })
            .collect();
        Some(HandOver {
            from: self.own,
            issuers,
        })
    }

    fn handed_refusals(&self, now: Millis, issuer: Incarnation) -> Vec<HandedRefusal> {
        self.refused
            .iter()
            .filter(|(id, _)| id.issuer == issuer)
            .map(|(id, expires)| HandedRefusal {
                slot: id.slot,
                expires_in: expires.saturating_sub(now),
            })
            .collect()
    }

    fn handed_records(
        &self,
        now: Millis,
        issuer: Incarnation,
        may_hold: &impl Fn(&str) -> bool,
    ) -> Vec<HandedRecord> {
        self.records
            .iter()
            .filter(|(id, _)| id.issuer == issuer)
            .map(|(id, record)| HandedRecord {
                slot: id.slot,
                identity: record.identity.clone(),
                expires_in: record.expires.saturating_sub(now),
                answer: match &record.state {
                    State::Closed(Some(answer)) if may_hold(&record.identity.org) => {
                        Some(answer.clone())
                    }
                    _ => None,
                },
            })
            .collect()
    }

    /// Takes over from a stopped process; repeating it changes nothing.
    ///
    /// Returns false when this ledger is stopping itself: the giver must then
    /// choose another successor.
    pub fn adopt(&mut self, now: Millis, hand_over: HandOver) -> bool {
        if self.stopped {
            return self.answers_for(hand_over.from);
        }
        for handed in hand_over.issuers {
            if self.answers_for(handed.issuer) {
                continue;
            }
            let clock = IssuerClock {
                there: handed.clock,
                here: now,
            };
            self.issuers.insert(handed.issuer, clock);
            for record in handed.records {
                self.adopt_record(now, handed.issuer, record);
            }
            for refusal in handed.refused {
                let id = RecordId {
                    issuer: handed.issuer,
                    slot: refusal.slot,
                };
                self.refused.insert(id, now + refusal.expires_in);
            }
        }
        self.drop_answers();
        true
    }

    fn adopt_record(&mut self, now: Millis, issuer: Incarnation, handed: HandedRecord) {
        let id = RecordId {
            issuer,
            slot: handed.slot,
        };
        if let Some(answer) = &handed.answer {
            self.kept_bytes += answer.len();
            self.kept.push_back(id);
        }
        let record = Record {
            identity: handed.identity,
            state: State::Closed(handed.answer),
            expires: now + handed.expires_in,
        };
        self.insert(id, record);
    }
}

fn answer_again(record: &Record, identity: &Identity) -> Presented {
    if record.identity != *identity {
        return Presented::OtherRequest;
    }
    match &record.state {
        State::Open => Presented::Wait,
        State::Closed(Some(answer)) => Presented::Kept(answer.clone()),
        State::Closed(None) => Presented::AnswerDropped,
    }
}
