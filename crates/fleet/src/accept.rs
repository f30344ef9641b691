//! Accepts a configuration in the store, although replies may be lost.
//!
//! [`Accept`] replaces the head on which an apply is based by compare-and-swap. A write whose
//! reply is lost may take effect at any later time; reading the head settles this, because the
//! head lists the latest apply ids and a late write can't replace a head that has changed.

use hollowsail_config::chunk::{FileEntry, Head};

/// Next operation on the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcceptStep {
    ReadHead,
    /// Write the chunks, then replace version `over` by this head (`None`: only if there is
    /// no head).
    WriteHead {
        over: Option<u64>,
        head: Head,
    },
}

/// The store's reply to an [`AcceptStep`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadReply {
    /// The version and the head, or `None` before the first apply.
    Read(Option<(u64, Head)>),
    Written,
    /// The head's version has changed since it was read; nothing was written.
    VersionMismatch,
    /// The operation had no effect.
    NotDone,
    /// No reply; a write may take effect, now or later.
    Lost,
}

/// Outcome of an apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// Accepted as `revision`; `newest` is the latest head seen.
    Accepted { revision: u64, newest: Box<Head> },
    /// Not accepted: another head replaced the base first.
    Conflict(Option<Box<Head>>),
    /// Not accepted: the store did not answer.
    Unavailable,
    /// Possibly accepted.
    Unknown,
}

/// An operator's request to accept a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Apply {
    /// Revision on which the files are based.
    pub base: u64,
    pub apply_id: String,
    pub files: Vec<FileEntry>,
    /// The apply was sent before with unknown outcome: that write may still take effect.
    pub resent: bool,
}

/// One apply in progress.
#[derive(Debug, Clone)]
pub struct Accept {
    apply: Apply,
    step: AcceptStep,
    retries_left: u32,
    /// A write without a reply may take effect.
    in_doubt: bool,
}

impl Accept {
    /// An apply that repeats unsuccessful operations at most `retries` times in total.
    pub fn new(apply: Apply, retries: u32) -> Self {
        Accept {
            step: AcceptStep::ReadHead,
            retries_left: retries,
            in_doubt: apply.resent,
            apply,
        }
    }

    pub fn step(&self) -> &AcceptStep {
        &self.step
    }

    /// Handles the reply to the current step; returns `Some` when the apply has ended.
    pub fn answer(&mut self, reply: HeadReply) -> Option<ApplyOutcome> {
        let step = std::mem::replace(&mut self.step, AcceptStep::ReadHead);
        match (step, reply) {
            (AcceptStep::ReadHead, HeadReply::Read(found)) => self.compare_head(found),
            (AcceptStep::WriteHead { head, .. }, HeadReply::Written) => {
                Some(ApplyOutcome::Accepted {
                    revision: head.revision,
                    newest: Box::new(head),
                })
            }
            (AcceptStep::WriteHead { .. }, HeadReply::Lost) => {
                self.in_doubt = true;
                self.retry()
            }
            _ => self.retry(),
        }
    }

    fn compare_head(&mut self, found: Option<(u64, Head)>) -> Option<ApplyOutcome> {
        let head = found.as_ref().map(|(_, head)| head);
        if let Some((revision, newest)) =
            head.and_then(|head| Some((head.revision_of(&self.apply.apply_id)?, head.clone())))
        {
            return Some(ApplyOutcome::Accepted {
                revision,
                newest: Box::new(newest),
            });
        }
        if head.map_or(0, |head| head.revision) != self.apply.base {
            return Some(self.conflict(head));
        }
        self.step = AcceptStep::WriteHead {
            head: Head::successor_of(head, &self.apply.apply_id, self.apply.files.clone()),
            over: found.map(|(version, _)| version),
        };
        None
    }

    /// The head is no longer the base. If it lists all applies since the base, a write of this
    /// apply that isn't among them can never take effect.
    fn conflict(&self, head: Option<&Head>) -> ApplyOutcome {
        let lists_all =
            head.is_some_and(|head| head.oldest_recorded_revision() <= self.apply.base + 1);
        if self.in_doubt && !lists_all {
            return ApplyOutcome::Unknown;
        }
        ApplyOutcome::Conflict(head.cloned().map(Box::new))
    }

    fn retry(&mut self) -> Option<ApplyOutcome> {
        if self.retries_left > 0 {
            self.retries_left -= 1;
            return None;
        }
        Some(match self.in_doubt {
            true => ApplyOutcome::Unknown,
            false => ApplyOutcome::Unavailable,
        })
    }
}
