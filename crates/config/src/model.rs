//! The typed configuration: arenas of plain structs and small `Copy` keys.
//!
//! [`crate::check()`] builds a [`Deployment`], which is then immutable and shared
//! behind an `Arc`. Keys are indices into its arenas and valid for one revision
//! only; state that outlives a revision refers to items by name.

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
    /// Index into [`Deployment::halls`].
    HallKey
);
arena_key!(
    /// Index into [`Deployment::services`].
    ServiceKey
);
arena_key!(
    /// Index into [`Deployment::targets`].
    TargetKey
);
arena_key!(
    /// Index into [`Deployment::models`].
    ModelKey
);
arena_key!(
    /// Index into [`Deployment::pipelines`].
    PipelineKey
);
arena_key!(
    /// Index into [`Deployment::organisations`].
    OrganisationKey
);

/// A data hall. Organisations restrict the halls that may process their data.
#[derive(Debug, Clone)]
pub struct Hall {
    pub name: String,
    pub region: String,
}

/// Kind of a service; determines how its answers are read.
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
    /// Name in configuration files and metrics.
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
    /// Whether its targets report their load.
    pub reports_load: bool,
    /// Whether its targets check the fencing number of an order.
    pub checks_orders: bool,
    /// HTTP statuses with which a target confirms that it did not run the call.
    pub final_refusals: Vec<u16>,
    /// Requests that one target serves concurrently without slowing down.
    pub concurrency: u32,
    pub targets: Vec<TargetKey>,
}

/// One back end of a service.
#[derive(Debug, Clone)]
pub struct Target {
    pub name: String,
    pub service: ServiceKey,
    pub hall: HallKey,
    pub address: SocketAddr,
}

/// A model, with the version and the adapters that may serve.
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
    /// Whether the stage may run again after an unknown outcome.
    pub repeatable: bool,
    pub model: Option<ModelKey>,
    /// Expected duration in milliseconds, used until quantiles are available.
    pub expected_ms: u32,
    /// Upper bound of generated tokens; 0 for stages that do not generate.
    pub max_tokens: u32,
}

/// An ordered list of three to six stages under one deadline.
#[derive(Debug, Clone)]
pub struct Pipeline {
    pub name: String,
    /// Default deadline and the longest that a caller may set, in milliseconds.
    pub deadline_ms: u32,
    /// Passed to engines; larger is more urgent.
    pub priority: u8,
    pub stages: Vec<Stage>,
}

impl Pipeline {
    /// True if any stage must run at most once per request.
    pub fn runs_once(&self) -> bool {
        self.stages.iter().any(|stage| !stage.repeatable)
    }
}

/// A customer whose data stays in its permitted halls.
#[derive(Debug, Clone)]
pub struct Organisation {
    pub name: String,
    pub halls: Vec<HallKey>,
    /// Relative share of capacity under contention.
    pub weight: u32,
    pub key_hashes: Vec<KeyHash>,
    /// Pipelines it may call; empty means all.
    pub pipelines: Vec<PipelineKey>,
    pub adapter: Option<String>,
}

/// The operators' weights and budgets.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Weight of attainment against cost by stage, 0 to 1.
    pub attainment_weight: f64,
    /// Share of extra attempts that retries and hedges may add, 0 to 1.
    pub retry_budget: f64,
}

/// A complete, checked configuration.
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

    pub fn find_hall(&self, name: &str) -> Option<HallKey> {
        position(&self.halls, |hall| hall.name == name).map(HallKey)
    }

    pub fn find_pipeline(&self, name: &str) -> Option<PipelineKey> {
        position(&self.pipelines, |pipeline| pipeline.name == name).map(PipelineKey)
    }

    pub fn find_organisation(&self, name: &str) -> Option<OrganisationKey> {
        self.organisations_by_name.get(name).copied()
    }

    /// Organisation that the key with this hash belongs to.
    pub fn organisation_of_key(&self, hash: &KeyHash) -> Option<OrganisationKey> {
        self.by_key_hash.get(hash).copied()
    }

    /// True if `org` may call `pipeline`; an empty list allows all pipelines.
    pub fn may_call(&self, org: OrganisationKey, pipeline: PipelineKey) -> bool {
        let allowed = &self.organisation(org).pipelines;
        allowed.is_empty() || allowed.contains(&pipeline)
    }

    /// True if `org`'s data may be stored or processed in `hall`.
    pub fn permits(&self, org: OrganisationKey, hall: HallKey) -> bool {
        self.organisation(org).halls.contains(&hall)
    }

    /// Like [`Deployment::permits`], by name; an unknown hall is not permitted.
    pub fn permits_named(&self, org: OrganisationKey, hall: &str) -> bool {
        self.find_hall(hall)
            .is_some_and(|hall| self.permits(org, hall))
    }
}

fn position<T>(items: &[T], matches: impl Fn(&T) -> bool) -> Option<u16> {
    items.iter().position(matches).map(|index| index as u16)
}
