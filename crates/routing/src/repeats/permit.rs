//! Permission to send work to a target.

use super::{TrackedSend, Work};
use crate::Millis;

/// Permission to send one request, or one piece of a stage, to a target once. Whoever sends gives
/// it up; it comes back only if the target got nothing.
#[derive(Debug)]
#[must_use = "a permit that is dropped unused counts as used"]
pub struct SendPermit {
    work: Work,
    send: TrackedSend,
    /// It may not be used from this time on; `None` for a first send.
    expires: Option<Millis>,
}

impl SendPermit {
    /// Only a budget gives out permits.
    pub(super) fn new(now: Millis, work: &Work) -> Self {
        SendPermit {
            work: work.clone(),
            send: work.permit(now),
            expires: None,
        }
    }

    /// The permit that a peer passes on with work, or gives back with work that it didn't send. The
    /// sender of the message gave its own up.
    pub fn from_peer(now: Millis, work: &Work) -> Self {
        SendPermit::new(now, work)
    }

    /// The same permit, which may not be used once the units that cover it may be others'.
    pub fn with_expiry(mut self, expires: Millis) -> Self {
        self.expires = Some(expires);
        self
    }

    /// True if it may be used now.
    pub fn is_valid(&self, now: Millis) -> bool {
        self.expires.is_none_or(|expires| now < expires)
    }

    /// The request or piece that it permits to send.
    pub fn work(&self) -> &Work {
        &self.work
    }

    /// The send that it permits, which decides when its charge expires.
    pub fn send(&self) -> &TrackedSend {
        &self.send
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        self.send.drop_permit();
    }
}

/// Permits for everything that one message to a target carries; at least one.
#[derive(Debug)]
#[must_use = "permits that are dropped unused count as used"]
pub struct SendPermits(Vec<SendPermit>);

impl SendPermits {
    /// `None` without any permit.
    pub fn new(permits: Vec<SendPermit>) -> Option<Self> {
        (!permits.is_empty()).then_some(SendPermits(permits))
    }

    /// True if all of them may be used now.
    pub fn are_valid(&self, now: Millis) -> bool {
        self.0.iter().all(|permit| permit.is_valid(now))
    }

    /// The sends that they permit.
    pub fn sends(&self) -> impl Iterator<Item = &TrackedSend> {
        self.0.iter().map(SendPermit::send)
    }

    pub fn into_vec(self) -> Vec<SendPermit> {
        self.0
    }
}

impl From<SendPermit> for SendPermits {
    fn from(permit: SendPermit) -> Self {
        SendPermits(vec![permit])
    }
}
