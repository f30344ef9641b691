//! Operators' declarative files and the daemons' settings.
//!
//! [`check::check`] parses [`SourceFile`] texts with `rust-ini` and reads their
//! sections into the typed arenas of [`model::Deployment`]. Accepted texts are
//! split into content-addressed [`chunk`]s for the store and for peers. The
//! crate does no I/O and reads no clock: callers pass the texts of files in.

mod build;
pub mod check;
pub mod chunk;
pub mod fault;
pub mod key;
pub mod model;
pub mod reader;
pub mod settings;
pub mod source;

pub use check::check;
pub use fault::{Fault, Faults};
pub use model::{
    Deployment, Hall, HallKey, Model, ModelKey, Organisation, OrganisationKey, Pipeline,
    PipelineKey, Policy, Service, ServiceKey, ServiceKind, Stage, Target, TargetKey,
};
pub use settings::Settings;
pub use source::SourceFile;
