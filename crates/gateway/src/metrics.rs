//! Counters and latency histograms, and the listener for scrapes. Labels contain services,
//! kinds and outcomes, but no payload, callers or requests.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hollowsail_observe::recorder;
use hollowsail_platform::settings::METRICS_PATH;
use hollowsail_rollout::{Arm, Outcome};
use hollowsail_routing::kept_bytes::KeptTotals;
use hollowsail_routing::Millis;
use hollowsail_stages::RoomTotals;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics::{counter, gauge, histogram};
use tokio::net::TcpListener;

use crate::callers::listen::{accept_each, bind};

/// Serves scrapes until the thread ends. When the address cannot be bound, requests are served
/// without metrics and a warning is logged.
pub fn serve(addr: SocketAddr) -> Option<SocketAddr> {
    recorder::install();
    let listener = match bind(addr).and_then(TcpListener::from_std) {
        Ok(listener) => listener,
        Err(err) => {
            log::warn!(
                "cannot listen for metrics at {addr}: {err}; \
                 serving without metrics; free the port and restart"
            );
            return None;
        }
    };
    let bound = listener.local_addr().ok();
    actix_rt::spawn(accept(listener));
    bound
}

async fn accept(listener: TcpListener) {
    accept_each(listener, "a scrape", |stream| {
        let service = service_fn(|req| async move { Ok::<_, Infallible>(answer(&req)) });
        let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        actix_rt::spawn(async move {
            if let Err(err) = serving.await {
                log::debug!("a scrape's connection failed: {err}");
            }
        });
    })
    .await;
}

fn answer(req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if req.uri().path() != METRICS_PATH {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    Response::new(Full::from(recorder::render()))
}

/// Counts a request that was answered, or whose caller disconnected (`kind` "caller_left").
pub fn count_request(service: &str, kind: &'static str, status: u16, took: Duration) {
    let service = service.to_string();
    counter!("hollowsail_requests_total", "service" => service.clone(), "kind" => kind,
        "status" => status.to_string())
    .increment(1);
    histogram!("hollowsail_request_seconds", "service" => service).record(took);
}

/// Counts a stream that a caller resumes: how its version is known, or the kind of the refusal.
pub fn count_stream_taken_up(service: &str, result: &'static str) {
    counter!("hollowsail_streams_taken_up_total", "service" => service.to_string(),
        "result" => result)
    .increment(1);
}

/// Records whether this host is cut off from all targets.
pub fn set_cut_off(is_cut_off: bool) {
    gauge!("hollowsail_targets_unreachable").set(f64::from(u8::from(is_cut_off)));
}

/// Sets the bytes exchanged with callers, targets and peers.
pub fn set_host_bytes(received: [u64; 3], sent: [u64; 3]) {
    let ends = ["callers", "targets", "peers"].into_iter();
    for (end, (received, sent)) in ends.zip(received.into_iter().zip(sent)) {
        let set = |direction, bytes| {
            counter!("hollowsail_host_bytes_total", "end" => end, "direction" => direction)
                .absolute(bytes);
        };
        set("received", received);
        set("sent", sent);
    }
}

/// Counts a time in which this host refuses connections of callers.
pub fn count_refusing_callers() {
    counter!("hollowsail_callers_refused_total").increment(1);
}

/// Counts a connection that a peer was asked to relay, with its outcome.
pub fn count_relayed(outcome: &'static str) {
    counter!("hollowsail_relayed_connections_total", "outcome" => outcome).increment(1);
}

/// Counts an attempt at a target with its outcome.
pub fn count_attempt(service: &str, outcome: &'static str) {
    counter!("hollowsail_attempts_total", "service" => service.to_string(), "outcome" => outcome)
        .increment(1);
}

/// Counts work ("request" or "piece") that was to be sent to a service again: why, and whether its
/// budget permitted that ("granted" or "refused").
pub fn count_repeat(service: &str, work: &'static str, reason: &'static str, result: &'static str) {
    counter!("hollowsail_repeats_total", "service" => service.to_string(), "work" => work,
        "reason" => reason, "result" => result)
    .increment(1);
}

/// Counts a call with pieces of a stage.
pub fn count_call(service: &str, outcome: &'static str, pieces: usize, took: Duration) {
    let service = service.to_string();
    counter!("hollowsail_stage_calls_total", "service" => service.clone(), "outcome" => outcome)
        .increment(1);
    counter!("hollowsail_stage_pieces_total", "service" => service.clone())
        .increment(pieces as u64);
    histogram!("hollowsail_stage_call_seconds", "service" => service).record(took);
}

/// Records how long a result was retained after its call.
pub fn record_retention(queue: &str, retained_for: Duration) {
    histogram!("hollowsail_result_stay_seconds", "queue" => queue.to_string()).record(retained_for);
}

/// Counts a decision of the owner of a queue on a request for capacity: "reserved" or the cause
/// of the refusal.
pub fn count_room_decision(queue: &str, result: &'static str, urgency: u8) {
    counter!("hollowsail_room_requests_total", "queue" => queue.to_string(), "result" => result,
        "urgency" => urgency.to_string())
    .increment(1);
}

/// Sets the number of reservations that the owner of a queue holds.
pub fn set_room_reservations(queue: &str, held: usize) {
    gauge!("hollowsail_room_reservations", "queue" => queue.to_string()).set(held as f64);
}

/// Sets the capacity of a queue and what is kept of it for expected arrivals, in pieces.
pub fn set_room_totals(queue: &str, totals: &RoomTotals) {
    gauge!("hollowsail_room_capacity_per_second", "queue" => queue.to_string())
        .set(totals.capacity_per_s);
    gauge!("hollowsail_room_offered_per_second", "queue" => queue.to_string())
        .set(totals.offered_per_s);
    gauge!("hollowsail_room_claimed", "queue" => queue.to_string()).set(totals.claimed);
}

/// Counts a request that goes on without a reservation in a contended queue.
pub fn count_room_fallback(queue: &str, cause: &'static str) {
    counter!("hollowsail_room_fallbacks_total", "queue" => queue.to_string(), "cause" => cause)
        .increment(1);
}

/// Counts the outcome of a request at one of the two versions of a roll-out.
pub fn count_rollout_answer(service: &str, arm: Arm, outcome: Outcome) {
    let version = match arm {
        Arm::Old => "old",
        Arm::New => "new",
    };
    let outcome = match outcome {
        Outcome::Answered(_) => "answered",
        Outcome::Failed => "failed",
        Outcome::Broken => "broken",
        Outcome::TimedOut(_) => "silent",
    };
    counter!("hollowsail_rollout_answers_total", "service" => service.to_string(),
        "version" => version, "outcome" => outcome)
    .increment(1);
}

/// Changes the number of requests that use one of the few connections of a service.
pub fn change_connections_in_use(service: &str, by: f64) {
    gauge!("hollowsail_connections_in_use", "service" => service.to_string()).increment(by);
}

/// Changes the number of requests that wait for one of the few connections of a service.
pub fn change_connections_waiting(service: &str, by: f64) {
    gauge!("hollowsail_connections_waiting", "service" => service.to_string()).increment(by);
}

/// Counts a new connection that a target closed before a request was sent on it.
pub fn count_connection_reset(service: &str) {
    counter!("hollowsail_connection_resets_total", "service" => service.to_string()).increment(1);
}

/// Sets the newest epoch of the store that this entry knows.
pub fn set_store_epoch(epoch: u64) {
    gauge!("hollowsail_store_era").set(epoch as f64);
}

/// Sets the epoch of a list, and the time since it was last known to be complete.
pub fn set_list(list: &'static str, epoch: u64, age_ms: Millis) {
    gauge!("hollowsail_list_era", "list" => list).set(epoch as f64);
    gauge!("hollowsail_list_age_seconds", "list" => list)
        .set(Duration::from_millis(age_ms).as_secs_f64());
}

/// Counts a page of a list that was read from the store.
pub fn count_list_page(list: &'static str) {
    counter!("hollowsail_list_pages_total", "list" => list).increment(1);
}

/// Counts a read of a list that can't be completed, or changes that don't advance.
pub fn count_list_fault(list: &'static str) {
    counter!("hollowsail_list_faults_total", "list" => list).increment(1);
}

/// Sets whether a list was read to its end and is followed.
pub fn set_list_followed(list: &'static str, is_followed: bool) {
    gauge!("hollowsail_list_followed", "list" => list).set(f64::from(u8::from(is_followed)));
}

/// Counts the restart of a loop of the control thread after a panic.
pub fn count_loop_restart(name: &'static str) {
    counter!("hollowsail_loop_restarts_total", "loop" => name).increment(1);
}

/// Sets the number of repeats whose sends may arrive in any later window.
pub fn set_held_repeats(service: &str, held: usize) {
    gauge!("hollowsail_held_repeats", "service" => service.to_string()).set(held as f64);
}

/// Sets the repeats of the last window, and held ones, that are charged to the fixed allowance.
pub fn set_charged_repeats(service: &str, charged: f64) {
    gauge!("hollowsail_charged_repeats", "service" => service.to_string()).set(charged);
}

/// Sets the bytes that this host keeps.
pub fn set_kept_bytes(kept: KeptTotals) {
    gauge!("hollowsail_kept_bytes", "kept" => "request").set(kept.requests as f64);
    gauge!("hollowsail_kept_bytes", "kept" => "answer").set(kept.answers as f64);
}

/// Counts an answer that was ended for want of memory.
pub fn count_ended_answer() {
    counter!("hollowsail_answers_gave_way_total").increment(1);
}

/// Sets the charges that this entry's share of the fixed allowance doesn't cover.
pub fn set_uncovered_repeats(service: &str, uncovered: f64) {
    gauge!("hollowsail_uncovered_repeats", "service" => service.to_string()).set(uncovered);
}

/// Counts an attempt or call whose answer nobody waited for any more, by how its connection ended.
pub fn count_abandoned(service: &str, end: &'static str) {
    counter!("hollowsail_abandoned_sends_total", "service" => service.to_string(), "end" => end)
        .increment(1);
}

/// Sets this entry's share of the fixed allowance of repeats.
pub fn set_repeat_share(share: f64) {
    gauge!("hollowsail_repeat_share").set(share);
}

/// Sets the hosts by which this entry decides how many units of the allowance of repeats it claims.
pub fn set_repeat_hosts(hosts: usize) {
    gauge!("hollowsail_repeat_hosts").set(hosts as f64);
}

/// Counts an outage of the store.
pub fn count_store_outage() {
    counter!("hollowsail_store_lost_total").increment(1);
}

/// Maximum number of header names with a counter of their own; further ones share "other".
const MAX_HEADER_LABELS: usize = 32;

thread_local! {
    /// Header names with a counter of their own.
    static HEADER_LABELS: RefCell<BTreeSet<String>> = const { RefCell::new(BTreeSet::new()) };
}

/// Counts a malformed or unrecognised header of a target.
pub fn count_unusable_header(header: &str) {
    let has_label = HEADER_LABELS.with_borrow_mut(|known| {
        known.contains(header)
            || known.len() < MAX_HEADER_LABELS && known.insert(header.to_string())
    });
    let label = if has_label { header } else { "other" };
    counter!("hollowsail_odd_words_total", "word" => label.to_string()).increment(1);
}
