//! Requests that crash the targets that run them.
//!
//! When an answer is interrupted, the entry tries to connect to the target; a refused
//! connection means that it has crashed. [`CrashLedger`] counts the crashes per request
//! digest, and a request with too many is refused before its first stage. Each entry
//! counts on its own.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use hollowsail_connect::CrashCheck;
use hollowsail_routing::crashes::requests::CRASHES_TO_REFUSE;
use hollowsail_routing::{CrashLedger, CrashVerdict, CrashedRun, Millis, RequestDigest};

use crate::job::Job;
use crate::kinds::ErrorKind;
use crate::task::Failure;

/// Crashed targets after which a stage isn't retried; a single crash may have another
/// cause than the request.
pub const MAX_CRASHES: u32 = 2;

/// The crash ledger of this entry.
#[derive(Debug, Default)]
pub struct Crashes {
    ledger: Mutex<CrashLedger>,
}

impl Crashes {
    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().expect("no holder panics")
    }

    /// The digest of a job; `None` without computing it when the ledger is empty.
    fn digest_if_needed(&self, job: &Job) -> Option<RequestDigest> {
        let is_empty = self.ledger().is_empty();
        (!is_empty).then(|| digest(job))
    }

    /// Refuses a request that is known to crash targets.
    pub fn check(&self, now: Millis, job: &Job) -> Result<(), Failure> {
        let Some(request) = self.digest_if_needed(job) else {
            return Ok(());
        };
        match self.ledger().verdict(now, request) {
            CrashVerdict::Refused { until } => {
                let retry_ms = until - now;
                let message = format!(
                    "{CRASHES_TO_REFUSE} targets crashed while they ran this request; \
                     it may run again in {retry_ms} ms"
                );
                Err((ErrorKind::EndsTargets, message))
            }
            CrashVerdict::Unsuspected | CrashVerdict::Suspect => Ok(()),
        }
    }

    /// Records that a target crashed while it ran a request that was sent to it at
    /// `sent_at`. Returns the number of crashes if this one counts.
    pub fn record_crash(&self, now: Millis, job: &Job, sent_at: Millis) -> Option<u32> {
        let run = CrashedRun {
            sent: sent_at,
            crashed_at: now,
            was_suspect: false,
        };
        self.ledger().record_crash(now, digest(job), run)
    }

    /// Records a complete answer: the request doesn't crash targets.
    pub fn record_success(&self, job: &Job) {
        if let Some(request) = self.digest_if_needed(job) {
            self.ledger().record_success(request);
        }
    }
}

/// True when no process listens at the target's address any more.
pub async fn has_crashed(target: SocketAddr) -> bool {
    CrashCheck::default().has_crashed(target).await
}

/// Digest of organisation, pipeline and input, independent of the request id.
fn digest(job: &Job) -> RequestDigest {
    let input = job.input.to_string();
    let fields = [&job.org, &job.pipeline().name, &input];
    RequestDigest::of(fields.map(|field| field.as_bytes()))
}
