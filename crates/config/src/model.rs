//! The typed configuration: arenas of plain structs and small `Copy` keys.
//!
//! [`crate::check`] builds a [`Deployment`] whole; afterwards it is immutable
//! and shared behind an `Arc`. Keys index the arena they were made for and are
//! valid for one revision only: what outlives a revision is kept by name.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::key::KeyHash;

macro_rules! arena_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub u16);

        impl $name {
            /// Position in the arena.
            pub fn index(self) -> usize {
                usize::from(self.0)
            }
        }
    };
}

arena_key!(
    /// Key of a [`Hall`].
    HallKey
);
arena_key!(
    /// Key of a [`Service`].
    ServiceKey
);
arena_key!(
    /// Key of a [`Target`].
    TargetKey
);
arena_key!(
    /// Key of a [`Model`].
    ModelKey
);
arena_key!(
    /// Key of a [`Pipeline`].
    PipelineKey
);
arena_key!(
    /// Key of an [`Organisation`].
    OrganisationKey
);

/// A data hall: the place that data may or may not be processed in.
#[derive(Debug, Clone)]
pub struct Hall {
    pub name: String,
    pub region: String,
}

/// What a service does; decides how its answer is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    Encoder,
    Retriever,
    Reranker,
    /// Streams its answer token by token.
    Engine,
    Plain,
}

impl ServiceKind {
    /// Name used in files and in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ServiceKind::Encoder => "encoder",
            ServiceKind::Retriever => "retriever",
            ServiceKind::Reranker => "reranker",
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "plain",
        }
    }
}

/// A pool of interchangeable targets.
#[derive(Debug, Clone)]
pub struct Service {
    pub name: String,
    pub kind: ServiceKind,
    /// Whether its targets publish their load.
    pub reports_load: bool,
    /// Whether its targets check the fencing number of an order.
    pub checks_orders: bool,
    /// HTTP statuses by which a target says that it did not run the call.
    pub final_refusals: Vec<u16>,
    /// Requests one target serves at a time before answers slow down.
    pub concurrency: u32,
    pub targets: Vec<TargetKey>,
}

/// One back end.
#[derive(Debug, Clone)]
pub struct Target {
    pub name: String,
    pub service: ServiceKey,
    pub hall: HallKey,
    pub address: SocketAddr,
}

/// A model with the versions and adapters that may serve.
#[derive(Debug, Clone)]
pub struct Model {
    pub name: String,
    pub service: ServiceKey,
    pub version: String,
    pub adapters: Vec<String>,
}

/// One step of a pipeline.
#[derive(Debug, Clone)]
pub struct Stage {
    pub name: String,
    pub service: ServiceKey,
    /// Whether a second run after an unknown outcome is harmless.
    pub repeatable: bool,
    pub model: Option<ModelKey>,
    /// Expected time in milliseconds, used until quantiles are measured.
    pub expected_ms: u32,
    /// Upper bound of generated tokens; 0 for stages that do not generate.
    pub max_tokens: u32,
}

/// An ordered list of three to six stages under one deadline.
#[derive(Debug, Clone)]
pub struct Pipeline {
    pub name: String,
    /// Used when a caller names no deadline; also the longest it may name.
    pub deadline_ms: u32,
    /// Passed to engines; larger is more urgent.
    pub priority: u8,
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// True when some stage must not run twice for one request.
    pub fn runs_once(&self) -> bool {
        self.stages.iter().any(|stage| !stage.repeatable)
    }
}

/// A customer whose data stays in its permitted halls.
#[derive(Debug, Clone)]
pub struct Organisation {
    pub name: String,
    pub halls: Vec<HallKey>,
    /// Share of contended capacity relative to the others.
    pub weight: u32,
    pub key_hashes: Vec<KeyHash>,
    /// Pipelines it may call; empty means all.
    pub pipelines: Vec<PipelineKey>,
    pub adapter: Option<String>,
}

/// How operators weigh the two measures.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Weight of attainment against cost by stage, 0 to 1.
    pub attainment_weight: f64,
    /// Share of extra attempts that retries and hedges may add.
    pub retry_budget: f64,
}

/// One whole accepted configuration.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub name: String,
    pub policy: Policy,
    pub halls: Vec<Hall>,
    pub services: Vec<Service>,
    pub targets: Vec<Target>,
    pub models: Vec<Model>,
    pub pipelines: Vec<Pipeline>,
    pub organisations: Vec<Organisation>,
    pub(crate) by_key_hash: HashMap<KeyHash, OrganisationKey>,
    pub(crate) organisations_by_name: HashMap<String, OrganisationKey>,
}

impl Deployment {
    pub fn hall(&self, key: HallKey) -> &Hall {
        &self.halls[key.index()]
    }

    pub fn service(&self, key: ServiceKey) -> &Service {
        &self.services[key.index()]
    }

    pub fn target(&self, key: TargetKey) -> &Target {
        &self.targets[key.index()]
    }

    pub fn model(&self, key: ModelKey) -> &Model {
        &self.models[key.index()]
    }

    pub fn pipeline(&self, key: PipelineKey) -> &Pipeline {
        &self.pipelines[key.index()]
    }

    pub fn organisation(&self, key: OrganisationKey) -> &Organisation {
        &self.organisations[key.index()]
    }

    /// Finds a hall by name.
    pub fn find_hall(&self, name: &str) -> Option<HallKey> {
        position(&self.halls, |hall| hall.name == name).map(HallKey)
    }

    /// Finds a pipeline by name.
    pub fn find_pipeline(&self, name: &str) -> Option<PipelineKey> {
        position(&self.pipelines, |pipeline| pipeline.name == name).map(PipelineKey)
    }

    /// Finds an organisation by name.
    pub fn find_organisation(&self, name: &str) -> Option<OrganisationKey> {
        self.organisations_by_name.get(name).copied()
    }

    /// The organisation that a presented key belongs to.
    pub fn organisation_of_key(&self, hash: &KeyHash) -> Option<OrganisationKey> {
        self.by_key_hash.get(hash).copied()
    }

    /// True when `org` may call `pipeline`.
    pub fn may_call(&self, org: OrganisationKey, pipeline: PipelineKey) -> bool {
        let allowed = &self.organisation(org).pipelines;
        allowed.is_empty() || allowed.contains(&pipeline)
    }

    /// True when `org`'s data may be held or processed in `hall`.
    pub fn permits(&self, org: OrganisationKey, hall: HallKey) -> bool {
        self.organisation(org).halls.contains(&hall)
    }

    /// The same by the hall's name; a hall that is not known is not permitted.
    pub fn permits_named(&self, org: OrganisationKey, hall: &str) -> bool {
        self.find_hall(hall)
            .is_some_and(|hall| self.permits(org, hall))
    }
}

fn position<T>(items: &[T], matches: impl Fn(&T) -> bool) -> Option<u16> {
    items.iter().position(matches).map(|at| at as u16)
}
