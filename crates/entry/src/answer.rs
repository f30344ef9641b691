//! What callers get: the outcome, each stage's status, and the output.

use actix_web::http::header::{ContentType, RETRY_AFTER};
use actix_web::HttpResponse;
use hollowsail_routing::{outcome_of, Outcome, StageStatus};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::kinds::ErrorKind;

/// One stage as the caller sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StageReport {
    pub stage: String,
    pub status: StageStatus,
    pub attempts: u32,
    /// Milliseconds spent in this stage.
    pub ms: u64,
}

/// The answer to one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// The caller's request id, or one made here.
    pub request: String,
    pub outcome: Outcome,
    /// Absent when the outcome is `whole`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub kind: Option<ErrorKind>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// When to come back; absent when the same request cannot help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// True when making the request anew cannot repeat what must not be.
    pub safe_to_repeat: bool,
    pub stages: Vec<StageReport>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub output: Option<Value>,
    /// Configuration revision that the request ran under.
    pub revision: u64,
}

/// An answer that ends a request early; boxed, since it travels as an error.
pub type Refusal = Box<AnswerBody>;

impl AnswerBody {
    /// A refusal before any stage: not run.
    pub fn refusal(request: &str, kind: ErrorKind, message: impl Into<String>) -> Refusal {
        let outcome = Outcome::NotRun;
        Box::new(AnswerBody::without_output(
            request,
            outcome,
            kind,
            message.into(),
        ))
    }

    /// Nothing is run now, and whether an earlier send ran is not known.
    pub fn unknown(request: &str, kind: ErrorKind, message: impl Into<String>) -> Refusal {
        let mut body = AnswerBody::without_output(request, Outcome::Unknown, kind, message.into());
        body.safe_to_repeat = false;
        Box::new(body)
    }

    /// The same, without the claim that nothing ran.
    pub fn in_doubt(mut self: Box<Self>) -> Refusal {
        self.outcome = Outcome::Unknown;
        self.safe_to_repeat = false;
        self
    }

    fn without_output(request: &str, outcome: Outcome, kind: ErrorKind, message: String) -> Self {
        let row = kind.answer();
        AnswerBody {
            request: request.into(),
            outcome,
            kind: Some(kind),
            message: Some(format!("{message}; {}", row.advice)),
            retry_after_ms: row.retry_after_ms,
            safe_to_repeat: true,
            stages: Vec::new(),
            output: None,
            revision: 0,
        }
    }

    /// The answer to a request whose stages were reached.
    pub fn ended(
        request: &str,
        stages: Vec<StageReport>,
        safe_to_repeat: bool,
        result: Result<Value, (ErrorKind, String)>,
    ) -> Self {
        let statuses: Vec<_> = stages.iter().map(|stage| stage.status).collect();
        let outcome = outcome_of(&statuses, result.is_ok());
        let mut body = match result {
            Ok(output) => AnswerBody {
                request: request.into(),
                outcome,
                kind: None,
                message: None,
                retry_after_ms: None,
                safe_to_repeat,
                stages: Vec::new(),
                output: Some(output),
                revision: 0,
            },
            Err((kind, message)) => AnswerBody::without_output(request, outcome, kind, message),
        };
        body.safe_to_repeat = safe_to_repeat;
        body.stages = stages;
        body
    }

    /// JSON text.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an answer always serializes")
    }

    /// The HTTP response.
    pub fn into_response(self) -> HttpResponse {
        let row = self.kind.map(ErrorKind::answer);
        let status = row.map_or(actix_web::http::StatusCode::OK, |row| {
            actix_web::http::StatusCode::from_u16(row.status)
                .expect("the table holds valid statuses")
        });
        let mut res = HttpResponse::build(status);
        if let Some(ms) = self.retry_after_ms {
            res.insert_header((RETRY_AFTER, ms.div_ceil(1000).to_string()));
        }
        res.content_type(ContentType::json()).body(self.to_bytes())
    }
}
