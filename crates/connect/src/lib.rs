//! HTTP/1 client connections that report whether a request may have reached the peer.
//!
//! A connection carries one request at a time: after [`SendError::NotSent`] the peer received
//! nothing, after [`SendError::Broken`] it may have received all of it. Dropping an
//! [`Exchange`] or its body closes the connection, which cancels the work at the peer; what
//! becomes of a request that nobody waits for any more is reported ([`End`]).
//!
//! [`Pool::send`] reuses an idle connection or dials, and returns an [`Exchange`];
//! [`Exchange::into_body`] reads the answer and returns the connection to the pool.
//! [`Pool::connect`] and [`Connection::send`] do the same in two steps, for pools whose peer
//! accepts few connections ([`Pool::set_limit`]): a request waits for one before it is sent.
//! [`Pool::call`] does both for answers that are buffered. [`CrashCheck`] distinguishes a
//! crashed peer from a broken connection. A [`Dialer`] may reach the peer through a relay
//! ([`RelayedStream`]).
//!
//! The bytes of answers are checked by [`hollowsail_framing`] before the library reads them; an answer that
//! breaks a rule is [`SendError::Malformed`] or [`BodyError::Malformed`], and its connection closes.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

mod body;
mod byte_counts;
mod call;
mod capacity;
mod crash_check;
mod dial;
mod dialer;
mod ending;
mod framing;
mod liveness;
mod pool;
mod reading;
mod received;
mod relayed;
mod transport;

pub use body::{AnswerBody, BodyError};
pub use byte_counts::{ByteCounts, Counted};
pub use call::CompleteAnswer;
pub use capacity::{soonest, Availability, PoolStats};
pub use crash_check::{CrashCheck, CHECK_TIMEOUT};
pub use dial::{dial, set_options, DialError};
pub use dialer::{Dialer, Dialled, ProcessState, Unreached};
pub use ending::{End, OnEnd};
pub use framing::Framing;
pub use liveness::Liveness;
pub use pool::{connect_first, Connection, Exchange, Pool, PoolRules, Reuse, SendError};
pub use received::OnReceived;
pub use relayed::{relay, RelayedPeer, RelayedStream};
pub use transport::{RelayWay, Transport, Way};
