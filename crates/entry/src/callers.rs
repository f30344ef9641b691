//! HTTP interface for callers: `POST /v1/pipelines/{name}`, `POST /v1/tickets` and
//! `GET /health`. Peers use the same handlers under `/peer` for relayed requests.
//!
//! The headers are validated first, and whether this entry may serve the request at
//! all; only then is the body read and the request run.

use actix_web::{web, HttpRequest, HttpResponse};
use hollowsail_fleet::Connectivity;

use crate::answer::AnswerBody;
use crate::body::{read_job, SharedBody};
use crate::headers;
use crate::job::Job;
use crate::kinds::ErrorKind;
use crate::origin::Origin;
use crate::pipeline;
use crate::relay::{interrupted_relay, relay_to, RelayError};
use crate::serve_once;
use crate::streaming;
use crate::tickets;
use crate::validate::{
    is_permitted_here, no_permitted_entry, permitted_entries, validate, with_possible_earlier_send,
    ValidatedRequest,
};
use crate::view::InFlight;
use crate::worker::Worker;

/// Routes of the callers' listener.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/pipelines/{name}", web::post().to(from_caller))
        .route("/v1/tickets", web::post().to(tickets::handle_caller))
        .route("/health", web::get().to(health));
}

async fn from_caller(
    worker: web::Data<Worker>,
    req: HttpRequest,
    name: web::Path<String>,
    body: web::Payload,
) -> HttpResponse {
    serve(&worker, &req, &name, body, Origin::CALLER).await
}

/// Health check of the balancer: 200 while this entry accepts new requests.
async fn health(worker: web::Data<Worker>) -> HttpResponse {
    let view = worker.entry.view();
    // Before it has joined, an entry can't relay requests.
    let ready = worker.entry.has_joined_fleet();
    let accepts = view.connectivity == Connectivity::InTouch && !view.is_stopping() && ready;
    if accepts {
        HttpResponse::Ok().body("ok\n")
    } else {
        HttpResponse::ServiceUnavailable().body("this entry accepts no new requests\n")
    }
}

/// Serves a request, here or by relaying it to a permitted entry.
pub async fn serve(
    worker: &Worker,
    req: &HttpRequest,
    name: &str,
    body: web::Payload,
    origin: Origin,
) -> HttpResponse {
    let request = match headers::request_id(req.headers()) {
        Ok(request) => request,
        Err(message) => {
            return AnswerBody::refusal("-", ErrorKind::BadRequest, message).into_response()
        }
    };
    let _in_flight = InFlight::new(&worker.entry.in_flight);
    match validate(worker, req.headers(), &request, name) {
        Ok(validated) => serve_validated(worker, req, validated, body, origin).await,
        Err(refusal) => with_possible_earlier_send(req.headers(), refusal).into_response(),
    }
}

async fn serve_validated(
    worker: &Worker,
    req: &HttpRequest,
    validated: ValidatedRequest,
    body: web::Payload,
    origin: Origin,
) -> HttpResponse {
    let body = SharedBody::new(body);
    let permitted = is_permitted_here(worker, &validated);
    if !permitted && origin.is_peer() {
        return with_possible_earlier_send(req.headers(), no_permitted_entry(&validated))
            .into_response();
    }
    if !permitted {
        return relay_to_permitted(worker, req, &validated, body).await;
    }
    let runs_once = validated
        .configuration
        .deployment
        .pipeline(validated.pipeline)
        .runs_once();
    if runs_once {
        return serve_once::serve(worker, req, validated, body, origin).await;
    }
    match read_job(worker, &validated, body).await {
        Ok((job, _)) => run_job(worker, req, job).await,
        Err(refusal) => refusal.into_response(),
    }
}

async fn run_job(worker: &Worker, req: &HttpRequest, job: Job) -> HttpResponse {
    if headers::accepts_events(req.headers()) {
        return streaming::respond(worker, job);
    }
    pipeline::run(worker, &job, None).await.into_response()
}

async fn relay_to_permitted(
    worker: &Worker,
    req: &HttpRequest,
    validated: &ValidatedRequest,
    body: SharedBody,
) -> HttpResponse {
    for member in permitted_entries(worker, validated) {
        let relay = relay_to(
            worker,
            req,
            validated,
            body.clone(),
            &member,
            Origin::CALLER,
            false,
        );
        match relay.await {
            Ok(response) => return response,
            Err(RelayError::NotSent) => {}
            Err(RelayError::Broken(reason)) => {
                return interrupted_relay(&validated.request, &reason)
            }
        }
    }
    with_possible_earlier_send(req.headers(), no_permitted_entry(validated)).into_response()
}
