//! Tests of the documented tables, of log throttling, and of text in lines and labels.

mod catalogues;
mod faults;
mod log_throttle;
mod recorder;
mod text;
