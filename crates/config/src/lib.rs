//! Operators' declarative files and the daemons' settings.
//!
//! Data flows one way: [`SourceFile`] texts are parsed by `rust-ini`, every
//! section is read by [`check::check`] into the typed arenas of
//! [`model::Deployment`], and accepted texts are split into content-addressed
//! [`chunk`]s for the store and for peers. Nothing here touches a socket or a
//! clock; the caller reads files and passes their texts in.

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
