//! HTTP interface for peers: gossip exchanges, configurations, relayed requests, and
//! the ledgers of stopping entries.

use actix_web::{web, HttpRequest, HttpResponse};
use hollowsail_config::chunk::ChunkHash;
use hollowsail_fleet::Exchange;
use hollowsail_ledger::HandOver;
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::auth::is_peer;
use crate::callers;
use crate::control::config_sync::{ChunkReply, ChunkRequest};
use crate::control::ReceivedExchange;
use crate::events;
use crate::headers;
use crate::origin::Origin;
use crate::tickets::{self, TicketQuery};
use crate::worker::Worker;

/// Maximum body size of a peer's request, in bytes.
pub const MAX_PEER_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Routes of the peers' listener.
pub fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/peer/exchange", web::post().to(exchange))
        .route("/peer/configuration", web::post().to(configuration))
        .route("/peer/ledger", web::post().to(adopt_ledger))
        .route("/peer/v1/pipelines/{name}", web::post().to(relayed))
        .route("/peer/v1/tickets", web::post().to(relayed_tickets));
}

fn is_authorized(worker: &Worker, req: &HttpRequest) -> bool {
    is_peer(req.headers(), &worker.entry.settings.fleet_key)
}

fn unauthorized() -> HttpResponse {
    HttpResponse::Unauthorized().body("missing or wrong peer token; check the fleet key\n")
}

/// Decodes a peer's message; the error is the response to send.
fn decode<T: DeserializeOwned>(
    worker: &Worker,
    req: &HttpRequest,
    body: &[u8],
) -> Result<T, Box<HttpResponse>> {
    if !is_authorized(worker, req) {
        return Err(Box::new(unauthorized()));
    }
    rmp_serde::from_slice(body).map_err(|err| {
        let message = format!("malformed message: {err}; peers have to run the same version\n");
        Box::new(HttpResponse::BadRequest().body(message))
    })
}

fn reply<T: Serialize>(message: &T) -> HttpResponse {
    match rmp_serde::to_vec(message) {
        Ok(bytes) => HttpResponse::Ok().body(bytes),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

async fn exchange(worker: web::Data<Worker>, req: HttpRequest, body: web::Bytes) -> HttpResponse {
    let message: Exchange = match decode(&worker, &req, &body) {
        Ok(message) => message,
        Err(answer) => return *answer,
    };
    match worker.control.send(ReceivedExchange(message)).await {
        Ok(answer) => reply(&answer.0),
        Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn configuration(
    worker: web::Data<Worker>,
    req: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let request: ChunkRequest = match decode(&worker, &req, &body) {
        Ok(message) => message,
        Err(answer) => return *answer,
    };
    let Some(configuration) = worker.entry.configuration() else {
        return HttpResponse::NotFound().finish();
    };
    let chunks: Option<Vec<ByteBuf>> = request
        .hashes
        .iter()
        .map(|hash| {
            let hash: ChunkHash = hash.as_slice().try_into().ok()?;
            let bytes = configuration.chunks.get(&hash)?;
            Some(ByteBuf::from(bytes.as_slice()))
        })
        .collect();
    match chunks {
        Some(chunks) => reply(&ChunkReply {
            head: configuration.head.clone(),
            chunks,
        }),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn adopt_ledger(
    worker: web::Data<Worker>,
    req: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let hand_over: HandOver = match decode(&worker, &req, &body) {
        Ok(message) => message,
        Err(answer) => return *answer,
    };
    let from = hand_over.from;
    let records: usize = hand_over.issuers.iter().map(|i| i.records.len()).sum();
    let adopted = {
        let mut once = worker.entry.once.lock().expect("no panic while held");
        once.adopt(worker.entry.now(), hand_over)
    };
    if !adopted {
        return HttpResponse::Conflict()
            .body("this entry is stopping too; choose another successor\n");
    }
    worker.entry.log(
        events::ADOPTED_LEDGER,
        format_args!("from={from:x} records={records}"),
    );
    HttpResponse::Ok().finish()
}

fn peer_origin(req: &HttpRequest) -> Origin {
    Origin {
        hops: headers::hops(req.headers()),
    }
}

async fn relayed(
    worker: web::Data<Worker>,
    req: HttpRequest,
    name: web::Path<String>,
    body: web::Payload,
) -> HttpResponse {
    if !is_authorized(&worker, &req) {
        return unauthorized();
    }
    callers::serve(&worker, &req, &name, body, peer_origin(&req)).await
}

async fn relayed_tickets(
    worker: web::Data<Worker>,
    req: HttpRequest,
    query: web::Query<TicketQuery>,
    body: web::Payload,
) -> HttpResponse {
    if !is_authorized(&worker, &req) {
        return unauthorized();
    }
    tickets::issue(&worker, &req, &query, body, peer_origin(&req)).await
}
