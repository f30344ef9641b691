//! The record of a run that must end in the ledger, whatever becomes of the run.

use std::sync::Arc;

use hollowsail_ledger::RecordId;

use crate::answer::AnswerBody;
use crate::context::Entry;
use crate::kinds::ErrorKind;
use crate::once::KeptAnswer;

/// Closes its record as unknown when the run ends without an answer, as in a
/// panic: an open record would make its ticket wait for ever.
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

    /// Closes the record with its answer.
    pub fn close(mut self, answer: KeptAnswer) {
        self.finish(answer);
    }

    fn finish(&mut self, answer: KeptAnswer) {
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
