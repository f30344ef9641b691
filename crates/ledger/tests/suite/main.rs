//! The ledger and its parts, against simple oracles.

mod claim;
mod ledger;
mod ticket;
