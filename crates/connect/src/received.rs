//! Bytes that a connection has received of an answer and that nobody has taken yet.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;

/// Longest head of an answer, with the interim answers before it, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 32 << 10;

/// Called with the number of bytes when it changes; false ends the connection.
pub type OnReceived = Rc<dyn Fn(usize) -> bool>;

#[derive(Default)]
struct State {
    bytes: Cell<usize>,
    /// The head isn't complete.
    is_head: Cell<bool>,
    on_change: RefCell<Option<OnReceived>>,
}

/// Shared by a connection and the answer that is read from it.
#[derive(Clone, Default)]
pub(crate) struct Received(Rc<State>);

impl Received {
    /// An answer is awaited.
    pub fn begin(&self, on_change: Option<OnReceived>) {
        self.0.bytes.set(0);
        self.0.is_head.set(true);
        *self.0.on_change.borrow_mut() = on_change;
    }

    /// The head of the answer was taken.
    pub fn head_taken(&self) {
        self.0.is_head.set(false);
    }

    /// Nobody reads the answer any more.
    pub fn end(&self) {
        *self.0.on_change.borrow_mut() = None;
    }

    /// Records bytes from the peer. Fails when they are too many.
    pub fn add(&self, bytes: usize) -> io::Result<()> {
        let all = self.0.bytes.get() + bytes;
        if self.0.is_head.get() && all > 2 * MAX_HEAD_BYTES {
            return Err(io::Error::other("the head of the answer is too long"));
        }
        match self.set(all) {
            true => Ok(()),
            false => Err(io::Error::other("the answer has to give way to others")),
        }
    }

    /// Records that bytes of the body were taken.
    pub fn take(&self, bytes: usize) {
        self.set(self.0.bytes.get().saturating_sub(bytes));
    }

    /// Records that there is nothing to take.
    pub fn take_all(&self) {
        if self.0.bytes.get() > 0 {
            self.set(0);
        }
    }

    fn set(&self, bytes: usize) -> bool {
        self.0.bytes.set(bytes);
        let on_change = self.0.on_change.borrow().clone();
        on_change.is_none_or(|on_change| on_change(bytes))
    }
}
