//! Example and property tests for the ledger, claims and tickets.

mod claim;
mod ledger;
mod ticket;
