//! One attempt: sends a request to one target and reads the answer's headers.
//!
//! An answer is accepted only when it carries the request's id and, if successful, the seal.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::BootInstant;
use hollowsail_connect::{Reuse, SendError};
use hollowsail_platform::deployment::Repeat;
use hollowsail_platform::headers::{self, InvalidValue, TargetHeaders, TargetRequestHeaders};
use hollowsail_rollout::Outcome;
use hollowsail_routing::repeats::SendPermit;
use hollowsail_routing::Progress;
use hollowsail_targets::{InFlight, Target};
use http::header::HeaderValue;
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::Full;

use super::admit::Admitted;
use super::pending::WaitsFor;
use crate::connections::{self, InUse};
use crate::kept_body::KeptBody;
use crate::placement::Placement;
use crate::stop;
use crate::target_calls::{self, Unanswered};
use crate::traffic::Traffic;

/// Maximum idle time of a connection that a request without retries may reuse; after a longer one
/// the target may be closing it. The limit is long enough for a late extra answer to show.
const MAX_REUSED_IDLE: Duration = Duration::from_millis(1_500);

/// A target's answer whose body has not been read.
pub struct TargetAnswer {
    pub parts: Parts,
    pub body: KeptBody,
    pub target: Rc<Target>,
    pub in_flight: InFlight,
    /// Counts the connection, if the service has few.
    pub in_use: Option<InUse>,
    pub sent: BootInstant,
    /// When the headers of the answer were received.
    pub begun: BootInstant,
    /// Set when a scheduler named the target.
    pub placed: Option<Placement>,
}

/// Why an attempt got none of few connections, or wasn't sent on it; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unconnected {
    /// The target closed a new connection at once, as it does when it has too many.
    Rejected,
    /// No connection became free in time.
    NotInTime,
    /// A value of the request can't be sent.
    Unsendable,
    /// The targets changed before the request was sent, so that another one may be better.
    TargetsChanged,
}

/// An attempt without an answer that can be passed on.
#[derive(Debug)]
pub struct Failure {
    /// How far the request got.
    pub progress: Progress,
    pub reason: String,
    /// Delay after which the caller may retry, if the target gave one.
    pub retry_after: Option<Duration>,
    /// The target no longer has an input of the request.
    pub inputs_gone: bool,
    /// The connection closed before the end of the answer; the target may have crashed.
    pub is_connection_lost: bool,
    /// When the headers of the answer were received, if they were.
    pub begun: Option<BootInstant>,
    /// The target answered with an error status, or in a way that breaks a rule.
    pub is_error_answer: bool,
    /// Set when it got none of the few connections to the service.
    pub unconnected: Option<Unconnected>,
    /// Permits another send: given back if nothing was sent, or already granted.
    pub permit: Option<SendPermit>,
}

impl Failure {
    /// A failure without further details.
    pub fn new(progress: Progress, reason: impl Into<String>) -> Self {
        Failure {
            progress,
            reason: reason.into(),
            retry_after: None,
            inputs_gone: false,
            is_connection_lost: false,
            begun: None,
            is_error_answer: false,
            unconnected: None,
            permit: None,
        }
    }

    /// The target answered with an error status, and another one may be tried.
    pub fn answered(status: StatusCode, permit: SendPermit) -> Self {
        let reason = format!("the target answered with status {}", status.as_u16());
        Failure {
            is_error_answer: true,
            permit: Some(permit),
            ..Failure::new(Progress::Broken, reason)
        }
    }

    /// The target's answer breaks a rule of its framing; the request may have run.
    pub fn malformed(reason: impl Into<String>) -> Self {
        Failure {
            is_error_answer: true,
            ..Failure::new(Progress::Broken, reason)
        }
    }

    /// Outcome that counts for the target's version, `after` the send; `None` if the failure
    /// doesn't count.
    pub fn outcome(&self, after: Duration) -> Option<Outcome> {
        match self.progress {
            Progress::Broken if self.is_error_answer => Some(Outcome::Failed),
            Progress::Broken if self.is_connection_lost => Some(Outcome::Broken),
            Progress::Broken => Some(Outcome::TimedOut(after.as_secs_f64() * 1_000.0)),
            _ => None,
        }
    }

    /// No connection was had; nothing was sent.
    pub fn not_connected(err: &SendError) -> Self {
        let (unconnected, retry_after) = match err {
            SendError::Rejected { retry_after, .. } => {
                (Some(Unconnected::Rejected), Some(*retry_after))
            }
            SendError::NoConnection { retry_after, .. } => {
                (Some(Unconnected::NotInTime), Some(*retry_after))
            }
            SendError::Unsendable { .. } => (Some(Unconnected::Unsendable), None),
            SendError::Withdrawn { .. } => (Some(Unconnected::TargetsChanged), None),
            _ => (None, None),
        };
        Failure {
            retry_after,
            unconnected,
            ..Failure::new(Progress::NothingSent, err.to_string())
        }
    }

    /// The connection closed before the end of the answer; the request may have run.
    pub fn connection_lost(reason: impl Into<String>) -> Self {
        Failure {
            is_connection_lost: true,
            ..Failure::new(Progress::Broken, reason)
        }
    }

    /// The connection closed in the middle of an answer that had begun.
    pub fn cut_off(begun: BootInstant, reason: impl Into<String>) -> Self {
        Failure {
            begun: Some(begun),
            ..Failure::connection_lost(reason)
        }
    }
}

/// Parameters of an attempt.
pub struct AttemptOptions<'a> {
    pub inputs: &'a [String],
    /// The request's deadline; the target gets the remaining time.
    pub deadline: BootInstant,
    /// Time after the send at which the attempt fails if the target has not answered; the
    /// deadline if `None`.
    pub timeout: Option<Duration>,
    /// Id of the event after which the stream is resumed.
    pub resume_after: Option<&'a HeaderValue>,
    /// Prompt tokens to prefill.
    pub prefill_tokens: u64,
}

/// Which connections a request may reuse.
pub fn reuse(admitted: &Admitted) -> Reuse {
    match admitted.route().repeat {
        Repeat::Once | Repeat::StreamOnce => Reuse::Within(MAX_REUSED_IDLE),
        Repeat::Safe | Repeat::StreamResumable => Reuse::Any,
    }
}

/// Sends a request and waits for the headers of the answer. Where connections are few, `target` is
/// replaced by the one of `others` that has a connection first.
pub async fn run(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    target: &mut Rc<Target>,
    others: &[Rc<Target>],
    options: &AttemptOptions<'_>,
    permit: SendPermit,
) -> Result<TargetAnswer, Failure> {
    // Counts at the chosen target while the request waits for a connection.
    let waiting = target.track_request(options.prefill_tokens);
    let reuse = reuse(admitted);
    let connected = match connections::connect(cx, admitted, target, others, reuse).await {
        Ok(connected) => connected,
        Err(failure) => {
            return Err(Failure {
                permit: Some(permit),
                ..failure
            })
        }
    };
    drop(waiting);
    let in_flight = target.track_request(options.prefill_tokens);
    let (connection, in_use) = connected.unzip();
    cx.pending.set(admitted.pending, WaitsFor::Answer);
    let sent = BootInstant::now();
    let service = admitted.deployment.service_named(&target.record.service);
    let may_send = || service.is_none_or(|service| stop::may_send(cx, admitted, service));
    let make_req = || request_for(admitted, target, options);
    let permits = permit.into();
    let sending = target_calls::send(cx, target, connection, make_req, reuse, permits, may_send);
    let timeout_at = options
        .timeout
        .map_or(options.deadline, |timeout| sent + timeout);
    let answer = match tokio::time::timeout_at(timeout_at.to_instant().into(), sending).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(Unanswered { error, permits })) => {
            let permit = permits.and_then(|permits| permits.into_vec().pop());
            return Err(match error.nothing_sent() {
                true => Failure {
                    permit,
                    ..Failure::not_connected(&error)
                },
                false if error.is_malformed() => Failure::malformed(error.to_string()),
                false => Failure::connection_lost(error.to_string()),
            });
        }
        Err(_) => {
            return Err(Failure::new(
                Progress::Broken,
                "the target did not answer before the timeout",
            ))
        }
    };
    if answer.is_foreign {
        return Err(Failure::new(
            Progress::Broken,
            "the answer carries the id of another request",
        ));
    }
    let head = answer.head.clone();
    let (parts, body) = answer.into_body();
    check(admitted, parts.status, &head)?;
    Ok(TargetAnswer {
        parts,
        body,
        target: target.clone(),
        in_flight,
        in_use,
        sent,
        begun: BootInstant::now(),
        placed: None,
    })
}

fn request_for(
    admitted: &Admitted,
    target: &Target,
    options: &AttemptOptions<'_>,
) -> Result<Request<Full<bytes::Bytes>>, InvalidValue> {
    let is_engine = admitted.caller.generation.is_some();
    let to = TargetRequestHeaders {
        incarnation: target.incarnation(),
        remaining: options.deadline.saturating_since(BootInstant::now()),
        organisation: admitted.organisation_name(),
        inputs: options.inputs,
        priority: is_engine.then_some(admitted.priority.min(9)),
        resume_after: options.resume_after,
    };
    let path = admitted.head.uri.path_and_query();
    let mut req = Request::new(Full::from(admitted.body.clone()));
    *req.method_mut() = admitted.head.method.clone();
    *req.uri_mut() = path.map_or_else(http::Uri::default, |path| path.clone().into());
    *req.headers_mut() = headers::rewrite_for_target(&admitted.head.headers, &to)?;
    Ok(req)
}

/// Checks that the answer carries the request's id and, if successful, the seal.
fn check(admitted: &Admitted, status: StatusCode, head: &TargetHeaders) -> Result<(), Failure> {
    if head.not_run {
        let reason = format!(
            "the target refused the request with status {}",
            status.as_u16()
        );
        return Err(Failure {
            // The delay in a 503 applies to this target only; others may be tried earlier.
            retry_after: head
                .retry_after
                .filter(|_| status != StatusCode::SERVICE_UNAVAILABLE),
            inputs_gone: status == headers::INPUTS_GONE,
            ..Failure::new(Progress::FinalRefusal, reason)
        });
    }
    if head.request_id.as_deref() != Some(admitted.caller.request_id.as_str()) {
        return Err(Failure::new(
            Progress::Broken,
            "the answer carries no request id",
        ));
    }
    if status.is_success() && !head.sealed {
        return Err(Failure::new(
            Progress::Broken,
            "the successful answer has no seal",
        ));
    }
    Ok(())
}
