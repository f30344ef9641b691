//! What becomes of a request whose sender stopped waiting before it was answered.
//!
//! What a peer has acknowledged stays in its kernel until its process reads it, also when the
//! connection is closed or reset meanwhile. So the connection of such a request is closed in one
//! direction only: the peer closes the other one once it has read the request, which is reported
//! as [`End::ByPeer`].

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::transport::Transport;

/// Longest wait for the peer to close, after which it isn't known any more whether it reads the
/// request.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// How the connection of an unanswered request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The peer closed it, or answered late: it won't read the request any more.
    ByPeer,
    /// It failed on the way, or the peer didn't close it in time: the peer may read the request
    /// later.
    Unknown,
}

/// Called when the connection of an unanswered request has ended.
pub type OnEnd = Rc<dyn Fn(End)>;

/// The request on a connection that is to be answered, if somebody wants to know what becomes of it.
#[derive(Clone, Default)]
pub(crate) struct Unanswered(Rc<RefCell<Option<OnEnd>>>);

impl Unanswered {
    pub fn begin(&self, on_end: Option<&OnEnd>) {
        *self.0.borrow_mut() = on_end.cloned();
    }

    /// The request was answered, or not sent.
    pub fn finish(&self) {
        *self.0.borrow_mut() = None;
    }

    /// Closes the connection, and reports how it ended if a request on it is unanswered.
    pub async fn close(self, mut stream: Transport) {
        let on_end = self.0.take();
        // A connection that failed shows that below.
        let _closed = stream.shutdown().await;
        let Some(on_end) = on_end else { return };
        on_end(until_end(&mut stream).await);
    }
}

async fn until_end(stream: &mut Transport) -> End {
    if let Some(end) = stream.end() {
        return end;
    }
    let mut buf = [0; 1];
    match tokio::time::timeout(MAX_WAIT, stream.read(&mut buf)).await {
        Ok(Ok(_)) => End::ByPeer,
        Ok(Err(_)) | Err(_) => stream.end().unwrap_or(End::Unknown),
    }
}
