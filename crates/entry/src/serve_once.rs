//! Serves requests that run at most once.
//!
//! The ticket or idempotency key determines the entry whose ledger is responsible.
//! If that is this entry, the ledger decides whether to run the request, wait for a
//! run in progress or return a retained answer; otherwise the request is relayed. A
//! run is detached from the caller's connection and always closes its record, even
//! if the caller has disconnected.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_web::{HttpRequest, HttpResponse};
use hollowsail_ledger::claim::{is_id_claimable, ClaimOutcome};
use hollowsail_ledger::{Identity, Incarnation, PresentOutcome, RecordId, Slot, Ticket};
use rand::Rng;
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::answer::{AnswerBody, Refusal};
use crate::body::{self, SharedBody};
use crate::headers;
use crate::job::Job;
use crate::kinds::ErrorKind;
use crate::once_ledger::{self, Admission, RetainedAnswer};
use crate::open_record::OpenRecord;
use crate::origin::Origin;
use crate::pipeline;
use crate::relay::{self, RelayError};
use crate::streaming;
use crate::validate::ValidatedRequest;
use crate::worker::Worker;

/// Serves a request whose pipeline has a stage that must not be repeated.
pub async fn serve(
    worker: &Worker,
    req: &HttpRequest,
    validated: ValidatedRequest,
    body: SharedBody,
    origin: Origin,
) -> HttpResponse {
    let headers = req.headers();
    if let Some(text) = headers::text(headers, headers::TICKET) {
        return match parse_ticket(worker, &validated, text) {
            Ok(ticket) => serve_ticket(worker, req, validated, body, origin, ticket).await,
            Err(refusal) => refusal.into_response(),
        };
    }
    if let Some(key) = headers::text(headers, headers::IDEMPOTENCY_KEY) {
        return match parse_idempotency_key(worker, req, &validated, key) {
            Ok(key) => serve_idempotency_key(worker, req, validated, body, origin, key).await,
            Err(refusal) => refusal.into_response(),
        };
    }
    let message =
        "the pipeline runs at most once, and the request has no ticket or idempotency key";
    AnswerBody::refusal(&validated.request, ErrorKind::TicketRequired, message).into_response()
}

fn parse_ticket(
    worker: &Worker,
    validated: &ValidatedRequest,
    text: &str,
) -> Result<Ticket, Refusal> {
    let refuse = |message: String| {
        AnswerBody::refusal(&validated.request, ErrorKind::TicketInvalid, message)
    };
    let ticket = Ticket::decode(text, &worker.entry.settings.fleet_key)
        .map_err(|err| refuse(err.to_string()))?;
    if ticket.org != validated.org_name() {
        return Err(refuse(
            "the ticket was issued to another organisation".into(),
        ));
    }
    Ok(ticket)
}

async fn serve_ticket(
    worker: &Worker,
    req: &HttpRequest,
    validated: ValidatedRequest,
    body: SharedBody,
    origin: Origin,
    ticket: Ticket,
) -> HttpResponse {
    let responsible_here = worker
        .entry
        .once
        .lock()
        .expect("no panic while held")
        .is_responsible_for(ticket.issuer);
    if !responsible_here {
        return relay_to_owner(worker, req, &validated, body, origin, ticket.issuer, false).await;
    }
    let (job, identity, _) = match read_identified_job(worker, &validated, body).await {
        Ok(read) => read,
        Err(refusal) => return refusal.into_response(),
    };
    let id = once_ledger::ticket_record_id(&ticket);
    let admission = {
        let mut once = worker.entry.once.lock().expect("no panic while held");
        once.present_ticket(worker.entry.now(), &ticket, &identity)
    };
    respond(worker, req, job, id, admission).await
}

/// Reads the body; returns the job, the identity of the request and the raw bytes.
async fn read_identified_job(
    worker: &Worker,
    validated: &ValidatedRequest,
    body: SharedBody,
) -> Result<(Job, Identity, Vec<u8>), Refusal> {
    let (job, bytes) = body::read_job(worker, validated, body).await?;
    let mut hash = Sha256::new();
    hash.update(job.pipeline().name.as_bytes());
    hash.update([0]);
    hash.update(&bytes);
    let identity = Identity {
        org: job.org.clone(),
        digest: hash.finalize().into(),
    };
    Ok((job, identity, bytes))
}

/// Relays the request to the entry that is responsible for `owner`'s records. If it
/// can't be reached, it is unknown whether an earlier send ran.
async fn relay_to_owner(
    worker: &Worker,
    req: &HttpRequest,
    validated: &ValidatedRequest,
    body: SharedBody,
    origin: Origin,
    owner: Incarnation,
    claim_owner: bool,
) -> HttpResponse {
    let unknown = |message: &str| {
        AnswerBody::unknown(&validated.request, ErrorKind::IssuerGone, message).into_response()
    };
    if !origin.may_relay() {
        return unknown("the entry it was relayed to is not responsible for it");
    }
    let Some(member) = worker.entry.view().responsible_member(owner).cloned() else {
        return unknown("the entry that is responsible for it has left the fleet");
    };
    match relay::relay_to(worker, req, validated, body, &member, origin, claim_owner).await {
        Ok(response) => response,
        Err(RelayError::NotSent) => {
            unknown("the entry that is responsible for it cannot be reached")
        }
        Err(RelayError::Broken(reason)) => relay::interrupted_relay(&validated.request, &reason),
    }
}

/// Runs, waits or answers, as the ledger decided.
async fn respond(
    worker: &Worker,
    req: &HttpRequest,
    job: Job,
    id: RecordId,
    admission: Admission,
) -> HttpResponse {
    match admission {
        Admission::Run => run_detached(worker, req, job, id).await,
        Admission::Wait(rx) => wait_for_run(&job, rx).await,
        Admission::Answered(PresentOutcome::Retained(answer)) => respond_retained(&answer),
        Admission::Answered(other) => once_ledger::refusal(&job.request, &other).into_response(),
    }
}

async fn run_detached(worker: &Worker, req: &HttpRequest, job: Job, id: RecordId) -> HttpResponse {
    let record = OpenRecord::new(worker.entry.clone(), id, &job.request);
    if headers::accepts_events(req.headers()) {
        return streaming::respond_once(worker, job, record);
    }
    let (tx, rx) = oneshot::channel();
    let background = worker.clone();
    let running = job.clone();
    actix_rt::spawn(async move {
        let answer = pipeline::run(&background, &running, None).await;
        record.close(answer.to_bytes());
        let _ = tx.send(answer);
    });
    match rx.await {
        Ok(answer) => answer.into_response(),
        Err(_) => relay::interrupted_relay(&job.request, "the run ended without an answer"),
    }
}

/// Waits for the run in progress until the deadline of this request.
async fn wait_for_run(job: &Job, rx: oneshot::Receiver<RetainedAnswer>) -> HttpResponse {
    match timeout(job.remaining(), rx).await {
        Ok(Ok(answer)) => respond_retained(&answer),
        _ => {
            let message = "an earlier send of the request is still running";
            AnswerBody::unknown(&job.request, ErrorKind::DeadlineExceeded, message).into_response()
        }
    }
}

/// Responds with a retained answer.
fn respond_retained(bytes: &[u8]) -> HttpResponse {
    match serde_json::from_slice::<AnswerBody>(bytes) {
        Ok(answer) => answer.into_response(),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// An idempotency key whose age was checked.
struct IdempotencyKey {
    hash: [u8; 32],
    /// True when the relaying peer reports that this entry owns the claim.
    is_owner: bool,
}

fn parse_idempotency_key(
    worker: &Worker,
    req: &HttpRequest,
    validated: &ValidatedRequest,
    key: &str,
) -> Result<IdempotencyKey, Refusal> {
    let headers = req.headers();
    let sent_ms = headers::text(headers, headers::IDEMPOTENCY_TIME)
        .and_then(|text| text.parse::<u64>().ok())
        .ok_or_else(|| {
            let message = format!(
                "header {} is missing or malformed: it has to be the time at which this \
                 idempotency key was first sent, in milliseconds since 1970",
                headers::IDEMPOTENCY_TIME
            );
            AnswerBody::refusal(&validated.request, ErrorKind::BadRequest, message)
        })?;
    if !is_id_claimable(
        sent_ms,
        wall_clock_ms(),
        worker.entry.settings.limits.claim_ms,
    ) {
        let message = "the idempotency key was first sent too long ago, or in the future";
        return Err(AnswerBody::unknown(
            &validated.request,
            ErrorKind::TicketExpired,
            message,
        ));
    }
    let mut hash = Sha256::new();
    for part in [validated.org_name(), key, &sent_ms.to_string()] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    Ok(IdempotencyKey {
        hash: hash.finalize().into(),
        is_owner: headers::text(headers, headers::CLAIM_OWNER).is_some(),
    })
}

fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

async fn serve_idempotency_key(
    worker: &Worker,
    req: &HttpRequest,
    validated: ValidatedRequest,
    body: SharedBody,
    origin: Origin,
    key: IdempotencyKey,
) -> HttpResponse {
    let (job, identity, bytes) = match read_identified_job(worker, &validated, body).await {
        Ok(read) => read,
        Err(refusal) => return refusal.into_response(),
    };
    let claimed = if origin.is_peer() && key.is_owner {
        ClaimOutcome::Theirs(worker.entry.incarnation)
    } else {
        match claim_key(worker, &validated, &key).await {
            Ok(claimed) => claimed,
            Err(refusal) => return refusal.into_response(),
        }
    };
    match claimed {
        ClaimOutcome::Theirs(owner) if owner != worker.entry.incarnation => {
            let body = SharedBody::from_bytes(bytes);
            relay_to_owner(worker, req, &validated, body, origin, owner, true).await
        }
        claimed => {
            let fresh = claimed == ClaimOutcome::Ours;
            let (id, admission) = present_key(worker, &job, &identity, &key.hash, fresh).await;
            respond(worker, req, job, id, admission).await
        }
    }
}

/// Retries while the record of a claimed key isn't open yet.
const SETTLE_RETRIES: u32 = 5;
/// Pause between two retries.
const SETTLE_PAUSE: Duration = Duration::from_millis(20);

/// Presents an idempotency key whose claim this entry owns. A duplicate that arrives
/// between the claim and the opening of its record finds none yet, and retries a few
/// times before the answer is "unknown".
async fn present_key(
    worker: &Worker,
    job: &Job,
    identity: &Identity,
    hash: &[u8; 32],
    fresh: bool,
) -> (RecordId, Admission) {
    let mut tries = 0;
    loop {
        let (id, admission) = {
            let mut once = worker.entry.once.lock().expect("no panic while held");
            let id = once.find_claim(hash).unwrap_or(RecordId {
                issuer: worker.entry.incarnation,
                slot: Slot::Claim(*hash),
            });
            (
                id,
                once.present_claim(worker.entry.now(), id, identity, fresh),
            )
        };
        tries += 1;
        let missing = matches!(admission, Admission::Answered(PresentOutcome::Expired));
        if !missing || tries > SETTLE_RETRIES || job.remaining() <= SETTLE_PAUSE {
            return (id, admission);
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
}

/// Claims the idempotency key in the store, unless this entry has a record of it.
async fn claim_key(
    worker: &Worker,
    validated: &ValidatedRequest,
    key: &IdempotencyKey,
) -> Result<ClaimOutcome, Refusal> {
    let unavailable = |message: &str| {
        AnswerBody::unknown(&validated.request, ErrorKind::ClaimUnavailable, message)
    };
    let Some(store) = &worker.store else {
        return Err(unavailable(
            "this entry has no store, so it cannot claim idempotency keys",
        ));
    };
    {
        let mut once = worker.entry.once.lock().expect("no panic while held");
        if once.find_claim(&key.hash).is_some() {
            return Ok(ClaimOutcome::Theirs(worker.entry.incarnation));
        }
        if !once.try_take_claim(worker.entry.now()) {
            return Err(unavailable(
                "this entry has reached its limit of claims per second",
            ));
        }
    }
    let nonce = rand::rng().random();
    let claim = once_ledger::claim(store, &key.hash, worker.entry.incarnation, nonce);
    match timeout(validated.remaining(), claim).await {
        Ok(Some(claimed)) => Ok(claimed),
        _ => Err(unavailable(
            "the store did not report whether the idempotency key was used before",
        )),
    }
}
