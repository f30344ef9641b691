//! Requests that end the targets that run them, by what this entry saw.
//!
//! A target whose answer broke off is asked for a connection; one that refuses has ended.
//! [`CrashLedger`] counts what ended under a request, whatever its id, and a request under
//! which too many ended is refused before its first stage. Each entry counts for itself.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use hollowsail_connect::EndCheck;
use hollowsail_routing::crash_ledger::CRASHES_TO_REFUSE;
use hollowsail_routing::{CrashLedger, CrashedRun, Millis, RequestDigest, Standing};

use crate::job::Job;
use crate::kinds::ErrorKind;
use crate::task::Failure;

/// Targets that may end under one run of a request: one may end for its own reasons.
pub const MOST_ENDED: u32 = 2;

/// What this entry knows of requests that end targets.
#[derive(Debug, Default)]
pub struct Crashes {
    ledger: Mutex<CrashLedger>,
}

impl Crashes {
    fn ledger(&self) -> MutexGuard<'_, CrashLedger> {
        self.ledger.lock().expect("no holder panics")
    }

    /// The digest of a job, worked out only where anything is known of any request.
    fn if_any(&self, job: &Job) -> Option<RequestDigest> {
        let is_empty = self.ledger().is_empty();
        (!is_empty).then(|| digest(job))
    }

    /// Refuses a request that ends targets.
    pub fn judge(&self, now: Millis, job: &Job) -> Result<(), Failure> {
        let Some(request) = self.if_any(job) else {
            return Ok(());
        };
        match self.ledger().standing(now, request) {
            Standing::Refused { until } => {
                let left_ms = until - now;
                let message = format!(
                    "{CRASHES_TO_REFUSE} targets ended while they ran it; \
                     it runs once more in {left_ms} ms"
                );
                Err((ErrorKind::EndsTargets, message))
            }
            Standing::Unsuspected | Standing::Suspect => Ok(()),
        }
    }

    /// A target ended while it ran a request. Returns how many have, where that counts.
    pub fn ended(&self, now: Millis, job: &Job, sent: Millis) -> Option<u32> {
        let run = CrashedRun {
            sent,
            ended: now,
            was_suspect: false,
        };
        self.ledger().crashed(now, digest(job), run)
    }

    /// A request was answered whole: it ends no target.
    pub fn served(&self, job: &Job) {
        if let Some(request) = self.if_any(job) {
            self.ledger().served(request);
        }
    }
}

/// True when no process listens at a target's address any more.
pub async fn has_ended(target: SocketAddr) -> bool {
    EndCheck::default().has_ended(target).await
}

/// What is the same of a request whatever its id: who asks, for what, with what.
fn digest(job: &Job) -> RequestDigest {
    let input = job.input.to_string();
    let fields = [&job.org, &job.pipeline().name, &input];
    RequestDigest::of(fields.map(|field| field.as_bytes()))
}
