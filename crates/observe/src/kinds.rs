//! The closed list of error kinds and the table from kind to answer.
//!
//! Every failed request ends with one of these kinds. The table gives its HTTP
//! status, whether and when to retry, and what the caller can do.
//! `docs/ERRORS.md` shows the same table.

use serde::{Deserialize, Serialize};

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident, $name:literal, $status:literal, $retry:expr, $advice:literal;)*) => {
        /// Why a request has no complete answer.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind),*];

            /// Row of the table for this kind.
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
    /// Delay before the same request may be retried; `None`: not unchanged.
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
    /// The body did not arrive in time; the request did not run.
    BodyLate, "body_late", 408, Some(500), "send the whole body sooner";
    /// The body exceeds the limit.
    BodyTooLarge, "body_too_large", 413, None, "send a smaller body";
    /// The deadline is not a number, is 0, or exceeds the pipeline's.
    DeadlineInvalid, "deadline_invalid", 400, None, "set a deadline within the pipeline's bounds";
    /// The pipeline runs at most once and the request has no ticket or id.
    TicketRequired, "ticket_required", 428, None, "get a ticket from POST /v1/tickets and present it";
    /// The ticket was not issued by this fleet, or belongs to another organisation.
    TicketInvalid, "ticket_invalid", 400, None, "get a new ticket from POST /v1/tickets";
    /// The ticket or id belongs to another request.
    TicketReused, "ticket_reused", 409, None, "use a new ticket for a new request";
    /// The ticket or id is too old to determine whether the request ran; it is not run now.
    TicketExpired, "ticket_expired", 410, None, "check by other means whether an earlier attempt ran";
    /// The ticket or id was refused earlier and the request did not run.
    TicketRefused, "ticket_refused", 409, None, "repeat the request with a new ticket";
    /// The request ended, but its answer is no longer retained.
    AnswerDropped, "answer_dropped", 410, None, "the request has ended; do not send it again";
    /// The entry that answers for the ticket is gone.
    IssuerGone, "issuer_gone", 504, None, "check by other means whether an earlier attempt ran";
    /// The store cannot confirm whether the id was used.
    ClaimUnavailable, "claim_unavailable", 503, Some(2_000), "send the same id again later, or use a ticket";
    /// The ledger is full.
    LedgerFull, "ledger_full", 503, Some(1_000), "repeat the request later, with a new ticket";
    /// Too many requests in flight.
    Overloaded, "overloaded", 503, Some(500), "send the same request again later";
    /// The remaining time is too short for the remaining stages.
    CannotFinish, "cannot_finish", 503, Some(500), "send the request again later, or with a longer deadline";
    /// The deadline passed while a stage was running.
    DeadlineExceeded, "deadline_exceeded", 504, Some(500), "see the stages' status for what ran";
    /// No target of a stage is usable now.
    NoTarget, "no_target", 503, Some(1_000), "send the same request again later";
    /// No entry in a permitted hall can be reached.
    NoPermittedEntry, "no_permitted_entry", 503, Some(1_000), "send the same request again later";
    /// A target failed and the stage could not be run elsewhere.
    TargetFailed, "target_failed", 502, Some(500), "see the stages' status for what ran";
    /// A result that the request depends on was lost; the request did not run.
    InputsGone, "inputs_gone", 503, Some(500), "send the same request again later";
    /// No target of the version that began the stream is usable now.
    StreamVersionAway, "stream_version_away", 503, Some(1_000), "send the same request again later, to resume after the same event";
    /// The version that began the stream is unknown or no longer in use, so it can't be resumed.
    StreamVersionGone, "stream_version_gone", 503, None, "begin the stream anew, without an event or an attempt to resume";
    /// Targets crashed while running this request; it is refused temporarily.
    EndsTargets, "ends_targets", 503, Some(600_000), "do not send the request again unchanged; ask the operators why it crashes targets";
    /// A stage before the request could not be run; the request itself did not run.
    StageFailed, "stage_failed", 503, Some(1_000), "send the same request again later";
    /// The entry that the request was relayed to did not answer.
    RelayFailed, "relay_failed", 502, Some(500), "present the same ticket again";
    /// This entry reaches neither store nor peers.
    Isolated, "isolated", 503, Some(1_000), "send the same request to another entry";
    /// This entry is stopping.
    Stopping, "stopping", 503, Some(500), "repeat the request at another entry, with a new ticket";
    /// No configuration is in force here yet.
    NoConfiguration, "no_configuration", 503, Some(1_000), "send the same request again later";
}
