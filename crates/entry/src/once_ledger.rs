//! Requests that run at most once: the ledger and the duplicates that wait for a
//! run, and claims on idempotency keys in the store.
//!
//! [`OnceLedger`] has the ledger and the waiters behind one lock, so that a duplicate
//! either finds the record closed or is woken when it closes. The lock is never
//! held across an await.

use std::collections::HashMap;

use hollowsail_clients::{Expect, StoreClient, StoreError, StoreReply};
use hollowsail_config::settings::Limits;
use hollowsail_ledger::claim::{Claim, ClaimOutcome, ClaimStep, ClaimValue, Progress, StoreAnswer};
use hollowsail_ledger::{
    Bounds, HandOver, Identity, Incarnation, Ledger, Millis, PresentOutcome, RecordId, Slot, Ticket,
};
use tokio::sync::oneshot;

use crate::answer::{AnswerBody, Refusal};
use crate::kinds::ErrorKind;

/// A retained answer: the JSON body sent to the caller.
pub type RetainedAnswer = Vec<u8>;

/// Maximum number of store calls for one claim.
const MAX_CLAIM_STEPS: u32 = 4;

/// The ledger, the waiters and the claim rate limit.
pub struct OnceLedger {
    ledger: Ledger,
    waiters: HashMap<RecordId, Vec<oneshot::Sender<RetainedAnswer>>>,
    claim_limiter: ClaimRateLimiter,
}

/// What to do with a request after its ticket or key was presented.
pub enum Admission {
    /// Run it and close its record; see [`OpenRecord`](crate::open_record::OpenRecord).
    Run,
    /// An earlier send is running; wait for its answer.
    Wait(oneshot::Receiver<RetainedAnswer>),
    /// Answer with the ledger's result.
    Answered(PresentOutcome),
}

impl OnceLedger {
    pub fn new(incarnation: Incarnation, limits: &Limits) -> Self {
        let bounds = Bounds {
            records: limits.ledger_records,
            bytes: limits.ledger_bytes,
            ticket_ms: limits.ticket_ms,
            claim_ms: limits.claim_ms,
        };
        OnceLedger {
            ledger: Ledger::new(incarnation, bounds),
            waiters: HashMap::new(),
            claim_limiter: ClaimRateLimiter::new(limits.claims_per_second),
        }
    }

    /// Issues tickets to an organisation.
    pub fn issue(&mut self, now: Millis, org: &str, count: usize) -> Vec<Ticket> {
        (0..count).map(|_| self.ledger.issue(now, org)).collect()
    }

    pub fn is_responsible_for(&self, issuer: Incarnation) -> bool {
        self.ledger.is_responsible_for(issuer)
    }

    pub fn present_ticket(
        &mut self,
        now: Millis,
        ticket: &Ticket,
        identity: &Identity,
    ) -> Admission {
        let presented = self.ledger.present_ticket(now, ticket, identity);
        self.admit(ticket_record_id(ticket), presented)
    }

    /// Presents an idempotency key; see [`Ledger::present_claim`] for `fresh`.
    pub fn present_claim(
        &mut self,
        now: Millis,
        id: RecordId,
        identity: &Identity,
        fresh: bool,
    ) -> Admission {
        let presented = self.ledger.present_claim(now, id, identity, fresh);
        self.admit(id, presented)
    }

    fn admit(&mut self, id: RecordId, presented: PresentOutcome) -> Admission {
        match presented {
            PresentOutcome::Run => Admission::Run,
            PresentOutcome::Wait => {
                let (tx, rx) = oneshot::channel();
                self.waiters.entry(id).or_default().push(tx);
                Admission::Wait(rx)
            }
            other => Admission::Answered(other),
        }
    }

    /// Closes a record and wakes its waiters.
    pub fn close(&mut self, id: RecordId, answer: RetainedAnswer) {
        self.wake(id, &answer);
        self.ledger.close(id, answer);
    }

    /// The record of an idempotency key, if it was opened here.
    pub fn find_claim(&self, id_hash: &[u8; 32]) -> Option<RecordId> {
        self.ledger.find_claim(id_hash)
    }

    fn wake(&mut self, id: RecordId, answer: &RetainedAnswer) {
        for tx in self.waiters.remove(&id).unwrap_or_default() {
            let _ = tx.send(answer.clone());
        }
    }

    /// True when `claims_per_second` allows one more claim now; counts it.
    pub fn try_take_claim(&mut self, now: Millis) -> bool {
        self.claim_limiter.try_take(now)
    }

    /// Evicts expired records; returns the hashes of the expired claims.
    pub fn evict_expired(&mut self, now: Millis) -> Vec<[u8; 32]> {
        self.ledger.evict_expired(now)
    }

    pub fn open_record_count(&self) -> usize {
        self.ledger.open_records()
    }

    pub fn record_count(&self) -> usize {
        self.ledger.len()
    }

    /// Refuses new records from now on.
    pub fn stop(&mut self) {
        self.ledger.stop();
    }

    /// Returns the state for a successor, with the answers of the organisations for which
    /// `may_hold` is true; `None` while a record is open or before [`OnceLedger::stop`].
    pub fn hand_over(&mut self, now: Millis, may_hold: impl Fn(&str) -> bool) -> Option<HandOver> {
        self.ledger.hand_over(now, may_hold)
    }

    /// Takes over the ledger of a stopping entry; false when this entry is stopping too.
    pub fn adopt(&mut self, now: Millis, hand_over: HandOver) -> bool {
        self.ledger.adopt(now, hand_over)
    }
}

pub fn ticket_record_id(ticket: &Ticket) -> RecordId {
    RecordId {
        issuer: ticket.issuer,
        slot: Slot::Ticket(ticket.number),
    }
}

/// The refusal for a presentation that neither runs, waits nor has a retained answer.
pub fn refusal(request: &str, presented: &PresentOutcome) -> Refusal {
    use ErrorKind::*;
    match presented {
        PresentOutcome::RequestMismatch => AnswerBody::refusal(
            request,
            TicketReused,
            "this ticket or idempotency key was used for another request",
        ),
        PresentOutcome::Expired => AnswerBody::unknown(
            request,
            TicketExpired,
            "the ticket or idempotency key has expired, and an earlier send may have run",
        ),
        PresentOutcome::AnswerDropped => AnswerBody::unknown(
            request,
            AnswerDropped,
            "the request ended, but its answer is no longer retained",
        ),
        PresentOutcome::Full => {
            AnswerBody::refusal(request, LedgerFull, "the ledger of this entry is full")
        }
        PresentOutcome::Stopped => AnswerBody::refusal(request, Stopping, "this entry is stopping"),
        PresentOutcome::Refused => AnswerBody::refusal(
            request,
            TicketRefused,
            "an earlier send of this request was refused, and the refusal is final",
        ),
        PresentOutcome::HandedOver => AnswerBody::unknown(
            request,
            Stopping,
            "this entry has handed its ledger over to another entry",
        ),
        PresentOutcome::RefusedUnrecorded => AnswerBody::unknown(
            request,
            LedgerFull,
            "the ledger of this entry is full, and another send of the request may still run",
        ),
        _ => AnswerBody::unknown(
            request,
            IssuerGone,
            "no entry is responsible for this ticket any more",
        ),
    }
}

/// Store key of the claim on an idempotency key.
pub fn claim_key(id_hash: &[u8; 32]) -> String {
    format!("claim/{}", hex::encode(id_hash))
}

/// Claims an idempotency key in the store; `None` when the result is still unknown
/// after `MAX_CLAIM_STEPS` calls.
pub async fn claim(
    store: &StoreClient,
    id_hash: &[u8; 32],
    owner: Incarnation,
    nonce: u64,
) -> Option<ClaimOutcome> {
    let mut claim = Claim::new(ClaimValue { owner, nonce });
    let key = claim_key(id_hash);
    for _ in 0..MAX_CLAIM_STEPS {
        let answer = match claim.step() {
            ClaimStep::Create => create(store, &key, claim.value()).await,
            ClaimStep::Read => read(store, &key).await,
        };
        if let Progress::End(claimed) = claim.answer(answer) {
            return Some(claimed);
        }
    }
    None
}

async fn create(store: &StoreClient, key: &str, value: &ClaimValue) -> StoreAnswer {
    let bytes = rmp_serde::to_vec(value).expect("a claim always serializes");
    match store.put(key, bytes, Expect::Absent, None).await {
        Ok(StoreReply::Written { .. }) => StoreAnswer::Created,
        Ok(StoreReply::Conflict { value, .. }) => decode_claim(&value),
        Ok(_) => StoreAnswer::Lost,
        Err(err) => store_failure(&err),
    }
}

async fn read(store: &StoreClient, key: &str) -> StoreAnswer {
    match store.get(key).await {
        Ok(Some((_, value))) => decode_claim(&value),
        Ok(None) => StoreAnswer::Absent,
        Err(err) => store_failure(&err),
    }
}

fn decode_claim(bytes: &[u8]) -> StoreAnswer {
    match rmp_serde::from_slice(bytes) {
        Ok(value) => StoreAnswer::Found(value),
        Err(_) => StoreAnswer::NotDone,
    }
}

fn store_failure(err: &StoreError) -> StoreAnswer {
    match err {
        StoreError::OutcomeUnknown { .. } => StoreAnswer::Lost,
        StoreError::NotSent { .. } | StoreError::Limited => StoreAnswer::NotDone,
    }
}

/// Allows at most `per_second` claims in each second of the entry's clock.
struct ClaimRateLimiter {
    per_second: u32,
    second: u64,
    count: u32,
}

impl ClaimRateLimiter {
    fn new(per_second: u32) -> Self {
        ClaimRateLimiter {
            per_second,
            second: 0,
            count: 0,
        }
    }

    fn try_take(&mut self, now: Millis) -> bool {
        let second = now / 1000;
        if second != self.second {
            self.second = second;
            self.count = 0;
        }
        self.count += 1;
        self.count <= self.per_second
    }
}
