//! The callers' interface: `POST /v1/pipelines/{name}`, `POST /v1/tickets`,
//! `GET /health`. Peers use the same handlers under `/peer` for requests that
//! they pass on.
//!
//! A request is judged from its headers first: organisation, pipeline,
//! deadline, and whether this entry may serve it at all. Only then is its body
//! read, checked, and run.

use actix_web::{web, HttpRequest, HttpResponse};
use hollowsail_fleet::Standing;

use crate::answer::AnswerBody;
use crate::body::{read_job, SharedBody};
use crate::headers;
use crate::job::Job;
use crate::judge::{
    judge, no_permitted_entry, permitted_entries, serves_here, true_refusal, Judged,
};
use crate::kinds::ErrorKind;
use crate::permit;
use crate::pipeline;
use crate::relay::{pass_on, relay_broken, RelayError};
use crate::sender::Sender;
use crate::streaming;
use crate::tickets;
use crate::view::InFlight;
use crate::worker::Worker;

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
