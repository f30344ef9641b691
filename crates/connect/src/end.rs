//! Tells a target that ended from one whose connection broke.
//!
//! A process that has ended refuses connections until it starts again, some seconds
//! later; one that dropped a connection, or is out of reach, doesn't. So when an answer
//! breaks off the target is asked for a connection. All answers that break off together
//! share one question.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::{FutureExt, LocalBoxFuture, Shared};
use hollowsail_clock::Moment;
use tokio::net::TcpStream;

use crate::dial::{dial, DialError};

/// How long those whose answers broke off wait for word whether the target has ended, at
/// the most. One that has refuses a connection within a hop, some milliseconds.
pub const SEEN_WITHIN: Duration = Duration::from_millis(150);
/// How long a new connection has to stay for its target to live: a process closes its
/// descriptors within a millisecond.
const STAYS_FOR: Duration = Duration::from_millis(5);
/// How long an answer holds for others whose answers broke off at about the same time:
/// no target is back sooner.
const HOLDS_FOR: Duration = Duration::from_millis(800);

/// The question whether a target has ended.
#[derive(Default)]
pub struct EndCheck {
    asked: RefCell<Option<Asked>>,
}

struct Asked {
    at: Moment,
    answer: Shared<LocalBoxFuture<'static, bool>>,
}

impl EndCheck {
    /// True when no process listens at the target's address.
    pub async fn has_ended(&self, addr: SocketAddr) -> bool {
        let answer = {
            let mut asked = self.asked.borrow_mut();
            match &*asked {
                Some(known) if known.at.elapsed() < HOLDS_FOR => known.answer.clone(),
                _ => {
                    let answer = refuses(addr).boxed_local().shared();
                    *asked = Some(Asked {
                        at: Moment::now(),
                        answer: answer.clone(),
                    });
                    answer
                }
            }
        };
        answer.await
    }
}

/// True when an address refuses a connection; silence proves nothing. A process that is
/// about to end may close a connection before its listener: one that comes up and closes
/// at once is asked for another.
async fn refuses(addr: SocketAddr) -> bool {
    match dial(addr, SEEN_WITHIN).await {
        Ok(stream) => closes_at_once(stream).await && is_refused(dial(addr, SEEN_WITHIN).await),
        refused => is_refused(refused),
    }
}

fn is_refused(dialled: Result<TcpStream, DialError>) -> bool {
    matches!(dialled, Err(DialError::Refused { source, .. })
        if source.kind() == std::io::ErrorKind::ConnectionRefused)
}

async fn closes_at_once(stream: TcpStream) -> bool {
    tokio::time::timeout(STAYS_FOR, stream.readable())
        .await
        .is_ok()
}
