//! What may run, has run, and may not run again.
//!
//! A request that must not be repeated presents either a [`ticket::Ticket`]
//! made by an entry of this fleet, or an id of its caller's own that is
//! claimed in the platform's store ([`claim`]). Both end at one [`Ledger`]: the
//! issuer's or the claimer's. It opens a record before the request runs,
//! closes it with the outcome, and gives that outcome again to whoever
//! presents the same ticket with the same request.
//!
//! Everything here is a plain state machine: time is an argument, in
//! milliseconds since the owning process started, and never a wall clock.

pub mod claim;
pub mod hand_over;
pub mod ledger;
pub mod ticket;

pub use hand_over::{HandOver, HandedIssuer, HandedRecord, HandedRefusal};
pub use ledger::{Bounds, Identity, Ledger, Presented, RecordId, Slot};
pub use ticket::{Ticket, TicketError};

/// Milliseconds since the owning process started.
pub type Millis = u64;

/// Identifies one run of one entry process; random, never reused.
pub type Incarnation = u64;
