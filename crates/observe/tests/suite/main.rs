//! Tables of the daemons that documents show.

mod catalogues;
mod log_throttle;
