//! Headers between callers and entries, and between entries: names and parsing.

use std::time::Duration;

use actix_web::http::header::{HeaderMap, ACCEPT};
use rand::Rng;

use crate::kinds::ErrorKind;

/// The caller's request id.
pub const REQUEST: &str = "hollowsail-request-id";
/// Deadline in milliseconds from the time of receipt.
pub const DEADLINE: &str = "hollowsail-deadline-ms";
/// Ticket of a request that runs at most once.
pub const TICKET: &str = "hollowsail-ticket";
/// Idempotency key of a request that runs at most once, chosen by the caller.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// When the request with that key was first sent, in milliseconds since 1970.
pub const IDEMPOTENCY_TIME: &str = "hollowsail-idempotency-time";
/// Between entries: the receiver owns the claim on the idempotency key.
pub const CLAIM_OWNER: &str = "hollowsail-claim-owner";
/// Between entries: number of times the request was relayed.
pub const HOPS: &str = "hollowsail-hops";
/// Headers of requests that run at most once.
pub const ONCE: [&str; 3] = [TICKET, IDEMPOTENCY_KEY, IDEMPOTENCY_TIME];
/// Maximum length of a request id, in characters.
const MAX_ID_LEN: usize = 64;

/// Value of a header; `None` if absent or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The caller's request id, or a random one when it sent none.
pub fn request_id(headers: &HeaderMap) -> Result<String, String> {
    let Some(id) = text(headers, REQUEST) else {
        return Ok(format!("{:016x}", rand::rng().random::<u64>()));
    };
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if id.is_empty() || id.len() > MAX_ID_LEN || !id.chars().all(allowed) {
        return Err(format!(
            "header {REQUEST} is malformed: expected 1 to {MAX_ID_LEN} characters out of \
             letters, digits and -_.:"
        ));
    }
    Ok(id.to_string())
}

/// The deadline from its header, or the pipeline's when the caller sent none.
pub fn deadline(headers: &HeaderMap, longest_ms: u32) -> Result<Duration, (ErrorKind, String)> {
    let Some(value) = headers.get(DEADLINE) else {
        return Ok(Duration::from_millis(u64::from(longest_ms)));
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u32>().ok())
        .filter(|ms| (1..=longest_ms).contains(ms))
        .map(|ms| Duration::from_millis(u64::from(ms)))
        .ok_or_else(|| {
            let message = format!("header {DEADLINE} is not a number from 1 to {longest_ms}");
            (ErrorKind::DeadlineInvalid, message)
        })
}

/// True when the request has a ticket or an idempotency key.
pub fn runs_once(headers: &HeaderMap) -> bool {
    headers.contains_key(TICKET) || headers.contains_key(IDEMPOTENCY_KEY)
}

/// Number of times a peer's request was relayed; the maximum if the header is
/// missing or malformed.
pub fn hops(headers: &HeaderMap) -> u8 {
    text(headers, HOPS)
        .and_then(|text| text.parse().ok())
        .unwrap_or(u8::MAX)
}

/// True when the caller accepts server-sent events.
pub fn accepts_events(headers: &HeaderMap) -> bool {
    text(headers, ACCEPT.as_str()).is_some_and(|accept| accept.contains("text/event-stream"))
}
