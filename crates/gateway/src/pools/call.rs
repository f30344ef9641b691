//! One call to a target of a stage service.
//!
//! Sends the pieces that were batched for a worker, delivers each result or failure, and
//! requeues the pieces that were left without one. Also releases results at their producers.

use std::rc::Rc;
use std::time::Duration;

use hollowsail_clock::BootInstant;
use hollowsail_connect::SendError;
use hollowsail_observe::events;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_platform::pieces::{self, Piece, PieceFailure, PieceResult};
use hollowsail_rollout::Outcome;
use hollowsail_routing::repeats::{RepeatReason, SendPermit, SendPermits};
use hollowsail_routing::{Millis, RequestDigest};
use hollowsail_stages::{CallEnd, PieceKey, StartedCall, StartedPiece, WorkerKey};
use hollowsail_targets::Target;
use http::StatusCode;
use snafu::Snafu;

use super::batcher::{Batcher, Job, PendingRelease};
use super::worker_crash;
use crate::kept_body::KeptBodyError;
use crate::metrics;
use crate::target_calls::{self, Unanswered};
use crate::traffic::Traffic;

/// Bounds how long a hung target occupies a slot; overdue pieces go to other targets earlier.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of a call that releases results.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_RESPONSE_BYTES: usize = 256 << 10;
/// Failed attempts after which a piece fails for good.
const MAX_FAILURES: u32 = 4;

/// Worker crashes in calls with pieces of one request only after which the piece fails for
/// good. A single crash may be unrelated to the request.
const MAX_CRASHES_ALONE: u32 = 2;

/// Why a call returned no results.
#[derive(Debug, Snafu)]
enum CallError {
    /// The target got nothing.
    #[snafu(display("{source}"))]
    Unsent {
        source: SendError,
        permits: Option<SendPermits>,
    },
    /// The connection broke after the call was sent.
    #[snafu(display("{source}"))]
    Send { source: SendError },
    #[snafu(display("the response ended early: {source}"))]
    CutOff { source: KeptBodyError },
    /// No answer can come over the links of this host, which says nothing of the target.
    #[snafu(display("{source}"))]
    LinkLost { source: SendError },
    #[snafu(display("no response within {} ms", CALL_TIMEOUT.as_millis()))]
    TimedOut,
    #[snafu(display("the target left before the call was sent"))]
    TargetLeft { permits: Option<SendPermits> },
    #[snafu(display("the response carries the id of another call"))]
    Foreign,
    #[snafu(display("refused by the target with status {status}"))]
    Refused { status: StatusCode },
    #[snafu(display("unexpected status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("malformed results: {source}"))]
    Malformed { source: serde_json::Error },
    #[snafu(display("response has {got} results for {expected} pieces"))]
    Count { got: usize, expected: usize },
}

impl CallError {
    /// Returns true if the connection was lost after the call was sent.
    fn is_cut_off(&self) -> bool {
        match self {
            CallError::Send { source } => !source.is_malformed(),
            CallError::CutOff { source } => !source.is_malformed(),
            // Without a length, the end of the connection marks the end of the response.
            CallError::Malformed { source } => source.is_eof(),
            _ => false,
        }
    }
}

/// Makes the call and delivers the outcome of each of its pieces.
pub(super) async fn run(
    cx: Rc<Traffic>,
    batcher: Rc<Batcher>,
    started: StartedCall,
    target: Rc<Target>,
) {
    let keys = started.pieces.iter().map(|piece| piece.key);
    batcher.notify_started(keys).await;
    let (sent_pieces, permits) = awaited_pieces(&batcher, &started);
    let begun_ms = cx.clock.now();
    let sent_at = BootInstant::now();
    let call_id = call_id();
    let exchange = exchange(&cx, &target, &sent_pieces, permits, &call_id);
    let result = match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_) => Err(CallError::TimedOut),
    };
    let took = Duration::from_millis(cx.clock.now() - begun_ms);
    record_end(
        &cx,
        &batcher,
        &target,
        &call_id,
        sent_pieces.len(),
        took,
        &result,
    );
    if let Some(outcome) = outcome_of(took, &result).filter(|_| !sent_pieces.is_empty()) {
        cx.rollouts.observe("pieces", &target, outcome);
    }
    let end = match &result {
        // Nothing was sent, so this is no evidence about the worker.
        Ok(_) if sent_pieces.is_empty() => CallEnd::Refused,
        Ok(_) => CallEnd::Answered,
        Err(CallError::Refused { .. } | CallError::TargetLeft { .. }) => CallEnd::Refused,
        Err(CallError::LinkLost { .. }) => CallEnd::LinkLost,
        Err(_) => CallEnd::Failed,
    };
    if matches!(end, CallEnd::Failed | CallEnd::LinkLost) {
        batcher.retain_unanswered(&started);
    }
    if result.as_ref().is_err_and(CallError::is_cut_off) {
        worker_crash::check_crash(&cx, &batcher, &target, &sent_pieces, sent_at).await;
    }
    match result {
        Ok(results) if end == CallEnd::Answered => {
            deliver_results(&cx, &batcher, &started, &target, &sent_pieces, results)
        }
        Err(CallError::Unsent { permits, .. } | CallError::TargetLeft { permits }) => {
            return_permits(&batcher, &sent_pieces, permits)
        }
        Ok(_) | Err(_) => {}
    }
    let unfinished = batcher
        .queue
        .borrow_mut()
        .end_call(started.call, end, cx.clock.now());
    batcher.apply_backoff(&cx, started.worker, &target);
    if end == CallEnd::Failed {
        let (batcher, cx, target) = (batcher.clone(), cx.clone(), target.clone());
        actix_rt::spawn(batcher.apply_stall(cx, started.worker, target));
    }
    batcher.apply_speed(started.worker, &target);
    requeue_unfinished(&cx, &batcher, unfinished, end);
    batcher.pump();
}

/// Evidence that a call gives about its worker's version, if any.
fn outcome_of(took: Duration, result: &Result<Vec<PieceResult>, CallError>) -> Option<Outcome> {
    let ms = took.as_secs_f64() * 1_000.0;
    match result {
        Ok(_) => Some(Outcome::Answered(ms)),
        Err(CallError::TimedOut) => Some(Outcome::TimedOut(ms)),
        Err(CallError::Refused { .. } | CallError::TargetLeft { .. }) => None,
        Err(err) if err.is_cut_off() => Some(Outcome::Broken),
        Err(CallError::Unsent { .. } | CallError::LinkLost { .. }) => None,
        Err(_) => Some(Outcome::Failed),
    }
}

/// Logs the end of a call and counts it in the metrics.
fn record_end(
    cx: &Traffic,
    batcher: &Batcher,
    target: &Target,
    call_id: &str,
    pieces: usize,
    took: Duration,
    result: &Result<Vec<PieceResult>, CallError>,
) {
    let (kind, outcome) = match result {
        Ok(_) => ("answered", "answered".to_string()),
        Err(err @ (CallError::Refused { .. } | CallError::TargetLeft { .. })) => {
            ("refused", err.to_string())
        }
        Err(err) => ("failed", err.to_string()),
    };
    metrics::count_call(&target.record.service, kind, pieces, took);
    cx.log.line(
        events::CALL_ENDED,
        format_args!(
            "queue={} target={} call={call_id} pieces={pieces} ms={} outcome={}",
            Field(&batcher.name()),
            Field(&target.incarnation().id),
            took.as_millis(),
            Quoted(&outcome)
        ),
    );
}

/// A piece that is part of a call.
pub(super) struct CallPiece {
    pub started: StartedPiece,
    piece: Rc<Piece>,
    /// Time at which its request's stages are cancelled.
    deadline: Millis,
    pub request: RequestDigest,
}

/// Returns the pieces that are still awaited, and takes their permits; a piece may be cancelled
/// between scheduling and the call.
fn awaited_pieces(batcher: &Batcher, started: &StartedCall) -> (Vec<CallPiece>, Vec<SendPermit>) {
    let mut queue = batcher.queue.borrow_mut();
    let pieces = started.pieces.iter();
    let awaited = pieces.filter_map(|started| {
        let job = queue.job_mut(started.key)?;
        let permit = job.permit.take()?;
        let piece = CallPiece {
            started: *started,
            piece: job.piece.clone(),
            deadline: job.deadline,
            request: job.request,
        };
        Some((piece, permit))
    });
    awaited.unzip()
}

/// Gives pieces that weren't sent their permits back.
fn return_permits(batcher: &Batcher, sent_pieces: &[CallPiece], permits: Option<SendPermits>) {
    let mut queue = batcher.queue.borrow_mut();
    for (sent, permit) in sent_pieces
        .iter()
        .zip(permits.into_iter().flat_map(SendPermits::into_vec))
    {
        if let Some(job) = queue.job_mut(sent.started.key) {
            job.permit.get_or_insert(permit);
        }
    }
}

/// Id of a call, by which its answer is known.
fn call_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

async fn exchange(
    cx: &Rc<Traffic>,
    target: &Target,
    sent_pieces: &[CallPiece],
    permits: Vec<SendPermit>,
    call_id: &str,
) -> Result<Vec<PieceResult>, CallError> {
    let Some(permits) = SendPermits::new(permits) else {
        return Ok(Vec::new());
    };
    let request = || {
        let now = cx.clock.now();
        let pieces = sent_pieces.iter();
        let pieces = pieces.map(|sent| (&*sent.piece, sent.deadline.saturating_sub(now)));
        pieces::run_request(target.incarnation(), call_id, pieces)
    };
    let answer = target_calls::call(cx, target, request, MAX_RESPONSE_BYTES, permits)
        .await
        .map_err(call_error)?;
    if answer.is_foreign {
        return Err(CallError::Foreign);
    }
    let status = answer.status;
    let body = answer.body.map_err(|source| CallError::CutOff { source })?;
    if answer.head.not_run {
        return Err(CallError::Refused { status });
    }
    if status != StatusCode::OK {
        return Err(CallError::Status { status });
    }
    let json = body.ok_or(CallError::Status { status })?;
    let results =
        pieces::decode_results(&json).map_err(|source| CallError::Malformed { source })?;
    if results.len() != sent_pieces.len() {
        return Err(CallError::Count {
            got: results.len(),
            expected: sent_pieces.len(),
        });
    }
    Ok(results)
}

fn call_error(unanswered: Unanswered) -> CallError {
    let permits = unanswered.permits;
    match unanswered.error {
        SendError::Withdrawn { .. } => CallError::TargetLeft { permits },
        source @ SendError::LinkLost { .. } => CallError::LinkLost { source },
        source if source.nothing_sent() => CallError::Unsent { source, permits },
        source => CallError::Send { source },
    }
}

/// Delivers the results of an answered call.
fn deliver_results(
    cx: &Rc<Traffic>,
    batcher: &Rc<Batcher>,
    started: &StartedCall,
    target: &Target,
    sent_pieces: &[CallPiece],
    results: Vec<PieceResult>,
) {
    for piece in &started.pieces {
        if !sent_pieces.iter().any(|sent| sent.started.key == piece.key) {
            let mut queue = batcher.queue.borrow_mut();
            queue.release_memory(started.worker, piece.result_bytes);
        }
    }
    let is_full = |result: &PieceResult| *result == PieceResult::Failed(PieceFailure::NoRoom);
    if !results.iter().any(is_full) {
        let mut queue = batcher.queue.borrow_mut();
        queue.mark_memory_granted(started.worker);
    }
    for (sent, result) in sent_pieces.iter().zip(results) {
        match result {
            PieceResult::Completed(handle) => {
                batcher.completed(sent.started, started, target, handle)
            }
            PieceResult::Failed(failure) => {
                piece_failed(cx, batcher, started.worker, target, sent, failure);
            }
        }
    }
}

/// Handles the failure of one piece in an answered call.
fn piece_failed(
    cx: &Rc<Traffic>,
    batcher: &Batcher,
    worker: WorkerKey,
    target: &Target,
    sent: &CallPiece,
    failure: PieceFailure,
) {
    let StartedPiece { key, result_bytes } = sent.started;
    let mut queue = batcher.queue.borrow_mut();
    queue.release_memory(worker, result_bytes);
    match failure {
        PieceFailure::NoRoom => {
            let retention_ms = batcher.retention_ms();
            queue.mark_memory_full(worker, result_bytes, retention_ms, cx.clock.now());
        }
        // Every other failure counts towards the limit of the piece.
        _ => queue
            .job_mut(key)
            .into_iter()
            .for_each(|job| job.failures += 1),
    }
    let reason = match failure {
        PieceFailure::NoRoom => RepeatReason::NoRoom,
        _ => RepeatReason::PieceFailed,
    };
    if let Some(job) = queue.job_mut(key) {
        job.last_failure = Some(reason);
    }
    drop(queue);
    let piece = &sent.piece;
    cx.log.line(
        events::PIECE_FAILED,
        format_args!(
            "service={} request={} stage={} piece={} target={} why={failure:?}",
            Field(&target.record.service),
            Field(&piece.request_id),
            piece.stage,
            piece.piece,
            Field(&target.incarnation().id)
        ),
    );
    if matches!(failure, PieceFailure::Late | PieceFailure::InputGone) {
        batcher.failed(key, failure);
    }
}

/// Requeues the pieces that a call left unfinished, unless they failed too often or may not be sent
/// again.
fn requeue_unfinished(
    cx: &Traffic,
    batcher: &Rc<Batcher>,
    unfinished: Vec<PieceKey>,
    end: CallEnd,
) {
    for key in unfinished {
        let mut queue = batcher.queue.borrow_mut();
        let Some(job) = queue.job_mut(key) else {
            continue;
        };
        job.failures += u32::from(end == CallEnd::Failed);
        let may_retry = job.failures < MAX_FAILURES
            && job.crashes_alone < MAX_CRASHES_ALONE
            && cx.crashes.check(cx, || job.request).is_ok();
        let failure = match may_retry {
            true if has_permit(cx, batcher, job, end) => {
                queue.requeue(key);
                continue;
            }
            true => PieceFailure::NoRoom,
            false => PieceFailure::Failed,
        };
        drop(queue);
        batcher.failed(key, failure);
    }
}

/// True if a piece may be sent again after a call ended in this way: it wasn't sent, or the service's
/// budget permits a repeat.
fn has_permit(cx: &Traffic, batcher: &Batcher, job: &mut Job, end: CallEnd) -> bool {
    if job.permit.is_none() {
        let reason = match (end, job.last_failure.take()) {
            (CallEnd::Answered, Some(reason)) => reason,
            (CallEnd::Refused, _) => RepeatReason::CallRefused,
            _ => RepeatReason::CallFailed,
        };
        let permit = cx.permit_repeat(&job.repeat(batcher.service(), reason));
        job.permit = permit;
    }
    job.permit.is_some()
}

/// Releases results at their producer, after its backoff if it is backing off. Best effort:
/// the producer also drops them after its retention time.
pub(super) async fn release(
    cx: Rc<Traffic>,
    batcher: Rc<Batcher>,
    worker: WorkerKey,
    target: Rc<Target>,
    releases: Vec<PendingRelease>,
) {
    if let Some(until) = cx.backoff_until(&target) {
        tokio::time::sleep_until(cx.clock.timer(until).into()).await;
    }
    let handles = releases.iter().map(|release| release.handle.clone());
    let handles: Vec<String> = handles.collect();
    let is_answered = match pieces::release_request(target.incarnation(), &call_id(), &handles) {
        Ok(req) => {
            let call = target_calls::call_to_clean_up(&cx, &target, req, MAX_RESPONSE_BYTES);
            let answer = tokio::time::timeout(RELEASE_TIMEOUT, call).await;
            matches!(answer, Ok(Ok(answer)) if answer.status == StatusCode::OK)
        }
        Err(_) => false,
    };
    if !is_answered {
        log::debug!(
            "results at {} may not be released; the target drops them after its retention time",
            target.record.addr,
        );
    }
    batcher.release_ended(worker, &releases, is_answered);
}
