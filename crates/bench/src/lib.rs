//! Load and experiments: scenarios, faults, history checking, reports.
//!
//! A [`scenario`] names a deployment, a load and faults. [`run::run`] starts a
//! fleet and stand-ins on loopback, sends [`arrivals`] open-loop while
//! [`faults`] are switched on and off, and ends in a [`report::RunReport`]:
//! what callers got, what targets spent, and what [`history`] says of the
//! promises. The same seed gives the same arrivals to every policy. [`day`]
//! emulates a day without sockets, to compare decisions over many seeds.

pub mod arrivals;
pub mod capacity;
pub mod chaos;
pub mod control;
pub mod day;
pub mod decision;
pub mod faults;
pub mod history;
pub mod load;
pub mod overhead;
pub mod policy;
pub mod report;
pub mod run;
pub mod scenario;
pub mod soak;
