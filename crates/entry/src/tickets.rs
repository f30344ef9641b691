//! Issues tickets, for requests that run at most once.
//!
//! An entry that may not serve the organisation, or that is stopping, relays the
//! call to one that may.

use std::time::{Duration, Instant};

use actix_web::{web, HttpRequest, HttpResponse};
use hollowsail_config::PipelineKey;
use serde::{Deserialize, Serialize};

use crate::answer::AnswerBody;
use crate::auth;
use crate::body::SharedBody;
use crate::kinds::ErrorKind;
use crate::origin::Origin;
use crate::relay::{self, Relay};
use crate::validate::{is_permitted_here, no_permitted_entry, permitted_entries, ValidatedRequest};
use crate::worker::Worker;

/// Maximum number of tickets issued by one call.
const MAX_TICKETS: usize = 1000;

/// Body of the response to a ticket request.
#[derive(Debug, Serialize, Deserialize)]
pub struct Tickets {
    pub tickets: Vec<String>,
    /// How long the tickets are valid, in milliseconds from now.
    pub valid_ms: u64,
}

/// Query of a ticket request.
#[derive(Debug, Deserialize)]
pub struct TicketQuery {
    count: Option<usize>,
}

/// Handles a ticket request from a caller.
pub async fn handle_caller(
    worker: web::Data<Worker>,
    req: HttpRequest,
    query: web::Query<TicketQuery>,
    body: web::Payload,
) -> HttpResponse {
    issue(&worker, &req, &query, body, Origin::CALLER).await
}

/// Issues tickets, or relays the call of a caller to an entry that may.
pub async fn issue(
    worker: &Worker,
    req: &HttpRequest,
    query: &TicketQuery,
    body: web::Payload,
    origin: Origin,
) -> HttpResponse {
    let view = worker.entry.view();
    let refuse = |kind, message: &str| AnswerBody::refusal("-", kind, message).into_response();
    let Some(configuration) = view.configuration.clone() else {
        return refuse(
            ErrorKind::NoConfiguration,
            "this entry has no configuration yet",
        );
    };
    let Some(org) = auth::organisation(req.headers(), &configuration.deployment) else {
        return refuse(
            ErrorKind::Unauthorized,
            "the bearer key is missing or belongs to no organisation",
        );
    };
    let count = query.count.unwrap_or(1);
    if !(1..=MAX_TICKETS).contains(&count) {
        let message = format!("count is {count}, not a number from 1 to {MAX_TICKETS}");
        return refuse(ErrorKind::BadRequest, &message);
    }
    let validated = ValidatedRequest {
        request: "-".into(),
        configuration,
        org,
        pipeline: PipelineKey(0),
        accepted: Instant::now(),
        deadline: RELAY_TIMEOUT,
    };
    let issue_elsewhere = !is_permitted_here(worker, &validated) || view.is_stopping();
    if issue_elsewhere && !origin.is_peer() {
        return relay_tickets(worker, req, &validated, count, SharedBody::new(body)).await;
    }
    let entry = &worker.entry;
    let issued = entry.once.lock().expect("no panic while held").issue(
        entry.now(),
        validated.org_name(),
        count,
    );
    let key = &entry.settings.fleet_key;
    HttpResponse::Ok().json(Tickets {
        tickets: issued.iter().map(|ticket| ticket.encode(key)).collect(),
        valid_ms: entry.settings.limits.ticket_ms,
    })
}

/// Timeout of a ticket request to another entry.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);

async fn relay_tickets(
    worker: &Worker,
    req: &HttpRequest,
    validated: &ValidatedRequest,
    count: usize,
    body: SharedBody,
) -> HttpResponse {
    let path = format!("/peer/v1/tickets?count={count}");
    for member in permitted_entries(worker, validated) {
        let relay = Relay {
            path: &path,
            request: &validated.request,
            headers: req.headers(),
            body: body.clone(),
            remaining: validated.remaining(),
            hops: 1,
            claim_owner: false,
        };
        if let Ok(response) = relay::relay(worker, &member, &relay).await {
            return response;
        }
    }
    no_permitted_entry(validated).into_response()
}
