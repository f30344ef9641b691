//! Requests that run at most once: the ledger and whoever waits on it.
//!
//! [`OnceBook`] keeps the ledger and the waiters under one lock, so that a
//! presentation either sees the record closed or is woken when it is. The lock
//! is never held across an await.

use std::collections::HashMap;

use hollowsail_clients::{Expect, StoreClient, StoreError, StoreReply};
use hollowsail_config::settings::Limits;
use hollowsail_ledger::claim::{Claim, ClaimStep, ClaimValue, Claimed, Progress, StoreAnswer};
use hollowsail_ledger::{
    Bounds, HandOver, Identity, Incarnation, Ledger, Millis, Presented, RecordId, Slot, Ticket,
};
use tokio::sync::oneshot;

use crate::answer::{AnswerBody, Refusal};
use crate::kinds::ErrorKind;

/// A kept answer: the caller's JSON body.
pub type KeptAnswer = Vec<u8>;

/// Times a claim asks the store before it gives up.
const MAX_CLAIM_STEPS: u32 = 4;

/// Ledger and waiters.
pub struct OnceBook {
    ledger: Ledger,
    waiters: HashMap<RecordId, Vec<oneshot::Sender<KeptAnswer>>>,
    claims: ClaimRate,
}

/// What a presentation leads to, with a way to wait.
pub enum Admission {
    /// Run it; the guard closes the record whatever happens.
    Run,
    Wait(oneshot::Receiver<KeptAnswer>),
    Answered(Presented),
}

impl OnceBook {
    pub fn new(incarnation: Incarnation, limits: &Limits) -> Self {
        let bounds = Bounds {
            records: limits.ledger_records,
            bytes: limits.ledger_bytes,
            ticket_ms: limits.ticket_ms,
            claim_ms: limits.claim_ms,
        };
        OnceBook {
            ledger: Ledger::new(incarnation, bounds),
            waiters: HashMap::new(),
            claims: ClaimRate::new(limits.claims_per_second),
        }
    }

    /// Makes tickets for an organisation.
    pub fn issue(&mut self, now: Millis, org: &str, count: usize) -> Vec<Ticket> {
        (0..count).map(|_| self.ledger.issue(now, org)).collect()
    }

    pub fn answers_for(&self, issuer: Incarnation) -> bool {
        self.ledger.answers_for(issuer)
    }

    /// Presents a ticket.
    pub fn present_ticket(&mut self, now: Millis, ticket: &Ticket, who: &Identity) -> Admission {
        let presented = self.ledger.present_ticket(now, ticket, who);
        self.admit(ticket_record(ticket), presented)
    }

    /// Presents a caller's own id; see [`Ledger::present_claim`] for `fresh`.
    pub fn present_claim(
        &mut self,
        now: Millis,
        id: RecordId,
        who: &Identity,
        fresh: bool,
    ) -> Admission {
        let presented = self.ledger.present_claim(now, id, who, fresh);
        self.admit(id, presented)
    }

    fn admit(&mut self, id: RecordId, presented: Presented) -> Admission {
        match presented {
            Presented::Run => Admission::Run,
            Presented::Wait => {
                let (tx, rx) = oneshot::channel();
                self.waiters.entry(id).or_default().push(tx);
                Admission::Wait(rx)
            }
            other => Admission::Answered(other),
        }
    }

    /// Closes a record and wakes whoever waits for it.
    pub fn close(&mut self, id: RecordId, answer: KeptAnswer) {
        self.wake(id, &answer);
        self.ledger.close(id, answer);
    }

    /// The record of a caller's own id, if it was opened here.
    pub fn find_claim(&self, id_hash: &[u8; 32]) -> Option<RecordId> {
        self.ledger.find_claim(id_hash)
    }

    fn wake(&mut self, id: RecordId, answer: &KeptAnswer) {
        for tx in self.waiters.remove(&id).unwrap_or_default() {
            let _ = tx.send(answer.clone());
        }
    }

    /// True when one more claim may be written this second.
    pub fn may_claim(&mut self, now: Millis) -> bool {
        self.claims.take(now)
    }

    /// Forgets what has expired; returns claims whose keys may go.
    pub fn housekeep(&mut self, now: Millis) -> Vec<[u8; 32]> {
        self.ledger.housekeep(now)
    }

    pub fn open_records(&self) -> usize {
        self.ledger.open_records()
    }

    pub fn records(&self) -> usize {
        self.ledger.len()
    }

    pub fn stop(&mut self) {
        self.ledger.stop();
    }

    pub fn hand_over(&mut self, now: Millis, may_hold: impl Fn(&str) -> bool) -> Option<HandOver> {
        self.ledger.hand_over(now, may_hold)
    }

    pub fn adopt(&mut self, now: Millis, hand_over: HandOver) -> bool {
        self.ledger.adopt(now, hand_over)
    }
}

/// Record of a ticket.
pub fn ticket_record(ticket: &Ticket) -> RecordId {
    RecordId {
        issuer: ticket.issuer,
        slot: Slot::Ticket(ticket.number),
    }
}

/// The answer for a presentation that neither runs nor waits, except for kept
/// answers, which are given again as they are.
pub fn refusal(request: &str, presented: &Presented) -> Refusal {
    use ErrorKind::*;
    match presented {
        Presented::OtherRequest => AnswerBody::refusal(
            request,
            TicketReused,
            "this ticket or id was used for another request",
        ),
        Presented::Expired => AnswerBody::unknown(
            request,
            TicketExpired,
            "the ticket or id is too old, and an earlier send may have run",
        ),
        Presented::AnswerDropped => {
            AnswerBody::unknown(request, AnswerDropped, "it ended, and its answer is gone")
        }
        Presented::Full => AnswerBody::refusal(request, LedgerFull, "the ledger is full"),
        Presented::Stopped => AnswerBody::refusal(request, Stopping, "this entry is stopping"),
        Presented::Refused => AnswerBody::refusal(
            request,
            TicketRefused,
            "it was refused before, and stays so",
        ),
        Presented::HandedOver => AnswerBody::unknown(
            request,
            Stopping,
            "this entry's ledger went to another entry, which alone can say",
        ),
        Presented::Unsure => AnswerBody::unknown(
            request,
            LedgerFull,
            "the ledger is full, and another send of it may still run",
        ),
        _ => AnswerBody::unknown(
            request,
            IssuerGone,
            "nobody answers for this ticket any more",
        ),
    }
}

/// Key under which a caller's id is claimed.
pub fn claim_key(id_hash: &[u8; 32]) -> String {
    format!("claim/{}", hex::encode(id_hash))
}

/// Claims an id in the store; `None` when the store cannot tell.
pub async fn claim(
    store: &StoreClient,
    id_hash: &[u8; 32],
    owner: Incarnation,
    nonce: u64,
) -> Option<Claimed> {
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
        Ok(StoreReply::Conflict { value, .. }) => found(&value),
        Ok(_) => StoreAnswer::Lost,
        Err(err) => unanswered(&err),
    }
}

async fn read(store: &StoreClient, key: &str) -> StoreAnswer {
    match store.get(key).await {
        Ok(Some((_, value))) => found(&value),
        Ok(None) => StoreAnswer::Absent,
        Err(err) => unanswered(&err),
    }
}

fn found(bytes: &[u8]) -> StoreAnswer {
    match rmp_serde::from_slice(bytes) {
        Ok(value) => StoreAnswer::Found(value),
        Err(_) => StoreAnswer::NotDone,
    }
}

fn unanswered(err: &StoreError) -> StoreAnswer {
    match err {
        StoreError::Unclear { .. } => StoreAnswer::Lost,
        StoreError::NotSent { .. } | StoreError::Limited => StoreAnswer::NotDone,
    }
}

/// At most so many claims in any second of this process's clock.
struct ClaimRate {
    per_second: u32,
    second: u64,
    taken: u32,
}

impl ClaimRate {
    fn new(per_second: u32) -> Self {
        ClaimRate {
            per_second,
            second: 0,
            taken: 0,
        }
    }

    fn take(&mut self, now: Millis) -> bool {
        let second = now / 1000;
        if second != self.second {
            self.second = second;
            self.taken = 0;
        }
        self.taken += 1;
        self.taken <= self.per_second
    }
}
