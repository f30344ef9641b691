//! The gateway: the daemon that serves callers.
//!
//! It has two threads. The control thread ([`control`]) watches the store and publishes a
//! [`view::View`] whenever the configuration or the targets change. The traffic thread
//! ([`traffic`]) accepts connections from callers ([`callers`]) and runs each request
//! ([`request`]): admission, the stages before it ([`pools`], shared with the other entries
//! through [`peers`]; [`reservations`] has their capacity reserved before), and its sends to targets ([`hollowsail_targets`]), which [`placement`]
//! selects for generations. The traffic thread never waits for control.
//!
//! Names of the platform are defined in `hollowsail-platform`; decisions are made in
//! `hollowsail-routing`, `hollowsail-stages` and `hollowsail-fleet`.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

mod answer;
mod batched_calls;
mod callers;
mod clock;
mod connections;
mod control;
mod crashes;
mod event_loop_lag;
mod feed;
mod host_load;
mod kept_body;
mod kept_bytes;
mod latch;
mod list_proofs;
mod list_states;
mod lock;
mod log;
mod mechanisms;
mod metrics;
mod ownership_age;
mod peer_call;
mod peers;
mod placement;
mod pools;
mod reach;
mod readiness;
mod repeats;
mod request;
mod reservations;
mod rollouts;
mod start;
mod stop;
mod stream_origins;
mod target_calls;
mod target_group;
mod target_reports;
mod traffic;
mod view;

pub use control::keep_running;
pub use mechanisms::{Mechanism, Mechanisms, UnknownMechanism};
pub use reservations::contended_services;
pub use start::{start, Running, StartError};
