//! The daemon against small fakes of the platform, on loopback sockets.

mod all_kinds;
mod backoff;
mod crashing;
mod emptied;
mod fixture;
mod forwarding;
mod leaving;
mod libraries;
mod limits;
mod mechanisms;
mod metrics;
mod reading;
mod regions;
mod returning;
mod rollouts;
mod sharing;
mod stages;
mod starting_again;
mod stopping;
mod streams;
mod target_limits;
mod truth;
mod warm_up;
