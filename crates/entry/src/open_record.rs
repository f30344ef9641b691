//! The open ledger record of a run that executes at most once.

use std::sync::Arc;

use hollowsail_ledger::RecordId;

use crate::answer::AnswerBody;
use crate::context::Entry;
use crate::kinds::ErrorKind;
use crate::once_ledger::RetainedAnswer;

/// Closes its record as unknown when dropped without an answer, as in a panic: an
/// open record would make other sends of the request wait until their deadlines.
pub struct OpenRecord {
    entry: Arc<Entry>,
    id: RecordId,
    request: String,
    closed: bool,
}

impl OpenRecord {
    pub fn new(entry: Arc<Entry>, id: RecordId, request: &str) -> Self {
        OpenRecord {
            entry,
            id,
            request: request.into(),
            closed: false,
        }
    }

    /// Closes the record with the answer of the run.
    pub fn close(mut self, answer: RetainedAnswer) {
        self.finish(answer);
    }

    fn finish(&mut self, answer: RetainedAnswer) {
        self.closed = true;
        let mut once = self.entry.once.lock().expect("no panic while held");
        once.close(self.id, answer);
    }
}

impl Drop for OpenRecord {
    fn drop(&mut self) {
        if !self.closed {
            let message = "the run ended without an answer";
            let answer = AnswerBody::unknown(&self.request, ErrorKind::TargetFailed, message);
            self.finish(answer.to_bytes());
        }
    }
}
