//! Load generation, fault injection and checks for hollowsail.
//!
//! A [`scenario`] describes a deployment, a load and faults. [`run::run`] starts a fleet and
//! stand-ins on loopback, sends [`arrivals`] open-loop while [`faults`] are injected, and
//! returns a [`report::RunReport`] with the promises that [`history`] checks. [`soak`] tests
//! gateway processes; [`day`] simulates a day without sockets, to compare policies.

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
