//! Names of the headers between callers and entries, and their values.

use std::time::Duration;

use actix_web::http::header::{HeaderMap, ACCEPT};
use rand::Rng;

use crate::kinds::ErrorKind;

/// The caller's request id.
pub const REQUEST: &str = "hollowsail-request-id";
/// Relative deadline in milliseconds.
pub const DEADLINE: &str = "hollowsail-deadline-ms";
/// A ticket for a request that runs once.
pub const TICKET: &str = "hollowsail-ticket";
/// The caller's own id for a request that runs once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// When the request with that id was first sent, in milliseconds since 1970.
pub const IDEMPOTENCY_TIME: &str = "hollowsail-idempotency-time";
/// Between entries: the receiver owns the claim on the id.
pub const CLAIM_OWNER: &str = "hollowsail-claim-owner";
/// Between entries: how often the request was passed on.
pub const HOPS: &str = "hollowsail-hops";
/// Headers by which a request runs once.
pub const ONCE: [&str; 3] = [TICKET, IDEMPOTENCY_KEY, IDEMPOTENCY_TIME];
/// Longest id a caller may choose.
const MAX_ID: usize = 64;

/// Text of a header, if it is readable.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The caller's request id, or a new one when it sent none.
pub fn request_id(headers: &HeaderMap) -> Result<String, String> {
    let Some(id) = text(headers, REQUEST) else {
        return Ok(format!("{:016x}", rand::rng().random::<u64>()));
    };
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    if id.is_empty() || id.len() > MAX_ID || !id.chars().all(allowed) {
        return Err(format!(
            "{REQUEST} is not 1 to {MAX_ID} letters, digits, or one of -_.:"
        ));
    }
    Ok(id.to_string())
}

/// The deadline: named by the caller, or the pipeline's.
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
            let message = format!("{DEADLINE} is not a number from 1 to {longest_ms}");
            (ErrorKind::DeadlineInvalid, message)
        })
}

/// True when the request carries a ticket or an id of its caller's own.
pub fn runs_once(headers: &HeaderMap) -> bool {
    headers.contains_key(TICKET) || headers.contains_key(IDEMPOTENCY_KEY)
}

/// How often a peer's request was passed on; at least once.
pub fn hops(headers: &HeaderMap) -> u8 {
    text(headers, HOPS)
        .and_then(|text| text.parse().ok())
        .unwrap_or(u8::MAX)
}

/// True when the caller wants server-sent events.
pub fn wants_events(headers: &HeaderMap) -> bool {
    text(headers, ACCEPT.as_str()).is_some_and(|accept| accept.contains("text/event-stream"))
}
