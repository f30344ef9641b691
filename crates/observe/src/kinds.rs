//! The closed list of error kinds, and the one table from kind to answer.
//!
//! Whatever goes wrong on the way to an answer becomes one of these kinds; the
//! table says which HTTP status it gets, whether to come back and when, and
//! what the caller can do. `docs/ERRORS.md` shows the same table.

use serde::{Deserialize, Serialize};

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident, $name:literal, $status:literal, $retry:expr, $advice:literal;)*) => {
        /// Why a request has no whole answer.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind),*];

            /// What the answer for this kind looks like.
            pub fn answer(self) -> KindAnswer {
                match self {
                    $(ErrorKind::$kind => KindAnswer {
                        name: $name,
                        status: $status,
                        retry_after_ms: $retry,
                        advice: $advice,
                    },)*
                }
            }
        }
    };
}

/// One row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindAnswer {
    /// Name in answers, logs and metrics.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// When to come back with the same request; `None`: not as it is.
    pub retry_after_ms: Option<u64>,
    /// What the caller can do next.
    pub advice: &'static str,
}

error_kinds! {
    /// The request itself is malformed.
    BadRequest, "bad_request", 400, None, "correct the request as the message says";
    /// No key, or a key of no organisation.
    Unauthorized, "unauthorized", 401, None, "send the organisation's key as a bearer token";
    /// The organisation may not call this pipeline.
    NotAllowed, "not_allowed", 403, None, "ask the operators to allow this pipeline";
    /// No such pipeline.
    UnknownPipeline, "unknown_pipeline", 404, None, "check the pipeline's name";
    /// No route for the host and path.
    UnknownRoute, "unknown_route", 404, None, "check the host and the path";
    /// The body didn't come in time; nothing of the request ran.
    BodyLate, "body_late", 408, Some(500), "send the whole body sooner";
    /// The body exceeds the limit.
    BodyTooLarge, "body_too_large", 413, None, "send a smaller body";
    /// The deadline is no number, 0, or beyond the pipeline's.
    DeadlineInvalid, "deadline_invalid", 400, None, "name a deadline within the pipeline's bounds";
    /// The pipeline runs once and no ticket or id came with the request.
    TicketRequired, "ticket_required", 428, None, "get a ticket from POST /v1/tickets and present it";
    /// The ticket is not one of this fleet, or another organisation's.
    TicketInvalid, "ticket_invalid", 400, None, "get a new ticket from POST /v1/tickets";
    /// The ticket or id stands for another request.
    TicketReused, "ticket_reused", 409, None, "use a new ticket for a new request";
    /// Too old to say whether it ran; not run now.
    TicketExpired, "ticket_expired", 410, None, "find out by other means whether an earlier send ran";
    /// The ticket or id was refused before as not run.
    TicketRefused, "ticket_refused", 409, None, "make the request anew with a new ticket";
    /// It ended, but its answer is no longer kept.
    AnswerDropped, "answer_dropped", 410, None, "it ended before; do not send it again";
    /// The entry that answers for the ticket is gone.
    IssuerGone, "issuer_gone", 504, None, "find out by other means whether an earlier send ran";
    /// The store cannot say whether the id was used.
    ClaimUnavailable, "claim_unavailable", 503, Some(2_000), "send the same id again later, or use a ticket";
    /// The ledger is full.
    LedgerFull, "ledger_full", 503, Some(1_000), "make the request anew later, with a new ticket";
    /// Too many requests in flight.
    Overloaded, "overloaded", 503, Some(500), "send the same request again later";
    /// The remaining time does not suffice for the remaining stages.
    CannotFinish, "cannot_finish", 503, Some(500), "send it again later, or with a longer deadline";
    /// The deadline passed while a stage was under way.
    DeadlineExceeded, "deadline_exceeded", 504, Some(500), "see the stages' status for what ran";
    /// No target of a stage may be used now.
    NoTarget, "no_target", 503, Some(1_000), "send the same request again later";
    /// No entry in a permitted hall can be reached.
    NoPermittedEntry, "no_permitted_entry", 503, Some(1_000), "send the same request again later";
    /// A target failed and the stage could not be run elsewhere.
    TargetFailed, "target_failed", 502, Some(500), "see the stages' status for what ran";
    /// A result that the request starts from was lost; the request did not run.
    InputsGone, "inputs_gone", 503, Some(500), "send the same request again later";
    /// Targets ended while they ran this request; it is refused for a while.
    EndsTargets, "ends_targets", 503, Some(600_000), "don't send it again as it is; ask the operators why it ends targets";
    /// A stage before the request could not be run; the request itself did not.
    StageFailed, "stage_failed", 503, Some(1_000), "send the same request again later";
    /// The entry that the request was passed on to did not answer.
    RelayFailed, "relay_failed", 502, Some(500), "present the same ticket again";
    /// This entry reaches neither store nor peers.
    Isolated, "isolated", 503, Some(1_000), "send the same request to another entry";
    /// This entry is stopping.
    Stopping, "stopping", 503, Some(500), "make the request anew at another entry, with a new ticket";
    /// No configuration is in force here yet.
    NoConfiguration, "no_configuration", 503, Some(1_000), "send the same request again later";
}
