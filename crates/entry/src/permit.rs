//! Serving a request that runs at most once.
//!
//! The ticket, or the caller's own id, decides which entry's ledger answers.
//! Here, the ledger says run, wait, or answer again; elsewhere, the request is
//! passed on unread. A run is detached from its caller's connection: once it
//! has begun it ends in the ledger, whether or not anybody still listens.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_web::{HttpRequest, HttpResponse};
use hollowsail_ledger::claim::{id_is_young, Claimed};
use hollowsail_ledger::{Identity, Incarnation, Presented, RecordId, Slot, Ticket};
use rand::Rng;
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::answer::{AnswerBody, Refusal};
use crate::body::{self, SharedBody};
use crate::headers;
use crate::job::Job;
use crate::judge::Judged;
use crate::kinds::ErrorKind;
use crate::once::{self, Admission, KeptAnswer};
use crate::open_record::OpenRecord;
use crate::pipeline;
use crate::relay::{self, RelayError};
use crate::sender::Sender;
use crate::streaming;
use crate::worker::Worker;

/// Serves a request whose pipeline holds a stage that must not be repeated.
pub async fn serve_once(
    worker: &Worker,
    req: &HttpRequest,
    judged: Judged,
    body: SharedBody,
    sender: Sender,
) -> HttpResponse {
    let headers = req.headers();
    if let Some(text) = headers::text(headers, headers::TICKET) {
        return match read_ticket(worker, &judged, text) {
            Ok(ticket) => serve_ticket(worker, req, judged, body, sender, ticket).await,
            Err(refusal) => refusal.into_response(),
        };
    }
    if let Some(id) = headers::text(headers, headers::IDEMPOTENCY_KEY) {
        return match read_own_id(worker, req, &judged, id) {
            Ok(id) => serve_own_id(worker, req, judged, body, sender, id).await,
            Err(refusal) => refusal.into_response(),
        };
    }
    let message = "this pipeline runs once, and no ticket or id came with the request";
    AnswerBody::refusal(&judged.request, ErrorKind::TicketRequired, message).into_response()
}

fn read_ticket(worker: &Worker, judged: &Judged, text: &str) -> Result<Ticket, Refusal> {
    let refuse =
        |message: String| AnswerBody::refusal(&judged.request, ErrorKind::TicketInvalid, message);
    let ticket = Ticket::decode(text, &worker.entry.settings.fleet_key)
        .map_err(|err| refuse(err.to_string()))?;
    if ticket.org != judged.org_name() {
        return Err(refuse("the ticket is another organisation's".into()));
    }
    Ok(ticket)
}

async fn serve_ticket(
    worker: &Worker,
    req: &HttpRequest,
    judged: Judged,
    body: SharedBody,
    sender: Sender,
    ticket: Ticket,
) -> HttpResponse {
    let answers_here = worker
        .entry
        .once
        .lock()
        .expect("no panic while held")
        .answers_for(ticket.issuer);
    if !answers_here {
        return pass_to_owner(worker, req, &judged, body, sender, ticket.issuer, false).await;
    }
    let (job, who, _) = match read_identified(worker, &judged, body).await {
        Ok(read) => read,
        Err(refusal) => return refusal.into_response(),
    };
    let id = once::ticket_record(&ticket);
    let admission = {
        let mut once = worker.entry.once.lock().expect("no panic while held");
        once.present_ticket(worker.entry.now(), &ticket, &who)
    };
    conclude(worker, req, job, id, admission).await
}

/// Reads the body: the job, who asks what, and the raw bytes.
async fn read_identified(
    worker: &Worker,
    judged: &Judged,
    body: SharedBody,
) -> Result<(Job, Identity, Vec<u8>), Refusal> {
    let (job, bytes) = body::read_job(worker, judged, body).await?;
    let mut hash = Sha256::new();
    hash.update(job.pipeline().name.as_bytes());
    hash.update([0]);
    hash.update(&bytes);
    let who = Identity {
        org: job.org.clone(),
        digest: hash.finalize().into(),
    };
    Ok((job, who, bytes))
}

/// Passes the request on to whoever answers for `owner`; when nobody does,
/// whether an earlier send ran is unknown.
async fn pass_to_owner(
    worker: &Worker,
    req: &HttpRequest,
    judged: &Judged,
    body: SharedBody,
    sender: Sender,
    owner: Incarnation,
    claim_owner: bool,
) -> HttpResponse {
    let gone = |message: &str| {
        AnswerBody::unknown(&judged.request, ErrorKind::IssuerGone, message).into_response()
    };
    if !sender.may_pass_on() {
        return gone("the entry it was passed on to does not answer for it");
    }
    let Some(member) = worker.entry.view().answering(owner).cloned() else {
        return gone("the entry that answers for it is gone");
    };
    match relay::pass_on(worker, req, judged, body, &member, sender, claim_owner).await {
        Ok(response) => response,
        Err(RelayError::NotSent) => gone("the entry that answers for it cannot be reached"),
        Err(RelayError::Broken(reason)) => relay::relay_broken(&judged.request, &reason),
    }
}

/// Carries out what the ledger said.
async fn conclude(
    worker: &Worker,
    req: &HttpRequest,
    job: Job,
    id: RecordId,
    admission: Admission,
) -> HttpResponse {
    match admission {
        Admission::Run => run_detached(worker, req, job, id).await,
        Admission::Wait(rx) => wait(&job, rx).await,
        Admission::Answered(Presented::Kept(answer)) => answer_kept(&answer),
        Admission::Answered(other) => once::refusal(&job.request, &other).into_response(),
    }
}

async fn run_detached(worker: &Worker, req: &HttpRequest, job: Job, id: RecordId) -> HttpResponse {
    let record = OpenRecord::new(worker.entry.clone(), id, &job.request);
    if headers::wants_events(req.headers()) {
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
        Err(_) => relay::relay_broken(&job.request, "the run ended early"),
    }
}

/// Waits for a run under way, no longer than this presenter's deadline.
async fn wait(job: &Job, rx: oneshot::Receiver<KeptAnswer>) -> HttpResponse {
    match timeout(job.remaining(), rx).await {
        Ok(Ok(answer)) => answer_kept(&answer),
        _ => {
            let message = "an earlier send of it is still running";
            AnswerBody::unknown(&job.request, ErrorKind::DeadlineExceeded, message).into_response()
        }
    }
}

/// Gives a kept answer again, as it was.
fn answer_kept(bytes: &[u8]) -> HttpResponse {
    match serde_json::from_slice::<AnswerBody>(bytes) {
        Ok(answer) => answer.into_response(),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// A caller's own id, checked for age.
struct OwnId {
    hash: [u8; 32],
    /// This entry is told that it owns the claim.
    owned: bool,
}

fn read_own_id(
    worker: &Worker,
    req: &HttpRequest,
    judged: &Judged,
    id: &str,
) -> Result<OwnId, Refusal> {
    let headers = req.headers();
    let sent = headers::text(headers, headers::IDEMPOTENCY_TIME)
        .and_then(|text| text.parse::<u64>().ok())
        .ok_or_else(|| {
            let message = format!(
                "{} does not say when this id was first sent, in milliseconds since 1970",
                headers::IDEMPOTENCY_TIME
            );
            AnswerBody::refusal(&judged.request, ErrorKind::BadRequest, message)
        })?;
    if !id_is_young(sent, wall_clock_ms(), worker.entry.settings.limits.claim_ms) {
        let message = "the id was first sent too long ago, or in the future";
        return Err(AnswerBody::unknown(
            &judged.request,
            ErrorKind::TicketExpired,
            message,
        ));
    }
    let mut hash = Sha256::new();
    for part in [judged.org_name(), id, &sent.to_string()] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part.as_bytes());
    }
    Ok(OwnId {
        hash: hash.finalize().into(),
        owned: headers::text(headers, headers::CLAIM_OWNER).is_some(),
    })
}

fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

async fn serve_own_id(
    worker: &Worker,
    req: &HttpRequest,
    judged: Judged,
    body: SharedBody,
    sender: Sender,
    own_id: OwnId,
) -> HttpResponse {
    let (job, who, bytes) = match read_identified(worker, &judged, body).await {
        Ok(read) => read,
        Err(refusal) => return refusal.into_response(),
    };
    let claimed = if sender.is_peer() && own_id.owned {
        Claimed::Theirs(worker.entry.incarnation)
    } else {
        match claim_id(worker, &judged, &own_id).await {
            Ok(claimed) => claimed,
            Err(refusal) => return refusal.into_response(),
        }
    };
    match claimed {
        Claimed::Theirs(owner) if owner != worker.entry.incarnation => {
            let body = SharedBody::of_bytes(bytes);
            pass_to_owner(worker, req, &judged, body, sender, owner, true).await
        }
        claimed => {
            let fresh = claimed == Claimed::Ours;
            let (id, admission) = present_own_id(worker, &job, &who, &own_id.hash, fresh).await;
            conclude(worker, req, job, id, admission).await
        }
    }
}

/// Times a presenter looks again for a record that its owner is about to open.
const SETTLE_TRIES: u32 = 5;
/// Pause between two looks.
const SETTLE_PAUSE: Duration = Duration::from_millis(20);

/// Presents an id whose claim this entry owns. Between the claim and the
/// opening of its record lies a moment in which a second presenter finds
/// nothing yet; it looks again before it answers "unknown".
async fn present_own_id(
    worker: &Worker,
    job: &Job,
    who: &Identity,
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
            (id, once.present_claim(worker.entry.now(), id, who, fresh))
        };
        tries += 1;
        let missing = matches!(admission, Admission::Answered(Presented::Expired));
        if !missing || tries > SETTLE_TRIES || job.remaining() <= SETTLE_PAUSE {
            return (id, admission);
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
}

/// Claims the id in the store, unless this entry knows it already.
async fn claim_id(worker: &Worker, judged: &Judged, own_id: &OwnId) -> Result<Claimed, Refusal> {
    let unavailable =
        |message: &str| AnswerBody::unknown(&judged.request, ErrorKind::ClaimUnavailable, message);
    let Some(store) = &worker.store else {
        return Err(unavailable("no store is set, so an id cannot be claimed"));
    };
    {
        let mut once = worker.entry.once.lock().expect("no panic while held");
        if once.find_claim(&own_id.hash).is_some() {
            return Ok(Claimed::Theirs(worker.entry.incarnation));
        }
        if !once.may_claim(worker.entry.now()) {
            return Err(unavailable("this entry writes no more claims this second"));
        }
    }
    let nonce = rand::rng().random();
    let claim = once::claim(store, &own_id.hash, worker.entry.incarnation, nonce);
    match timeout(judged.remaining(), claim).await {
        Ok(Some(claimed)) => Ok(claimed),
        _ => Err(unavailable("the store cannot say whether the id was used")),
    }
}
