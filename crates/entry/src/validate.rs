//! Validation of a request from its headers alone, before its body is read.
//!
//! Determines the organisation, the pipeline and the deadline, and whether this
//! entry is in a hall that may serve the organisation.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::http::header::HeaderMap;
use hollowsail_config::{OrganisationKey, PipelineKey};
use hollowsail_fleet::{Connectivity, Member};

use crate::answer::{AnswerBody, Refusal};
use crate::auth;
use crate::configuration::Configuration;
use crate::headers;
use crate::kinds::ErrorKind;
use crate::worker::Worker;

/// A request whose headers are valid.
pub struct ValidatedRequest {
    pub request: String,
    pub configuration: Arc<Configuration>,
    pub org: OrganisationKey,
    pub pipeline: PipelineKey,
    pub accepted: Instant,
    pub deadline: Duration,
}

impl ValidatedRequest {
    pub fn org_name(&self) -> &str {
        &self.configuration.deployment.organisation(self.org).name
    }

    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.accepted.elapsed())
    }
}

/// Changes the outcome "not run" to "unknown" for a request with a ticket or idempotency
/// key: an earlier send may have run, which only the responsible ledger records.
pub fn with_possible_earlier_send(headers: &HeaderMap, refusal: Refusal) -> Refusal {
    match headers::runs_once(headers) {
        true => refusal.into_unknown(),
        false => refusal,
    }
}

/// Validates a request. Refuses it if its headers are invalid, or if this entry is
/// overloaded, isolated or without a configuration.
pub fn validate(
    worker: &Worker,
    headers: &HeaderMap,
    request: &str,
    name: &str,
) -> Result<ValidatedRequest, Refusal> {
    let refuse = |kind, message: String| AnswerBody::refusal(request, kind, message);
    let view = worker.entry.view();
    let in_flight = worker.entry.in_flight.load(Ordering::Relaxed) as usize;
    // Requests with a ticket or idempotency key are bounded by the ledger instead.
    let is_bounded = !headers::runs_once(headers);
    if is_bounded && in_flight > worker.entry.settings.limits.max_in_flight {
        let message = format!("{in_flight} requests are in flight at this entry");
        return Err(refuse(ErrorKind::Overloaded, message));
    }
    let Some(configuration) = view.configuration.clone() else {
        let message = "this entry has no configuration yet".to_string();
        return Err(refuse(ErrorKind::NoConfiguration, message));
    };
    if view.connectivity == Connectivity::Isolated {
        let message =
            "this entry is isolated: it can reach neither the store nor its peers".to_string();
        return Err(refuse(ErrorKind::Isolated, message));
    }
    let deployment = &configuration.deployment;
    let Some(org) = auth::organisation(headers, deployment) else {
        let message = "the bearer key is missing or belongs to no organisation".to_string();
        return Err(refuse(ErrorKind::Unauthorized, message));
    };
    let Some(pipeline) = deployment.find_pipeline(name) else {
        let message = format!("there is no pipeline {name}");
        return Err(refuse(ErrorKind::UnknownPipeline, message));
    };
    if !deployment.may_call(org, pipeline) {
        let message = format!("the organisation is not allowed to call pipeline {name}");
        return Err(refuse(ErrorKind::NotAllowed, message));
    }
    let longest_ms = deployment.pipeline(pipeline).deadline_ms;
    let deadline =
        headers::deadline(headers, longest_ms).map_err(|(kind, message)| refuse(kind, message))?;
    Ok(ValidatedRequest {
        request: request.into(),
        configuration,
        org,
        pipeline,
        accepted: Instant::now(),
        deadline,
    })
}

/// True when this entry is in a hall that the organisation permits.
pub fn is_permitted_here(worker: &Worker, validated: &ValidatedRequest) -> bool {
    let deployment = &validated.configuration.deployment;
    deployment.permits_named(validated.org, &worker.entry.settings.hall)
}

/// Refusal of a request for which no permitted entry is reachable.
pub fn no_permitted_entry(validated: &ValidatedRequest) -> Refusal {
    let message = format!(
        "no entry in a hall permitted to {} is reachable",
        validated.org_name()
    );
    AnswerBody::refusal(&validated.request, ErrorKind::NoPermittedEntry, message)
}

/// Peers that take work, in halls that the organisation permits, in random order.
pub fn permitted_entries(worker: &Worker, validated: &ValidatedRequest) -> Vec<Member> {
    use rand::seq::SliceRandom;
    let deployment = &validated.configuration.deployment;
    let mut members: Vec<Member> = worker
        .entry
        .view()
        .members
        .iter()
        .filter(|member| member.takes_work())
        .filter(|member| deployment.permits_named(validated.org, &member.hall))
        .cloned()
        .collect();
    members.shuffle(&mut rand::rng());
    members
}
