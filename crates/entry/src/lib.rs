//! The entry: the process between callers and targets.
//!
//! Requests arrive at [`callers`] (relayed ones at [`peers`]) and are validated by
//! [`validate`]. [`pipeline`] runs a [`job`] as one [`task`] per stage: [`attempt`]
//! retries, [`routes`] chooses a target, [`dispatch`] calls it. Requests that run at
//! most once pass through [`serve_once`] and the ledger in [`once_ledger`]. The
//! [`control`] thread publishes the [`view::View`] that traffic threads read.

pub mod admission;
pub mod answer;
pub mod apply;
pub mod attempt;
pub mod attempt_report;
pub mod auth;
pub mod body;
pub mod callers;
pub mod configuration;
pub mod context;
pub mod control;
mod crashes;
pub mod dispatch;
pub mod gate;
pub mod headers;
pub mod in_flight_by_org;
pub mod job;
pub mod metrics;
pub mod once_ledger;
pub mod open_record;
pub mod operators;
pub mod origin;
pub mod peers;
pub mod pipeline;
pub mod relay;
pub mod routes;
pub mod serve_once;
pub mod server;
pub mod stop;
pub mod streaming;
pub mod task;
pub mod tickets;
pub mod tls;
pub mod validate;
pub mod view;
pub mod worker;

pub use answer::{AnswerBody, StageReport};
pub use configuration::Configuration;
pub use hollowsail_observe::{events, kinds};
pub use kinds::ErrorKind;
pub use server::{start, RunningEntry, StartError, StartOptions};
