//! Ledger of the tickets and claims that were presented to this process.
//!
//! A record is opened before its request runs and closed with the answer. Open records are
//! never evicted. Closed records stay until their ticket has expired, so that eviction
//! can't lead to a second run; over the memory bound only the retained answer is dropped.

use std::collections::{BTreeSet, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::hand_over::{HandOver, HandedIssuer, HandedRecord, HandedRefusal};
use crate::ticket::Ticket;
use crate::{Incarnation, Millis};

/// Capacity and retention times of a ledger.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of records, open and closed.
    pub records: usize,
    /// Maximum size of the retained answers, in bytes.
    pub bytes: usize,
    /// How long after its issue a ticket may be presented, in milliseconds.
    pub ticket_ms: Millis,
    /// How long a claim's record is retained after it was opened, in milliseconds.
    pub claim_ms: Millis,
}

/// A ticket's number, or the hash of a caller's own id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Slot {
    Ticket(u64),
    Claim([u8; 32]),
}

/// Key of a record, unique in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordId {
    /// Entry that issued the ticket or made the claim.
    pub issuer: Incarnation,
    pub slot: Slot,
}

/// Organisation of the caller and digest of its request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    pub org: String,
    /// Hash of pipeline and body.
    pub digest: [u8; 32],
}

/// Outcome of presenting a ticket or claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PresentOutcome {
    /// First presentation: run the request, then call [`Ledger::close`].
    Run,
    /// The request is running; wait for its answer.
    Wait,
    /// The request has ended with this answer.
    Retained(Vec<u8>),
    /// The request has ended, but its answer was dropped.
    AnswerDropped,
    /// The ticket or id was used for another request or organisation.
    RequestMismatch,
    /// The ticket or id has expired. The request isn't run now, but may have run before.
    Expired,
    /// This ledger isn't responsible for the issuer.
    NotIssuer,
    /// The ledger is full. The request wasn't run and never will be.
    Full,
    /// This entry is stopping. The request wasn't run and never will be.
    Stopped,
    /// The request was refused before it ran, and stays refused.
    Refused,
    /// The ledger was handed over; only the successor can answer.
    HandedOver,
    /// Refused, but there was no space to record the refusal: a later presentation may
    /// still run.
    RefusedUnrecorded,
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
    /// Time from which the record may be evicted once it is closed.
    expires: Millis,
}

/// Offset between the clocks of an issuer and of this process.
#[derive(Debug, Clone, Copy)]
struct IssuerClock {
    /// Time on the issuer's clock at `local_time`.
    issuer_time: Millis,
    /// Time on this process's clock.
    local_time: Millis,
}

impl IssuerClock {
    /// Converts a time on the issuer's clock to this process's clock.
    fn to_local_time(self, issued: Millis) -> Millis {
        (self.local_time + issued).saturating_sub(self.issuer_time)
    }
}

/// Records of this process, and of the processes it took over from.
pub struct Ledger {
    own: Incarnation,
    bounds: Bounds,
    issuers: HashMap<Incarnation, IssuerClock>,
    records: HashMap<RecordId, Record>,
    /// Closed records with a retained answer, oldest first.
    retained: VecDeque<RecordId>,
    retained_bytes: usize,
    /// Refused tickets and ids with their expiry. The refusal promises that the request
    /// never runs, so later presentations must be refused too.
    refused: HashMap<RecordId, Millis>,
    /// Every record, ordered by expiry.
    by_expiry: BTreeSet<(Millis, RecordId)>,
    /// Evicted claims that [`Ledger::evict_expired`] hasn't returned yet.
    evicted_claims: Vec<[u8; 32]>,
    open_count: usize,
    next_number: u64,
    stopped: bool,
    /// The records were handed over, so a successor may already answer for them.
    handed_over: bool,
}

impl Ledger {
    pub fn new(own: Incarnation, bounds: Bounds) -> Self {
        let own_clock = IssuerClock {
            issuer_time: 0,
            local_time: 0,
        };
        Ledger {
            own,
            bounds,
            issuers: HashMap::from([(own, own_clock)]),
            records: HashMap::new(),
            retained: VecDeque::new(),
            retained_bytes: 0,
            refused: HashMap::new(),
            by_expiry: BTreeSet::new(),
            evicted_claims: Vec::new(),
            open_count: 0,
            next_number: 0,
            stopped: false,
            handed_over: false,
        }
    }

    /// Issues a new ticket to an organisation.
    pub fn issue(&mut self, now: Millis, org: &str) -> Ticket {
        self.next_number += 1;
        Ticket {
            issuer: self.own,
            org: org.into(),
            number: self.next_number,
            issued: now,
        }
    }

    /// True when this ledger is responsible for tickets of `issuer`.
    pub fn is_responsible_for(&self, issuer: Incarnation) -> bool {
        self.issuers.contains_key(&issuer)
    }

    pub fn present_ticket(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        identity: &Identity,
    ) -> PresentOutcome {
        let Some(clock) = self.issuers.get(&ticket.issuer) else {
            return PresentOutcome::NotIssuer;
        };
        if ticket.org != identity.org {
            return PresentOutcome::RequestMismatch;
        }
        let id = RecordId {
            issuer: ticket.issuer,
            slot: Slot::Ticket(ticket.number),
        };
        let expires = clock.to_local_time(ticket.issued) + self.bounds.ticket_ms;
        let can_open = now < expires;
        self.present(now, id, identity, expires, can_open)
    }

    /// Presents a caller's own id. `is_new_claim` is true only when the caller of this
    /// method has just made the claim in the store; otherwise no record is opened.
    pub fn present_claim(
        &mut self,
        now: Millis,
        id: RecordId,
        identity: &Identity,
        is_new_claim: bool,
    ) -> PresentOutcome {
        if !self.issuers.contains_key(&id.issuer) {
            return PresentOutcome::NotIssuer;
        }
        self.present(now, id, identity, now + self.bounds.claim_ms, is_new_claim)
    }

    fn present(
        &mut self,
        now: Millis,
        id: RecordId,
        identity: &Identity,
        expires: Millis,
        can_open: bool,
    ) -> PresentOutcome {
        if let Some(record) = self.records.get(&id) {
            return outcome_of(record, identity);
        }
        if self.refused.contains_key(&id) {
            return PresentOutcome::Refused;
        }
        if !can_open {
            return PresentOutcome::Expired;
        }
        if self.handed_over {
            return PresentOutcome::HandedOver;
        }
        self.evict_expired_records(now);
        if self.stopped {
            return self.refuse(id, expires, PresentOutcome::Stopped);
        }
        if self.records.len() >= self.bounds.records {
            return self.refuse(id, expires, PresentOutcome::Full);
        }
        self.insert(
            id,
            Record {
                identity: identity.clone(),
                state: State::Open,
                expires,
            },
        );
        self.open_count += 1;
        PresentOutcome::Run
    }

    /// Records a permanent refusal, if there is space for it.
    fn refuse(&mut self, id: RecordId, expires: Millis, outcome: PresentOutcome) -> PresentOutcome {
        if self.refused.len() >= self.bounds.records {
            return PresentOutcome::RefusedUnrecorded;
        }
        self.refused.insert(id, expires);
        outcome
    }

    fn insert(&mut self, id: RecordId, record: Record) {
        self.by_expiry.insert((record.expires, id));
        self.records.insert(id, record);
    }

    /// Closes an open record with its answer. Returns false, and changes nothing, when no
    /// such record is open.
    pub fn close(&mut self, id: RecordId, answer: Vec<u8>) -> bool {
        match self.records.get_mut(&id) {
            Some(record) if matches!(record.state, State::Open) => {
                self.retained_bytes += answer.len();
                record.state = State::Closed(Some(answer));
            }
            _ => return false,
        }
        self.open_count -= 1;
        self.retained.push_back(id);
        self.evict_answers();
        true
    }

    /// Finds the record of a caller's own id, for any issuer.
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

    fn evict_answers(&mut self) {
        while self.retained_bytes > self.bounds.bytes {
            let Some(id) = self.retained.pop_front() else {
                return;
            };
            let Some(record) = self.records.get_mut(&id) else {
                continue;
            };
            if let State::Closed(answer) = &mut record.state {
                self.retained_bytes -= answer.take().map_or(0, |bytes| bytes.len());
            }
        }
    }

    /// Evicts expired closed records. Returns the hashes of all claims evicted since the
    /// last call, so that their keys can be deleted from the store.
    pub fn evict_expired(&mut self, now: Millis) -> Vec<[u8; 32]> {
        self.evict_expired_records(now);
        std::mem::take(&mut self.evicted_claims)
    }

    fn evict_expired_records(&mut self, now: Millis) {
        self.refused.retain(|_, expires| *expires > now);
        let expired: Vec<_> = self
            .by_expiry
            .iter()
            .take_while(|(expires, _)| *expires <= now)
            .filter(|(_, id)| !self.is_open(*id))
            .copied()
            .collect();
        for entry in &expired {
            self.by_expiry.remove(entry);
            if let Some(Record {
                state: State::Closed(Some(answer)),
                ..
            }) = self.records.remove(&entry.1)
            {
                self.retained_bytes -= answer.len();
            }
        }
        let records = &self.records;
        self.retained.retain(|id| records.contains_key(id));
        let claims = expired.into_iter().filter_map(|(_, id)| match id.slot {
            Slot::Claim(hash) => Some(hash),
            Slot::Ticket(_) => None,
        });
        self.evicted_claims.extend(claims);
    }

    pub fn open_records(&self) -> usize {
        self.open_count
    }

    /// Number of records, open and closed.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Opens no records from now on.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Returns the state for a successor, or `None` while a record is open or the ledger
    /// isn't stopped. Answers are included only for organisations for which `may_hold` is
    /// true; for others, only the fact that the request ended.
    pub fn hand_over(&mut self, now: Millis, may_hold: impl Fn(&str) -> bool) -> Option<HandOver> {
        if !self.stopped || self.open_count > 0 {
            return None;
        }
        self.handed_over = true;
        let issuers = self
            .issuers
            .iter()
            .map(|(&issuer, clock)| HandedIssuer {
                issuer,
                clock: clock.issuer_time + (now - clock.local_time),
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

    /// Takes over the records of a stopped process; idempotent. Returns false when this
    /// ledger is stopped itself and didn't take them over before; the sender must then
    /// choose another successor.
    pub fn adopt(&mut self, now: Millis, hand_over: HandOver) -> bool {
        if self.stopped {
            return self.is_responsible_for(hand_over.from);
        }
        for handed in hand_over.issuers {
            if self.is_responsible_for(handed.issuer) {
                continue;
            }
            let clock = IssuerClock {
                issuer_time: handed.clock,
                local_time: now,
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
        self.evict_answers();
        true
    }

    fn adopt_record(&mut self, now: Millis, issuer: Incarnation, handed: HandedRecord) {
        let id = RecordId {
            issuer,
            slot: handed.slot,
        };
        if let Some(answer) = &handed.answer {
            self.retained_bytes += answer.len();
            self.retained.push_back(id);
        }
        let record = Record {
            identity: handed.identity,
            state: State::Closed(handed.answer),
            expires: now + handed.expires_in,
        };
        self.insert(id, record);
    }
}

fn outcome_of(record: &Record, identity: &Identity) -> PresentOutcome {
    if record.identity != *identity {
        return PresentOutcome::RequestMismatch;
    }
    match &record.state {
        State::Open => PresentOutcome::Wait,
        State::Closed(Some(answer)) => PresentOutcome::Retained(answer.clone()),
        State::Closed(None) => PresentOutcome::AnswerDropped,
    }
}
