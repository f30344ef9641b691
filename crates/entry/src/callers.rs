//! The callers' interface: `POST /v1/pipelines/{name}`, `POST /v1/tickets`,
//! `GET /health`. Peers use the same handlers under `/peer` for requests that
//! they pass on.
//!
//! A request is judged from its headers first: organisation, pipeline,
//! deadline, and whether this entry may serve it at all. Only then is its body
//! read, checked, and run.

use actix_web::{web, HttpRequest, HttpResponse};
use futures_util::StreamExt;
use hollowsail_fleet::{Member, Standing};
use serde::Deserialize;
use serde_json::Value;
use tokio::time::timeout;

use crate::answer::{AnswerBody, Refusal};
use crate::headers;
use crate::judge::{
    judge, no_permitted_entry, permitted_entries, serves_here, true_refusal, Judged,
};
use crate::kinds::ErrorKind;
use crate::permit;
use crate::pipeline::{self, Job};
use crate::relay::{self, Relay, RelayError, SharedBody};
use crate::streaming;
use crate::tickets;
use crate::view::InFlight;
use crate::worker::Worker;

/// Body of a pipeline request.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RequestBody {
    input: Value,
    session: Option<String>,
}

/// How a request came to this entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sender {
    /// Times it was passed on; 0 when it came from its caller.
    pub hops: u8,
}

/// Twice: to a permitted hall, and there to the owner of a ticket or id.
const MAX_HOPS: u8 = 2;

impl Sender {
    pub const CALLER: Sender = Sender { hops: 0 };

    pub fn is_peer(self) -> bool {
        self.hops > 0
    }

    /// True while it may be passed on; the bound keeps views that differ from
    /// making a loop.
    pub fn may_pass_on(self) -> bool {
        self.hops < MAX_HOPS
    }
}

/// Routes of the callers' listener.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/pipelines/{name}", web::post().to(from_caller))
        .route("/v1/tickets", web::post().to(tickets::tickets_for_caller))
        .route("/health", web::get().to(health));
}

async fn from_caller(
    worker: web::Data<Worker>,
    req: HttpRequest,
    name: web::Path<String>,
    body: web::Payload,
) -> HttpResponse {
    serve(&worker, &req, &name, body, Sender::CALLER).await
}

/// The balancer's check: 200 while new requests are welcome.
async fn health(worker: web::Data<Worker>) -> HttpResponse {
    let view = worker.entry.view();
    // An entry that has peers cannot pass requests on before it knows them.
    let ready = worker.entry.knows_peers();
    let welcome = view.standing == Standing::InTouch && !view.is_stopping() && ready;
    if welcome {
        HttpResponse::Ok().body("ok\n")
    } else {
        HttpResponse::ServiceUnavailable().body("takes no new requests\n")
    }
}

/// Serves one request, here or through the entry that may.
pub async fn serve(
    worker: &Worker,
    req: &HttpRequest,
    name: &str,
    body: web::Payload,
    sender: Sender,
) -> HttpResponse {
    let request = match headers::request_id(req.headers()) {
        Ok(request) => request,
        Err(message) => {
            return AnswerBody::refusal("-", ErrorKind::BadRequest, message).into_response()
        }
    };
    let _counted = InFlight::new(&worker.entry.in_flight);
    match judge(worker, req.headers(), &request, name) {
        Ok(judged) => admit(worker, req, judged, body, sender).await,
        Err(refusal) => true_refusal(req.headers(), refusal).into_response(),
    }
}

async fn admit(
    worker: &Worker,
    req: &HttpRequest,
    judged: Judged,
    body: web::Payload,
    sender: Sender,
) -> HttpResponse {
    let body = SharedBody::new(body);
    let permitted = serves_here(worker, &judged);
    if !permitted && sender.is_peer() {
        return true_refusal(req.headers(), no_permitted_entry(&judged)).into_response();
    }
    if !permitted {
        return relay_to_permitted(worker, req, &judged, body).await;
    }
    let runs_once = judged
        .configuration
        .deployment
        .pipeline(judged.pipeline)
        .runs_once();
    if runs_once {
        return permit::serve_once(worker, req, judged, body, sender).await;
    }
    match read_job(worker, &judged, body).await {
        Ok((job, _)) => answer(worker, req, job).await,
        Err(refusal) => refusal.into_response(),
    }
}

async fn answer(worker: &Worker, req: &HttpRequest, job: Job) -> HttpResponse {
    if headers::wants_events(req.headers()) {
        return streaming::respond(worker, job);
    }
    pipeline::run(worker, &job, None).await.into_response()
}

async fn relay_to_permitted(
    worker: &Worker,
    req: &HttpRequest,
    judged: &Judged,
    body: SharedBody,
) -> HttpResponse {
    for member in permitted_entries(worker, judged) {
        let relay = pass_on(
            worker,
            req,
            judged,
            body.clone(),
            &member,
            Sender::CALLER,
            false,
        );
        match relay.await {
            Ok(response) => return response,
            Err(RelayError::NotSent) => {}
            Err(RelayError::Broken(reason)) => return relay_broken(&judged.request, &reason),
        }
    }
    true_refusal(req.headers(), no_permitted_entry(judged)).into_response()
}

/// The other entry may be running the request: nothing is known of it.
pub fn relay_broken(request: &str, reason: &str) -> HttpResponse {
    let message = format!("the entry that has the request did not answer: {reason}");
    AnswerBody::unknown(request, ErrorKind::RelayFailed, message).into_response()
}

/// Passes a request on under the peers' path.
pub async fn pass_on(
    worker: &Worker,
    req: &HttpRequest,
    judged: &Judged,
    body: SharedBody,
    member: &Member,
    sender: Sender,
    claim_owner: bool,
) -> Result<HttpResponse, RelayError> {
    let path = format!("/peer{}", req.path().trim_start_matches("/peer"));
    let relay = Relay {
        path: &path,
        request: &judged.request,
        headers: req.headers(),
        body,
        remaining: judged.remaining(),
        hops: sender.hops + 1,
        claim_owner,
    };
    relay::relay(worker, member, &relay).await
}

/// Reads and checks the body; returns the job and the raw bytes.
pub async fn read_job(
    worker: &Worker,
    judged: &Judged,
    body: SharedBody,
) -> Result<(Job, Vec<u8>), Refusal> {
    let refuse = |kind, message: String| AnswerBody::refusal(&judged.request, kind, message);
    let limit = worker.entry.settings.limits.max_body_bytes;
    let bytes = timeout(judged.remaining(), read_body(body, limit))
        .await
        .unwrap_or_else(|_| {
            let message = "the body did not come in time".to_string();
            Err((ErrorKind::DeadlineExceeded, message))
        })
        .map_err(|(kind, message)| refuse(kind, message))?;
    let parsed: RequestBody = serde_json::from_slice(&bytes).map_err(|err| {
        let message = format!("the body is not a valid request: {err}");
        refuse(ErrorKind::BadRequest, message)
    })?;
    let job = Job {
        request: judged.request.clone(),
        run: worker.entry.new_run_id(),
        org: judged.org_name().to_string(),
        configuration: judged.configuration.clone(),
        pipeline: judged.pipeline,
        accepted: judged.accepted,
        deadline: judged.deadline,
        session: parsed.session,
        input: parsed.input,
    };
    Ok((job, bytes))
}

async fn read_body(mut body: SharedBody, limit: usize) -> Result<Vec<u8>, (ErrorKind, String)> {
    let mut bytes = Vec::new();
    while let Some(piece) = body.next().await {
        let piece = piece.map_err(|err| {
            let message = format!("the body broke off: {err}");
            (ErrorKind::BadRequest, message)
        })?;
        if bytes.len() + piece.len() > limit {
            let message = format!("the body has more than {limit} bytes");
            return Err((ErrorKind::BodyTooLarge, message));
        }
        bytes.extend_from_slice(&piece);
    }
    Ok(bytes)
}
