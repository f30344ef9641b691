//! Membership of the entries, and the state that they share.
//!
//! Entries exchange gossip messages ([`Fleet`]) that carry member records and leaving hosts,
//! detect failed peers and compare configuration revisions. [`Accept`] applies a configuration
//! through the store; [`TargetRegistry`] registers the targets, and [`ownership`] assigns owners.
//! All state machines are free of I/O: time and randomness are arguments.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

pub mod accept;
pub mod connectivity;
pub mod evacuated_halls;
pub mod fleet;
pub mod groups;
pub mod host_view;
pub mod list_freshness;
pub mod live_runs;
pub mod member;
pub mod newest;
pub mod newest_runs;
pub mod ownership;
pub mod position;
pub mod quota;
pub mod relays;
pub mod rendezvous;
pub mod store_contact;
pub mod store_followers;
pub mod target_registry;
pub mod throttle;
pub mod warm_ups;
pub mod watch_log;
pub mod watch_pause;
pub mod wire;

pub use accept::{Accept, AcceptStep, Apply, ApplyOutcome, HeadReply};
pub use connectivity::{Connectivity, ConnectivityRule};
pub use evacuated_halls::EvacuatedHalls;
pub use fleet::{Fleet, FleetTiming, Output};
pub use host_view::{HostView, LeavingHost, ListedHost};
pub use list_freshness::ListFreshness;
pub use live_runs::LiveRuns;
pub use member::{Health, Member, Stopping};
pub use newest::Newest;
pub use newest_runs::NewestRuns;
pub use position::Position;
pub use quota::{Quota, QuotaTiming};
pub use target_registry::{RecordMeta, RegistryTiming, TargetRegistry};
pub use throttle::{SendTime, Throttle};
pub use warm_ups::{WarmUpRecord, WarmUps};
pub use watch_log::{ChangesSince, WatchLog};
pub use watch_pause::watch_pause;
pub use wire::Exchange;

/// Milliseconds since the owning process started.
pub type Millis = u64;

/// Identifies one run of one entry process; random, never reused.
pub type Incarnation = u64;
