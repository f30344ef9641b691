//! Permission to send work to a target.

/// Permission to send one request, or one piece of a stage, to a target once. Whoever sends gives
/// it up; it comes back only if the target got nothing.
#[derive(Debug)]
#[must_use = "a permit that is dropped unused counts as used"]
pub struct SendPermit(());

impl SendPermit {
    /// Only a budget gives out permits.
    pub(super) fn new() -> Self {
        SendPermit(())
    }

    /// The permit that a peer passes on with work, or gives back with work that it didn't send. The
    /// sender of the message gave its own up.
    pub fn from_peer() -> Self {
        SendPermit(())
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

    pub fn into_vec(self) -> Vec<SendPermit> {
        self.0
    }
}

impl From<SendPermit> for SendPermits {
    fn from(permit: SendPermit) -> Self {
        SendPermits(vec![permit])
    }
}
