//! Why work is sent again.

/// Why a request, or a piece of a stage, is sent to a service once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RepeatReason {
    /// An attempt failed after it may have reached its target.
    AttemptFailed,
    /// A target refused an attempt.
    AttemptRefused,
    /// The target no longer had an input of the request.
    RequestInputGone,
    /// A worker had no room for the result of a piece.
    NoRoom,
    /// A worker failed to complete a piece.
    PieceFailed,
    /// A worker refused a call.
    CallRefused,
    /// A call ended without an answer that can be used.
    CallFailed,
    /// A call takes much longer than usual; its pieces go to another worker, too.
    CallOverdue,
    /// The owner of a queue was lost while it had the piece.
    OwnerLost,
    /// A result was lost that a later piece or the request needs.
    InputGone,
}

impl RepeatReason {
    /// True for a repeat without which the work may still be done.
    pub fn is_hedge(self) -> bool {
        self == RepeatReason::CallOverdue
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RepeatReason::AttemptFailed => "attempt_failed",
            RepeatReason::AttemptRefused => "attempt_refused",
            RepeatReason::RequestInputGone => "request_input_gone",
            RepeatReason::NoRoom => "no_room",
            RepeatReason::PieceFailed => "piece_failed",
            RepeatReason::CallRefused => "call_refused",
            RepeatReason::CallFailed => "call_failed",
            RepeatReason::CallOverdue => "call_overdue",
            RepeatReason::OwnerLost => "owner_lost",
            RepeatReason::InputGone => "input_gone",
        }
    }
}
