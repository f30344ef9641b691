//! The entry: the process between callers and targets.
//!
//! Requests come in at [`callers`] (or from another entry at [`peers`]), are
//! judged from their headers by [`judge`], and run stage by stage: [`pipeline`]
//! takes a [`job`] apart into a [`task`] for each stage, [`attempt`] tries it,
//! [`routes`] finds a target and [`dispatch`] calls it. Those that must not be
//! repeated pass through [`permit`] and the ledger in [`once`]. The [`control`]
//! thread publishes a [`view::View`] that traffic reads. [`server::start`] puts
//! it all together.

pub mod admission;
pub mod answer;
pub mod apply;
pub mod attempt;
pub mod auth;
pub mod body;
pub mod callers;
pub mod configuration;
pub mod context;
pub mod control;
mod crashes;
pub mod dispatch;
pub mod fact;
pub mod gate;
pub mod headers;
pub mod holdings;
pub mod job;
pub mod judge;
pub mod metrics;
pub mod once;
pub mod open_record;
pub mod operators;
pub mod peers;
pub mod permit;
pub mod pipeline;
pub mod relay;
pub mod routes;
pub mod sender;
pub mod server;
pub mod stop;
pub mod streaming;
pub mod task;
pub mod tickets;
pub mod tls;
pub mod view;
pub mod worker;

pub use answer::{AnswerBody, StageReport};
pub use configuration::Configuration;
pub use hollowsail_observe::{events, kinds};
pub use kinds::ErrorKind;
pub use server::{start, RunningEntry, StartError, StartOptions};
