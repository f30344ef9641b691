//! Reads checked sections into the typed arenas of a [`Deployment`].
//!
//! Names get their arena positions first, so references may point forward and
//! across files. An unresolved reference is a fault and reads as position 0; a
//! deployment with faults is discarded.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::key::{parse_key_hash, KeyHash};
use crate::model::*;
use crate::reader::Section;

/// Fewest stages of a pipeline.
const MIN_STAGES: usize = 3;
/// Most stages of a pipeline.
const MAX_STAGES: usize = 6;
/// Longest deadline an operator may set, in milliseconds.
const MAX_DEADLINE_MS: u32 = 120_000;
/// Arena keys are 16 bits wide.
const MAX_ITEMS: usize = u16::MAX as usize;

/// Names of one kind mapped to arena positions.
type Names<'a> = HashMap<&'a str, u16>;

/// The sections, and the positions of the names that they refer to.
pub struct Builder<'a> {
    sections: &'a [Section<'a>],
    halls: Names<'a>,
    services: Names<'a>,
    models: Names<'a>,
    pipelines: Names<'a>,
    stages: HashMap<&'a str, &'a Section<'a>>,
}

impl<'a> Builder<'a> {
    pub fn new(sections: &'a [Section<'a>]) -> Self {
        Builder {
            sections,
            halls: names(sections, "hall"),
            services: names(sections, "service"),
            models: names(sections, "model"),
            pipelines: names(sections, "pipeline"),
            stages: of_kind(sections, "stage")
                .map(|section| (section.item_name(), section))
                .collect(),
        }
    }

    /// Reads all sections; faults are recorded through the sections.
    pub fn build(&self) -> Deployment {
        let mut deployment = Deployment {
            name: self.deployment_name(),
            policy: self.policy(),
            halls: self.read_all("hall", |s| self.read_hall(s)),
            services: self.read_all("service", |s| self.read_service(s)),
            targets: self.read_all("target", |s| self.read_target(s)),
            models: self.read_all("model", |s| self.read_model(s)),
            pipelines: self.read_all("pipeline", |s| self.read_pipeline(s)),
            organisations: self.read_all("organisation", |s| self.read_organisation(s)),
            by_key_hash: HashMap::new(),
            organisations_by_name: HashMap::new(),
        };
        self.link_targets(&mut deployment);
        self.link_organisations(&mut deployment);
        self.report_unknown_adapters(&deployment);
        self.report_unused_stages(&deployment);
        deployment
    }

    fn read_all<T>(&self, kind: &'a str, read: impl Fn(&'a Section<'a>) -> T) -> Vec<T> {
        of_kind(self.sections, kind)
            .take(MAX_ITEMS)
            .map(read)
            .collect()
    }

    fn find_single(&self, kind: &str) -> Option<&'a Section<'a>> {
        self.sections.iter().find(|section| section.name() == kind)
    }

    fn deployment_name(&self) -> String {
        self.find_single("deployment")
            .map(|section| section.required("name").to_string())
            .unwrap_or_default()
    }

    fn policy(&self) -> Policy {
        let default = Policy {
            attainment_weight: 0.5,
            retry_budget: 0.1,
        };
        let Some(section) = self.find_single("policy") else {
            return default;
        };
        Policy {
            attainment_weight: section.number(
                "attainment_weight",
                default.attainment_weight,
                0.0..=1.0,
            ),
            retry_budget: section.number("retry_budget", default.retry_budget, 0.0..=1.0),
        }
    }

    fn read_hall(&self, section: &Section<'_>) -> Hall {
        Hall {
            name: section.item_name().into(),
            region: section.required("region").into(),
        }
    }

    fn read_service(&self, section: &Section<'_>) -> Service {
        Service {
            name: section.item_name().into(),
            kind: read_kind(section),
            reports_load: section.flag("reports_load", true),
            checks_orders: section.flag("checks_orders", false),
            final_refusals: read_statuses(section),
            concurrency: section.number("concurrency", 8, 1..=4096),
            targets: Vec::new(),
        }
    }

    fn read_target(&self, section: &Section<'_>) -> Target {
        Target {
            name: section.item_name().into(),
            service: ServiceKey(resolve(section, "service", &self.services)),
            hall: HallKey(resolve(section, "hall", &self.halls)),
            address: read_address(section, "address"),
        }
    }

    fn read_model(&self, section: &Section<'_>) -> Model {
        Model {
            name: section.item_name().into(),
            service: ServiceKey(resolve(section, "service", &self.services)),
            version: section.required("version").into(),
            adapters: section
                .list("adapters")
                .into_iter()
                .map(String::from)
                .collect(),
        }
    }

    fn read_pipeline(&self, section: &'a Section<'a>) -> Pipeline {
        let stage_names = section.list("stages");
        if !(MIN_STAGES..=MAX_STAGES).contains(&stage_names.len()) {
            section.fault(
                "stages",
                format!(
                    "lists {} stages; write {MIN_STAGES} to {MAX_STAGES}, comma-separated",
                    stage_names.len()
                ),
            );
        }
        Pipeline {
            name: section.item_name().into(),
            deadline_ms: section.number("deadline_ms", 1000, 1..=MAX_DEADLINE_MS),
            priority: section.number("priority", 5, 0..=9),
            stages: stage_names
                .into_iter()
                .filter_map(|name| self.find_stage(section, name))
                .collect(),
        }
    }

    fn find_stage(&self, pipeline: &Section<'_>, name: &'a str) -> Option<Stage> {
        let full = format!("{}.{name}", pipeline.item_name());
        match self.stages.get(full.as_str()) {
            Some(section) => Some(self.read_stage(section, name)),
            None => {
                pipeline.fault(
                    "stages",
                    format!("lists {name}, but [stage.{full}] is not defined"),
                );
                None
            }
        }
    }

    fn read_stage(&self, section: &Section<'_>, name: &str) -> Stage {
        Stage {
            name: name.into(),
            service: ServiceKey(resolve(section, "service", &self.services)),
            repeatable: section.flag("repeatable", true),
            model: section
                .text("model")
                .map(|_| ModelKey(resolve(section, "model", &self.models))),
            expected_ms: section.number("expected_ms", 50, 1..=MAX_DEADLINE_MS),
            max_tokens: section.number("max_tokens", 0, 0..=32_768),
        }
    }

    fn read_organisation(&self, section: &Section<'_>) -> Organisation {
        let halls = resolve_list(section, "halls", &self.halls);
        if halls.is_empty() {
            section.fault("halls", "permits no hall; list at least one");
        }
        Organisation {
            name: section.item_name().into(),
            halls: halls.into_iter().map(HallKey).collect(),
            weight: section.number("weight", 1, 1..=1000),
            key_hashes: read_key_hashes(section),
            pipelines: resolve_list(section, "pipelines", &self.pipelines)
                .into_iter()
                .map(PipelineKey)
                .collect(),
            adapter: section.text("adapter").map(String::from),
        }
    }

    fn link_targets(&self, deployment: &mut Deployment) {
        for (index, target) in deployment.targets.iter().enumerate() {
            if let Some(service) = deployment.services.get_mut(target.service.index()) {
                service.targets.push(TargetKey(index as u16));
            }
        }
        for (section, service) in of_kind(self.sections, "service").zip(&deployment.services) {
            if service.targets.is_empty() {
                section.fault("", "has no targets; add a [target.NAME] with this service");
            }
        }
    }

    fn link_organisations(&self, deployment: &mut Deployment) {
        let sections = of_kind(self.sections, "organisation");
        for ((index, org), section) in deployment.organisations.iter().enumerate().zip(sections) {
            let key = OrganisationKey(index as u16);
            deployment
                .organisations_by_name
                .insert(org.name.clone(), key);
            for hash in &org.key_hashes {
                if deployment.by_key_hash.insert(*hash, key).is_some() {
                    section.fault(
                        "key_sha256",
                        "is already used by another organisation; create a new key",
                    );
                }
            }
        }
    }

    fn report_unknown_adapters(&self, deployment: &Deployment) {
        let sections = of_kind(self.sections, "organisation");
        for (section, org) in sections.zip(&deployment.organisations) {
            let Some(adapter) = &org.adapter else {
                continue;
            };
            if !deployment
                .models
                .iter()
                .any(|m| m.adapters.contains(adapter))
            {
                section.fault("adapter", format!("names {adapter}, which no model lists"));
            }
        }
    }

    fn report_unused_stages(&self, deployment: &Deployment) {
        for section in self.stages.values() {
            let (owner, name) = section.item_name().split_once('.').unwrap_or_default();
            let Some(&index) = self.pipelines.get(owner) else {
                section.fault(
                    "",
                    format!("belongs to [pipeline.{owner}], which is not defined"),
                );
                continue;
            };
            let pipeline = &deployment.pipelines[usize::from(index)];
            if !pipeline.stages.iter().any(|stage| stage.name == name) {
                // Marks its fields as read, so that they are not reported too.
                self.read_stage(section, name);
                section.fault(
                    "",
                    format!("is not listed in the stages of [pipeline.{owner}]"),
                );
            }
        }
    }
}

fn of_kind<'a>(
    sections: &'a [Section<'a>],
    kind: &'a str,
) -> impl Iterator<Item = &'a Section<'a>> + 'a {
    sections.iter().filter(move |section| {
        section
            .name()
            .split_once('.')
            .is_some_and(|(found, _)| found == kind)
    })
}

fn names<'a>(sections: &'a [Section<'a>], kind: &'a str) -> Names<'a> {
    let all: Vec<_> = of_kind(sections, kind).collect();
    if let Some(extra) = all.get(MAX_ITEMS) {
        extra.fault(
            "",
            format!("exceeds the limit of {MAX_ITEMS} sections of a kind"),
        );
    }
    all.iter()
        .take(MAX_ITEMS)
        .enumerate()
        .map(|(index, section)| (section.item_name(), index as u16))
        .collect()
}

/// Position of the item that `key` refers to; a fault and 0 when undefined.
fn resolve(section: &Section<'_>, key: &str, names: &Names<'_>) -> u16 {
    let name = section.required(key);
    if name.is_empty() {
        return 0;
    }
    names.get(name).copied().unwrap_or_else(|| {
        section.fault(key, format!("names {name}, which no section defines"));
        0
    })
}

fn resolve_list(section: &Section<'_>, key: &str, names: &Names<'_>) -> Vec<u16> {
    section
        .list(key)
        .into_iter()
        .filter_map(|name| {
            let found = names.get(name).copied();
            if found.is_none() {
                section.fault(key, format!("names {name}, which no section defines"));
            }
            found
        })
        .collect()
}

fn read_kind(section: &Section<'_>) -> ServiceKind {
    match section.required("kind") {
        "encoder" => ServiceKind::Encoder,
        "retriever" => ServiceKind::Retriever,
        "reranker" => ServiceKind::Reranker,
        "engine" => ServiceKind::Engine,
        "plain" => ServiceKind::Plain,
        "" => ServiceKind::Plain,
        _ => {
            section.fault(
                "kind",
                "is not one of encoder, retriever, reranker, engine, plain",
            );
            ServiceKind::Plain
        }
    }
}

fn read_statuses(section: &Section<'_>) -> Vec<u16> {
    section
        .list("final_refusals")
        .into_iter()
        .filter_map(|text| match text.parse() {
            Ok(status @ 400..=599) => Some(status),
            _ => {
                section.fault(
                    "final_refusals",
                    format!("holds {text}; expected HTTP statuses from 400 to 599"),
                );
                None
            }
        })
        .collect()
}

fn read_address(section: &Section<'_>, key: &str) -> SocketAddr {
    let default = SocketAddr::from(([0, 0, 0, 0], 0));
    if section.required(key).is_empty() {
        return default;
    }
    section.parsed(key, default, "an address like 10.0.0.1:8080")
}

fn read_key_hashes(section: &Section<'_>) -> Vec<KeyHash> {
    let hashes: Vec<_> = section
        .list("key_sha256")
        .into_iter()
        .filter_map(|text| {
            let hash = parse_key_hash(text);
            if hash.is_none() {
                section.fault("key_sha256", "is not 64 hexadecimal digits");
            }
            hash
        })
        .collect();
    if hashes.is_empty() && section.text("key_sha256").is_none() {
        section.fault(
            "key_sha256",
            "is missing; add the SHA-256 of the organisation's key",
        );
    }
    hashes
}
