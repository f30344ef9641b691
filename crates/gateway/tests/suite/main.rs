//! Tests of the gateway against stand-ins of the platform, on loopback sockets.

mod all_kinds;
mod cold;
mod crashing;
mod draining;
mod emptied;
mod fixture;
mod forwarding;
mod libraries;
mod limited;
mod limits;
mod mechanisms;
mod metrics;
mod reading;
mod regions;
mod resting;
mod returning;
mod rollouts;
mod sharing;
mod stages;
mod starting_again;
mod stopping;
mod streams;
mod truth;
