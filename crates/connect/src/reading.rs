//! Checks the answers on a connection before the library reads them.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

use hollowsail_framing::{AnswerReader, Fault};

#[derive(Default)]
struct State {
    reader: RefCell<AnswerReader>,
    fault: Cell<Option<Fault>>,
}

/// Shared by a connection and the request on it.
#[derive(Clone, Default)]
pub(crate) struct Reading(Rc<State>);

impl Reading {
    /// A request is sent, and its answer comes next.
    pub fn begin(&self, is_head: bool) {
        self.0.reader.borrow_mut().expect_answer(is_head);
        self.0.fault.set(None);
    }

    /// No answer is awaited any more.
    pub fn end(&self) {
        self.0.reader.borrow_mut().end();
    }

    /// Checks bytes from the peer. Fails when the answer breaks a rule.
    pub fn check(&self, bytes: &[u8]) -> io::Result<()> {
        let checked = self.0.reader.borrow_mut().read(bytes);
        self.record(checked)
    }

    /// Nothing more has come behind a complete answer. Fails if what came isn't another one.
    pub fn check_surplus(&self) -> io::Result<()> {
        let checked = self.0.reader.borrow().check_surplus();
        self.record(checked)
    }

    fn record(&self, checked: Result<(), Fault>) -> io::Result<()> {
        checked.map_err(|fault| {
            self.0.fault.set(Some(fault));
            io::Error::new(io::ErrorKind::InvalidData, fault)
        })
    }

    /// True when the answer is complete by its length, so that nothing but another one may follow it.
    pub fn is_complete(&self) -> bool {
        self.0.reader.borrow().is_complete()
    }

    /// The rule that the answer breaks.
    pub fn fault(&self) -> Option<Fault> {
        self.0.fault.get()
    }
}
