//! Issuing tickets, here or at an entry that may serve the organisation.

use std::time::{Duration, Instant};

use actix_web::{web, HttpRequest, HttpResponse};
use hollowsail_config::PipelineKey;
use serde::{Deserialize, Serialize};

use crate::answer::AnswerBody;
use crate::auth;
use crate::body::SharedBody;
use crate::judge::{no_permitted_entry, permitted_entries, serves_here, Judged};
use crate::kinds::ErrorKind;
use crate::relay::{self, Relay};
use crate::sender::Sender;
use crate::worker::Worker;

/// Most tickets of one call.
const MAX_TICKETS: usize = 1000;

/// Body of a ticket answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct Tickets {
    pub tickets: Vec<String>,
    /// How long they may be presented, in milliseconds from now.
    pub valid_ms: u64,
}

/// Query of a ticket request.
#[derive(Debug, Deserialize)]
pub struct TicketQuery {
    count: Option<usize>,
}

/// The callers' side.
pub async fn tickets_for_caller(
    worker: web::Data<Worker>,
    req: HttpRequest,
    query: web::Query<TicketQuery>,
    body: web::Payload,
) -> HttpResponse {
    tickets(&worker, &req, &query, body, Sender::CALLER).await
}

/// Issues tickets, here or at an entry that may serve the organisation.
pub async fn tickets(
    worker: &Worker,
    req: &HttpRequest,
    query: &TicketQuery,
    body: web::Payload,
    sender: Sender,
) -> HttpResponse {
    let view = worker.entry.view();
    let refuse = |kind, message: &str| AnswerBody::refusal("-", kind, message).into_response();
    let Some(configuration) = view.configuration.clone() else {
        return refuse(
            ErrorKind::NoConfiguration,
            "no configuration is in force here yet",
        );
    };
    let Some(org) = auth::organisation(req.headers(), &configuration.deployment) else {
        return refuse(
            ErrorKind::Unauthorized,
            "the key belongs to no organisation",
        );
    };
    let count = query.count.unwrap_or(1);
    if !(1..=MAX_TICKETS).contains(&count) {
        let message = format!("count is not a number from 1 to {MAX_TICKETS}");
        return refuse(ErrorKind::BadRequest, &message);
    }
    let judged = Judged {
        request: "-".into(),
        configuration,
        org,
        pipeline: PipelineKey(0),
        accepted: Instant::now(),
        deadline: TICKET_TIME,
    };
    let elsewhere = !serves_here(worker, &judged) || view.is_stopping();
    if elsewhere && !sender.is_peer() {
        return relay_tickets(worker, req, &judged, count, SharedBody::new(body)).await;
    }
    let entry = &worker.entry;
    let issued = entry.once.lock().expect("no panic while held").issue(
        entry.now(),
        judged.org_name(),
        count,
    );
    let key = &entry.settings.fleet_key;
    HttpResponse::Ok().json(Tickets {
        tickets: issued.iter().map(|ticket| ticket.encode(key)).collect(),
        valid_ms: entry.settings.limits.ticket_ms,
    })
}

/// Time for getting tickets from another entry.
const TICKET_TIME: Duration = Duration::from_secs(2);

async fn relay_tickets(
    worker: &Worker,
    req: &HttpRequest,
    judged: &Judged,
    count: usize,
    body: SharedBody,
) -> HttpResponse {
    let path = format!("/peer/v1/tickets?count={count}");
    for member in permitted_entries(worker, judged) {
        let relay = Relay {
            path: &path,
            request: &judged.request,
            headers: req.headers(),
            body: body.clone(),
            remaining: judged.remaining(),
            hops: 1,
            claim_owner: false,
        };
        if let Ok(response) = relay::relay(worker, &member, &relay).await {
            return response;
        }
    }
    no_permitted_entry(judged).into_response()
}
