//! Accepting a configuration in the store, whatever answers are lost.
//!
//! [`Accept`] drives one apply: read the head, and if it is the one the
//! operator based the apply on, replace it by compare-and-swap. A write whose
//! answer is lost may have taken effect, may do so later, or never; reading the
//! head back settles it, because the head names the apply ids of the latest
//! revisions and a late write cannot replace a head that has moved.

use hollowsail_config::chunk::{FileEntry, Head};

/// What to do in the store next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcceptStep {
    ReadHead,
    /// Write the chunks, then this head over the version that was read
    /// (`None`: only if absent).
    WriteHead {
        over: Option<u64>,
        head: Head,
    },
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadAnswer {
    /// The head and its version, or nothing yet.
    Read(Option<(u64, Head)>),
    Written,
    /// The head was not the version read before; nothing was written.
    Moved,
    /// Nothing was done.
    NotDone,
    /// No answer; a write may take effect, now or later.
    Lost,
}

/// How an apply ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Accepted {
    /// Accepted as `revision`; `newest` is the latest head seen.
    Yes { revision: u64, newest: Box<Head> },
    /// Certainly not accepted: this head came first.
    Conflict(Option<Box<Head>>),
    /// Certainly not accepted: the store did not answer.
    Unavailable,
    /// Perhaps accepted.
    Unknown,
}

/// What an operator wants accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Apply {
    /// Revision that it is based on.
    pub base: u64,
    pub apply_id: String,
    pub files: Vec<FileEntry>,
    /// The same apply was sent before and its outcome is not known: a write of
    /// that time may still arrive.
    pub resent: bool,
}

/// One apply in progress.
#[derive(Debug, Clone)]
pub struct Accept {
    apply: Apply,
    step: AcceptStep,
    tries_left: u32,
    /// Some write may take effect although it was not answered.
    in_doubt: bool,
}

impl Accept {
    /// An apply that gives up after `tries` calls that were not answered.
    pub fn new(apply: Apply, tries: u32) -> Self {
        Accept {
            step: AcceptStep::ReadHead,
            tries_left: tries,
            in_doubt: apply.resent,
            apply,
        }
    }

    pub fn step(&self) -> &AcceptStep {
        &self.step
    }

    /// Takes an answer to the present step; `Some` is the end.
    pub fn answer(&mut self, answer: HeadAnswer) -> Option<Accepted> {
        let step = std::mem::replace(&mut self.step, AcceptStep::ReadHead);
        match (step, answer) {
            (AcceptStep::ReadHead, HeadAnswer::Read(found)) => self.judge(found),
            (AcceptStep::WriteHead { head, .. }, HeadAnswer::Written) => Some(Accepted::Yes {
                revision: head.revision,
                newest: Box::new(head),
            }),
            (AcceptStep::WriteHead { .. }, HeadAnswer::Lost) => {
                self.in_doubt = true;
                self.try_again()
            }
            _ => self.try_again(),
        }
    }

    fn judge(&mut self, found: Option<(u64, Head)>) -> Option<Accepted> {
        let head = found.as_ref().map(|(_, head)| head);
        if let Some((revision, newest)) =
            head.and_then(|head| Some((head.revision_of(&self.apply.apply_id)?, head.clone())))
        {
            return Some(Accepted::Yes {
                revision,
                newest: Box::new(newest),
            });
        }
        if head.map_or(0, |head| head.revision) != self.apply.base {
            return Some(self.conflict(head));
        }
        self.step = AcceptStep::WriteHead {
            head: Head::following(head, &self.apply.apply_id, self.apply.files.clone()),
            over: found.map(|(version, _)| version),
        };
        None
    }

    /// The head has moved past our base: a write of ours either stands among
    /// the applies that it remembers, or never will.
    fn conflict(&self, head: Option<&Head>) -> Accepted {
        let remembers = head.is_some_and(|head| head.remembers_from() <= self.apply.base + 1);
        if self.in_doubt && !remembers {
            return Accepted::Unknown;
        }
        Accepted::Conflict(head.cloned().map(Box::new))
    }

    fn try_again(&mut self) -> Option<Accepted> {
        if self.tries_left > 0 {
            self.tries_left -= 1;
            return None;
        }
        Some(match self.in_doubt {
            true => Accepted::Unknown,
            false => Accepted::Unavailable,
        })
    }
}
