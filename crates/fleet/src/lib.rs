//! How entries know of each other, of the newest configuration, and of hosts
//! that leave.
//!
//! Each entry exchanges a small message with one random peer at every tick.
//! An exchange is at once a probe (a peer that does not answer is suspected),
//! a carrier of member records and leaving hosts, and a comparison of
//! configuration revisions. [`Accept`] drives an apply through the store, and
//! [`TargetBook`] keeps which targets there are, [`Newest`] the newest version of
//! what is replaced as a whole, [`EmptiedHalls`] what operators empty, and
//! [`ownership`] gives what one entry should decide its owner. All state machines are
//! pure: time and seeded randomness come in as arguments, [`Output`]s go out.

pub mod accept;
pub mod cold_spells;
pub mod emptied_halls;
pub mod fleet;
pub mod groups;
pub mod leaving;
pub mod live_runs;
pub mod member;
pub mod newest;
pub mod ownership;
pub mod position;
pub mod readers;
pub mod rendezvous;
pub mod standing;
pub mod target_book;
pub mod throttle;
pub mod watch_log;
pub mod watch_pause;
pub mod wire;

pub use accept::{Accept, AcceptStep, Accepted, Apply, HeadAnswer};
pub use cold_spells::{ColdRecord, ColdSpells};
pub use emptied_halls::EmptiedHalls;
pub use fleet::{Fleet, FleetTiming, Output};
pub use leaving::{HostView, LeavingHost, ListedHost};
pub use live_runs::LiveRuns;
pub use member::{Health, Member, Stopping};
pub use newest::Newest;
pub use position::Position;
pub use standing::{Standing, StandingRule};
pub use target_book::{BookTiming, TargetBook, Told};
pub use throttle::{Tell, Throttle};
pub use watch_log::{Since, WatchLog};
pub use watch_pause::watch_pause;
pub use wire::Exchange;

/// Milliseconds since the owning process started.
pub type Millis = u64;

/// Identifies one run of one entry process; random, never reused.
pub type Incarnation = u64;
