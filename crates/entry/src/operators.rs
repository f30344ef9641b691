//! HTTP interface for operators: apply, status, drain and metrics.
//!
//! All but metrics require the operators' bearer key.

use actix_web::{web, HttpRequest, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::apply::{self, ApplyRequest};
use crate::auth::is_operator;
use crate::control::{Drain, Status};
use crate::metrics;
use crate::worker::Worker;

/// Maximum body size of an apply request, in bytes.
pub const MAX_APPLY_BYTES: usize = 16 * 1024 * 1024;

/// Body of a drain request.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// Name of the target to drain.
    pub host: String,
}

/// Routes of the operators' listener.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.app_data(web::JsonConfig::default().limit(MAX_APPLY_BYTES))
        .route("/v1/configuration", web::post().to(apply_configuration))
        .route("/v1/status", web::get().to(status))
        .route("/v1/drain", web::post().to(drain))
        .route("/metrics", web::get().to(scrape));
}

fn is_authorized(worker: &Worker, req: &HttpRequest) -> bool {
    is_operator(req.headers(), &worker.entry.settings.operator_key)
}

fn unauthorized() -> HttpResponse {
    HttpResponse::Unauthorized().body("send the operators' key as a bearer token\n")
}

async fn apply_configuration(
    worker: web::Data<Worker>,
    req: HttpRequest,
    body: web::Json<ApplyRequest>,
) -> HttpResponse {
    if !is_authorized(&worker, &req) {
        return unauthorized();
    }
    let result = apply::apply(&worker, body.into_inner()).await;
    HttpResponse::build(result.status()).json(result)
}

async fn status(worker: web::Data<Worker>, req: HttpRequest) -> HttpResponse {
    if !is_authorized(&worker, &req) {
        return unauthorized();
    }
    match worker.control.send(Status).await {
        Ok(reply) => HttpResponse::Ok().json(reply.0),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn drain(
    worker: web::Data<Worker>,
    req: HttpRequest,
    body: web::Json<DrainRequest>,
) -> HttpResponse {
    if !is_authorized(&worker, &req) {
        return unauthorized();
    }
    let name = body.into_inner().host;
    let exists = worker
        .entry
        .configuration()
        .is_some_and(|c| c.deployment.targets.iter().any(|t| t.name == name));
    if !exists {
        let message = format!("unknown target {name}; see `hollowsail status`\n");
        return HttpResponse::NotFound().body(message);
    }
    match worker.control.send(Drain(name)).await {
        Ok(()) => HttpResponse::Ok().json(serde_json::json!({})),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// Needs no key: metrics contain names and counts only.
async fn scrape() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(metrics::render())
}
