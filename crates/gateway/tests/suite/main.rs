//! Tests of the gateway against stand-ins of the platform, on loopback sockets.

mod all_kinds;
mod backoff;
mod connections;
mod crashing;
mod draining;
mod evacuated_halls;
mod fixture;
mod forwarding;
mod libraries;
mod limits;
mod mechanisms;
mod metrics;
mod regions;
mod reservations;
mod rollouts;
mod sharing;
mod stages;
mod stopping;
mod store_faults;
mod store_followers;
mod store_restore;
mod streams;
mod target_limits;
mod target_restarts;
mod target_speeds;
mod warm_up;
