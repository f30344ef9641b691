//! At-most-once execution of requests that must not be repeated.
//!
//! Such a request presents either a [`ticket::Ticket`] issued by an entry of this fleet, or
//! an id chosen by its caller and claimed in the platform's store ([`claim`]). The
//! [`Ledger`] of the issuer or claimer opens a record before the request runs, closes it
//! with the answer, and returns that answer when the same request is presented again.
//!
//! This crate does no I/O and reads no clock: time is passed in.

pub mod claim;
pub mod hand_over;
pub mod ledger;
pub mod ticket;

pub use hand_over::{HandOver, HandedIssuer, HandedRecord, HandedRefusal};
pub use ledger::{Bounds, Identity, Ledger, PresentOutcome, RecordId, Slot};
pub use ticket::{Ticket, TicketError};

/// Milliseconds since the owning process started.
pub type Millis = u64;

/// Identifies one run of an entry process; random, never reused.
pub type Incarnation = u64;
