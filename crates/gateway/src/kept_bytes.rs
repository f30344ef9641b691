//! Accounts of the bytes that this host keeps: bodies of requests, what targets have sent, and answers
//! that callers haven't read.
//!
//! [`hollowsail_routing::kept_bytes`] decides what has to give way when they exceed a part of the host's
//! memory together. Whoever holds an [`AnswerAccount`] gives its bytes up once it has [ended].
//!
//! [ended]: AnswerAccount::ended

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use bytes::BytesMut;
use hollowsail_connect::OnReceived;
use hollowsail_observe::events;
use hollowsail_routing::kept_bytes::{AccountKey, ByteBudget, Kept, KeptTotals};
use slotmap::SecondaryMap;

use crate::latch::Latch;
use crate::log::Log;
use crate::metrics;

/// Part of the host's memory for bytes that are kept. Buffers of sockets, and the rest of the process,
/// need room beside them.
const MEMORY_PART: f64 = 0.25;

/// All accounts of this host.
pub struct KeptBytes {
    budget: RefCell<ByteBudget<SocketAddr>>,
    /// Answers that may have to give way.
    answers: RefCell<SecondaryMap<AccountKey, OpenAnswer>>,
    log: Log,
}

struct OpenAnswer {
    source: SocketAddr,
    ended: Rc<Latch>,
}

impl KeptBytes {
    /// Accounts on a host with this much memory, in MiB.
    pub fn new(memory_mb: u64, log: Log) -> Rc<Self> {
        let limit = (memory_mb << 20) as f64 * MEMORY_PART;
        Rc::new(KeptBytes {
            budget: RefCell::new(ByteBudget::new(limit as u64)),
            answers: RefCell::default(),
            log,
        })
    }

    /// Opens an account for what `source` sends, or for what is kept until it reads.
    pub fn answer(self: &Rc<Self>, source: SocketAddr) -> Rc<AnswerAccount> {
        let key = self.budget.borrow_mut().open(Kept::Answer(source));
        let ended = Rc::new(Latch::default());
        let open = OpenAnswer {
            source,
            ended: ended.clone(),
        };
        self.answers.borrow_mut().insert(key, open);
        Rc::new(AnswerAccount {
            kept: self.clone(),
            key,
            ended,
            received: Cell::new(0),
            buffered: Cell::new(0),
        })
    }

    /// Opens an account for the body of a request.
    pub fn request(self: &Rc<Self>) -> RequestAccount {
        RequestAccount {
            kept: self.clone(),
            key: self.budget.borrow_mut().open(Kept::Request),
        }
    }

    pub fn totals(&self) -> KeptTotals {
        self.budget.borrow().totals()
    }

    fn set_answer(&self, key: AccountKey, bytes: u64) {
        let ended = self.budget.borrow_mut().set_answer(key, bytes);
        for key in ended {
            self.end(key);
        }
    }

    fn end(&self, key: AccountKey) {
        let answers = self.answers.borrow();
        let Some(answer) = answers.get(key) else {
            return;
        };
        answer.ended.set();
        metrics::count_ended_answer();
        let (totals, limit) = (self.totals(), self.budget.borrow().limit());
        let fields = format_args!(
            "source={} answers={} requests={} limit={limit}",
            answer.source, totals.answers, totals.requests
        );
        self.log.line(events::ANSWER_GAVE_WAY, fields);
    }

    fn close(&self, key: AccountKey) {
        self.budget.borrow_mut().close(key);
        self.answers.borrow_mut().remove(key);
    }
}

/// The bytes of one answer, until it is dropped.
pub struct AnswerAccount {
    kept: Rc<KeptBytes>,
    key: AccountKey,
    ended: Rc<Latch>,
    /// Bytes that its connection has received and nobody has taken.
    received: Cell<usize>,
    /// Bytes that were taken and are kept.
    buffered: Cell<usize>,
}

impl AnswerAccount {
    /// Counts what a connection receives. The connection fails once the answer has ended.
    pub fn on_received(self: &Rc<Self>) -> OnReceived {
        let account: Weak<AnswerAccount> = Rc::downgrade(self);
        Rc::new(move |received| {
            let Some(account) = account.upgrade() else {
                return true;
            };
            account.received.set(received);
            account.update();
            !account.ended.is_set()
        })
    }

    /// Sets the bytes that are kept beside those of the connection.
    pub fn set_buffered(&self, bytes: usize) {
        self.buffered.set(bytes);
        self.update();
    }

    fn update(&self) {
        if !self.ended.is_set() {
            let bytes = self.received.get() + self.buffered.get();
            self.kept.set_answer(self.key, bytes as u64);
        }
    }

    /// Waits until the bytes have to be given up.
    pub async fn ended(&self) {
        self.ended.wait().await;
    }
}

impl Drop for AnswerAccount {
    fn drop(&mut self) {
        self.kept.close(self.key);
    }
}

/// The body of a request, until it is dropped.
pub struct RequestAccount {
    kept: Rc<KeptBytes>,
    key: AccountKey,
}

impl RequestAccount {
    /// Adds bytes. False if there is no room for them.
    pub fn try_add(&self, bytes: usize) -> bool {
        let mut budget = self.kept.budget.borrow_mut();
        budget.try_add(self.key, bytes as u64)
    }

    /// Appends bytes to a buffer, and adds what the buffer has grown by. False if there is no room.
    pub fn try_extend(&self, buf: &mut BytesMut, bytes: &[u8]) -> bool {
        let before = buf.capacity();
        buf.extend_from_slice(bytes);
        self.try_add(buf.capacity() - before)
    }
}

impl Drop for RequestAccount {
    fn drop(&mut self) {
        self.kept.close(self.key);
    }
}
