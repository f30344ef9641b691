//! Judging a request from its headers: who asks, for what, until when, and
//! whether this entry may serve it.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::http::header::HeaderMap;
use hollowsail_config::{OrganisationKey, PipelineKey};
use hollowsail_fleet::{Member, Standing};

use crate::answer::{AnswerBody, Refusal};
use crate::auth;
use crate::configuration::Configuration;
use crate::headers;
use crate::kinds::ErrorKind;
use crate::worker::Worker;

/// A request as judged from its headers.
pub struct Judged {
    pub request: String,
    pub configuration: Arc<Configuration>,
    pub org: OrganisationKey,
    pub pipeline: PipelineKey,
    pub accepted: Instant,
    pub deadline: Duration,
}

impl Judged {
    pub fn org_name(&self) -> &str {
        &self.configuration.deployment.organisation(self.org).name
    }

    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.accepted.elapsed())
    }
}

/// A refusal is about the request, not about this send of it. With a ticket or
/// id another send may have run, and only the ledger that answers for it knows.
pub fn true_refusal(headers: &HeaderMap, refusal: Refusal) -> Refusal {
    match headers::runs_once(headers) {
        true => refusal.in_doubt(),
        false => refusal,
    }
}

/// Judges a request; the refusal says what is wrong with it, or with this entry.
pub fn judge(
    worker: &Worker,
    headers: &HeaderMap,
    request: &str,
    name: &str,
) -> Result<Judged, Refusal> {
    let refuse = |kind, message: String| AnswerBody::refusal(request, kind, message);
    let view = worker.entry.view();
    let in_flight = worker.entry.in_flight.load(Ordering::Relaxed) as usize;
    // What carries a ticket or id is bounded by the ledger.
    let bounded = !headers::runs_once(headers);
    if bounded && in_flight > worker.entry.settings.limits.max_in_flight {
        let message = format!("{in_flight} requests are in flight here");
        return Err(refuse(ErrorKind::Overloaded, message));
    }
    let Some(configuration) = view.configuration.clone() else {
        let message = "no configuration is in force here yet".to_string();
        return Err(refuse(ErrorKind::NoConfiguration, message));
    };
    if view.standing == Standing::Isolated {
        let message = "this entry reaches neither the store nor its peers".to_string();
        return Err(refuse(ErrorKind::Isolated, message));
    }
    let deployment = &configuration.deployment;
    let Some(org) = auth::organisation(headers, deployment) else {
        let message = "the key belongs to no organisation".to_string();
        return Err(refuse(ErrorKind::Unauthorized, message));
    };
    let Some(pipeline) = deployment.find_pipeline(name) else {
        let message = format!("there is no pipeline {name}");
        return Err(refuse(ErrorKind::UnknownPipeline, message));
    };
    if !deployment.may_call(org, pipeline) {
        let message = format!("the organisation may not call {name}");
        return Err(refuse(ErrorKind::NotAllowed, message));
    }
    let longest = deployment.pipeline(pipeline).deadline_ms;
    let deadline =
        headers::deadline(headers, longest).map_err(|(kind, message)| refuse(kind, message))?;
    Ok(Judged {
        request: request.into(),
        configuration,
        org,
        pipeline,
        accepted: Instant::now(),
        deadline,
    })
}

/// True when this entry stands in a hall that the organisation permits.
pub fn serves_here(worker: &Worker, judged: &Judged) -> bool {
    let deployment = &judged.configuration.deployment;
    deployment.permits_named(judged.org, &worker.entry.settings.hall)
}

/// The refusal of a request that no entry may serve now.
pub fn no_permitted_entry(judged: &Judged) -> Refusal {
    let message = format!(
        "no entry in a hall permitted to {} can be reached",
        judged.org_name()
    );
    AnswerBody::refusal(&judged.request, ErrorKind::NoPermittedEntry, message)
}

/// Live entries in halls that the organisation permits, in random order.
pub fn permitted_entries(worker: &Worker, judged: &Judged) -> Vec<Member> {
    use rand::seq::SliceRandom;
    let deployment = &judged.configuration.deployment;
    let mut members: Vec<Member> = worker
        .entry
        .view()
        .members
        .iter()
        .filter(|member| member.takes_work())
        .filter(|member| deployment.permits_named(judged.org, &member.hall))
        .cloned()
        .collect();
    members.shuffle(&mut rand::rng());
    members
}
