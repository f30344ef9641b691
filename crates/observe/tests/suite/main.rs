//! Tests of the documented tables, of log throttling and of text in lines.

mod catalogues;
mod faults;
mod log_throttle;
mod text;
