//! Tests of the documented tables and of log throttling.

mod catalogues;
mod faults;
mod log_throttle;
