//! Sends a request to targets until one answers or nothing more may be tried.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_observe::{events, ErrorKind};
use hollowsail_platform::deployment::ServiceKey;
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{may_try_again, stage_status, Observation, Progress, Reason, StageStatus};
use rand::Rng;

use super::admit::Admitted;
use super::attempt::{self, Answered, Failure, Send};
use super::prepare::Prepared;
use super::{choose, relay, Trace};
use crate::answer::{AnswerStream, Refusal};
use crate::metrics;
use crate::placement::Placed;
use crate::targets::Target;
use crate::traffic::Traffic;

/// Sends that reached no target and don't count as attempts; bounds a service
/// whose targets are all unreachable.
const MOST_UNREACHED: u32 = 4;

/// The sends of one request, so far.
pub struct Sends {
    pub service: ServiceKey,
    tried: HashSet<Incarnation>,
    progress: Vec<Progress>,
    /// Sends that may have reached a target.
    arrivals: u32,
    unreached: u32,
    /// Target of the last send, for the log.
    last_target: String,
    last_why: String,
    retry_after: Option<Duration>,
}

impl Sends {
    /// Nothing sent yet.
    pub fn new(admitted: &Admitted) -> Self {
        Sends {
            service: choose_service(admitted),
            tried: HashSet::new(),
            progress: Vec::new(),
            arrivals: 0,
            unreached: 0,
            last_target: String::new(),
            last_why: "nothing was sent".to_string(),
            retry_after: None,
        }
    }

    /// Takes a failed attempt.
    fn failed(&mut self, target: &Target, failure: Failure) {
        self.tried.insert(target.incarnation().clone());
        match failure.progress {
            Progress::NothingSent => self.unreached += 1,
            _ => self.arrivals += 1,
        }
        self.progress.push(failure.progress);
        self.last_why = failure.why;
        self.retry_after = failure.retry_after.or(self.retry_after);
    }

    /// What may be said of the request when no target answers it.
    pub fn refusal(&self, kind_if_not_run: ErrorKind) -> Refusal {
        let ran = stage_status(self.progress.iter().copied());
        let kind = match ran {
            StageStatus::NotRun => kind_if_not_run,
            StageStatus::Unknown | StageStatus::Ran => ErrorKind::TargetFailed,
        };
        let refusal = Refusal::new(kind, self.last_why.clone());
        match self.retry_after {
            Some(after) => refusal.come_back_after(after),
            None => refusal,
        }
    }
}

/// Sends a request and passes the answer on.
pub async fn run(
    cx: &Rc<Traffic>,
    admitted: &Rc<Admitted>,
    prepared: Prepared,
    trace: &mut Trace,
) -> Result<http::Response<AnswerStream>, Refusal> {
    let mut sends = Sends::new(admitted);
    loop {
        let answered = next_answer(cx, admitted, &prepared, &mut sends, None).await;
        trace.attempts = sends.arrivals + sends.unreached + u32::from(answered.is_ok());
        trace.last_target.clone_from(&sends.last_target);
        let answered = answered?;
        if admitted.route().repeat.is_stream() && answered.parts.status.is_success() {
            return Ok(relay::stream(cx, admitted, answered, prepared, sends));
        }
        match relay::whole(cx, admitted, answered, &mut sends).await {
            relay::Whole::Response(response) => return Ok(*response),
            relay::Whole::TryAgain => {}
        }
    }
}

/// Sends until a target answers. `resume_after` takes a stream up.
pub async fn next_answer(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    prepared: &Prepared,
    sends: &mut Sends,
    resume_after: Option<&str>,
) -> Result<Answered, Refusal> {
    loop {
        if admitted.remaining().is_zero() {
            return Err(out_of_time(sends));
        }
        let (target, placed) = find_target(cx, admitted, prepared, sends)
            .await
            .ok_or_else(|| sends.refusal(ErrorKind::NoTarget))?;
        let send = Send {
            inputs: &prepared.inputs,
            until: admitted.until,
            resume_after,
            unread_tokens: admitted
                .caller
                .generation
                .as_ref()
                .map_or(0, |g| g.prompt_tokens),
        };
        if sends.progress.is_empty() {
            cx.with_budget(&admitted.deployment, sends.service, |budget| budget.earn());
        }
        sends.last_target.clone_from(&target.incarnation().0);
        match attempt::run(admitted, &target, &send).await {
            Ok(mut answered) => {
                metrics::count_attempt(&target.record.service, "answered");
                answered.placed = placed;
                return Ok(answered);
            }
            Err(failure) => {
                if failure.progress != Progress::FinalRefusal {
                    placed.into_iter().for_each(|mut placed| placed.failed());
                }
                take_failure(cx, admitted, sends, &target, failure)?;
            }
        }
    }
}

/// The target for the next send: for a generation the one that its desk names,
/// else the one that this entry chooses.
async fn find_target(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    prepared: &Prepared,
    sends: &Sends,
) -> Option<(Rc<Target>, Option<Placed>)> {
    let avoid = sends.tried.iter().cloned().collect();
    let generation = admitted.caller.generation.as_ref();
    let demand = generation.and_then(|g| choose::demand(g, prepared, avoid));
    if let Some(demand) = demand {
        let service = &admitted.deployment.service(sends.service).name;
        let placed = cx.placements.place(cx, service, demand).await;
        let target = placed.and_then(|(id, placed)| Some((cx.target(&id)?, placed)));
        if let Some((target, placed)) = target {
            log_choice(cx, admitted, &target, Reason::Placed, 0);
            return Some((target, Some(placed)));
        }
    }
    choose_target(cx, admitted, prepared, sends).map(|target| (target, None))
}

/// Counts a failed attempt. An error means that no other may follow.
pub fn take_failure(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    sends: &mut Sends,
    target: &Rc<Target>,
    failure: Failure,
) -> Result<(), Refusal> {
    let progress = failure.progress;
    cx.log.line(
        events::ATTEMPT_FAILED,
        format_args!(
            "request={} target={} progress={progress:?} why=\"{}\"",
            admitted.caller.request_id,
            target.incarnation().0,
            failure.why,
        ),
    );
    let outcome = match stage_status([progress]) {
        StageStatus::NotRun => "not_run",
        StageStatus::Unknown | StageStatus::Ran => "unknown",
    };
    metrics::count_attempt(&target.record.service, outcome);
    if failure.inputs_gone {
        sends.failed(target, failure);
        return Err(sends.refusal(ErrorKind::InputsGone));
    }
    if progress != Progress::FinalRefusal {
        target.observe(Observation::Failed, 1);
        for ejected in cx.targets().eject_worst(sends.service, cx.clock.now()) {
            let fields = format_args!("target={} why=failures", ejected.incarnation().0);
            cx.log.line(events::TARGET_EJECTED, fields);
        }
    }
    sends.failed(target, failure);
    if admitted.remaining().is_zero() {
        return Err(out_of_time(sends));
    }
    let route = admitted.route();
    let may_again = may_try_again(progress, route.repeat.is_repeatable())
        && sends.arrivals < route.max_attempts
        && sends.unreached < MOST_UNREACHED;
    if !may_again {
        return Err(sends.refusal(ErrorKind::Overloaded));
    }
    // Only a send after an earlier arrival adds to what the service gets.
    let is_granted = sends.arrivals == 0
        || cx.with_budget(&admitted.deployment, sends.service, |budget| budget.spend());
    if is_granted {
        Ok(())
    } else {
        Err(sends.refusal(ErrorKind::Overloaded))
    }
}

/// True when a target's own failure may be made up for by another target; else
/// the failure itself is passed on.
pub fn may_ask_another(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    sends: &Sends,
    status: http::StatusCode,
) -> bool {
    let route = admitted.route();
    status.is_server_error()
        && may_try_again(Progress::Broken, route.repeat.is_repeatable())
        && sends.arrivals + 1 < route.max_attempts
        && !admitted.remaining().is_zero()
        && cx.with_budget(&admitted.deployment, sends.service, |budget| {
            budget.has_token()
        })
}

fn out_of_time(sends: &Sends) -> Refusal {
    let mut refusal = sends.refusal(ErrorKind::CannotFinish);
    if refusal.kind == ErrorKind::TargetFailed {
        refusal.kind = ErrorKind::DeadlineExceeded;
    }
    refusal
}

/// The service of a request, by the weights of its route.
fn choose_service(admitted: &Admitted) -> ServiceKey {
    let services = &admitted.route().services;
    let total: u32 = services.iter().map(|(_, weight)| weight).sum();
    let mut draw = rand::rng().random_range(0..total.max(1));
    for (service, weight) in services {
        if draw < *weight {
            return *service;
        }
        draw -= weight;
    }
    services
        .first()
        .map_or(ServiceKey(u16::MAX), |(service, _)| *service)
}

fn choose_target(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    prepared: &Prepared,
    sends: &Sends,
) -> Option<Rc<Target>> {
    // A view newer than the request's may have dropped targets.
    cx.deployment()?;
    let name = &admitted.deployment.service(sends.service).name;
    let untried: Vec<Rc<Target>> = cx
        .targets_named(name)
        .into_iter()
        .filter(|target| !sends.tried.contains(target.incarnation()))
        .collect();
    let (at, reason) = match &admitted.caller.generation {
        Some(generation) => choose::engine(cx, generation, prepared, &untried)?,
        None => choose::plain(cx, &untried)?,
    };
    let target = untried[at].clone();
    log_choice(cx, admitted, &target, reason, untried.len());
    Some(target)
}

fn log_choice(
    cx: &Traffic,
    admitted: &Admitted,
    target: &Target,
    reason: Reason,
    candidates: usize,
) {
    cx.log.line(
        events::ROUTE,
        format_args!(
            "request={} target={} addr={} hall={} reason={} candidates={candidates} \
             in_flight={} left_ms={} view={}",
            admitted.caller.request_id,
            target.incarnation().0,
            target.record.addr,
            target.record.hall,
            reason.name(),
            target.in_flight.get(),
            admitted
                .until
                .saturating_duration_since(Instant::now())
                .as_millis(),
            cx.view_number(),
        ),
    );
}
