//! Tests of the documented tables and of log throttling.

mod catalogues;
mod log_throttle;
