//! Client connections whose fate is known.
//!
//! A pooled HTTP client hides which connection carried a request and whether
//! any byte of it left. Here a connection has one owner and carries one request
//! at a time, so that each failure says what it proves: [`SendError::NotSent`]
//! means that the peer got nothing, [`SendError::Broken`] that it may have got
//! all of it. Dropping an [`Exchange`] or its body closes the connection, which
//! is how a peer is told to stop working.
//!
//! Flow: [`Pool::send`] takes an idle connection or dials, sends, and gives an
//! [`Exchange`]; [`Exchange::into_body`] reads the answer and puts the
//! connection back after its last byte. [`Pool::call`] does all of it for an
//! answer that is read whole. [`EndCheck`] tells a peer that ended from one whose
//! connection broke.

mod body;
mod dial;
mod end;
mod pool;
mod whole;

pub use body::AnswerBody;
pub use dial::{dial, DialError};
pub use end::{EndCheck, SEEN_WITHIN};
pub use pool::{Exchange, Pool, PoolRules, Reuse, SendError};
pub use whole::WholeAnswer;

/// The error of a body whose connection failed before its end.
pub type BodyError = hyper::Error;
