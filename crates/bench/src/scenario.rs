//! Scenario files in INI format: the deployment, load and faults of a run.
//!
//! Parsing collects every fault of the file before it fails.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use hollowsail_config::fault::{Fault, Faults};
use hollowsail_config::reader::{FaultList, Section};
use hollowsail_config::SourceFile;

/// A deployment with its load and faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: String,
    /// Directory of the deployment's configuration files.
    pub deployment: PathBuf,
    pub entries: usize,
    /// Request rate as a share of the measured capacity.
    pub load: f64,
    /// Share of requests under a ticket that are sent to two entries at the same time.
    pub duplicates: f64,
    /// Number of faults drawn from the run's seed, in addition to `faults`.
    pub drawn_faults: usize,
    /// Weight of each pipeline in the arrivals; absent pipelines are not called.
    pub mix: BTreeMap<String, f64>,
    /// Weight of each organisation in the arrivals; equal if empty.
    pub shares: BTreeMap<String, f64>,
    pub faults: Vec<FaultPlan>,
}

/// A fault with its time span.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultPlan {
    pub name: String,
    pub kind: FaultKind,
    pub at_ms: u64,
    pub for_ms: u64,
}

/// Kinds of fault. `targets` is a prefix of target names.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// Multiplies all arrivals.
    Burst { factor: f64 },
    /// Multiplies one organisation's arrivals.
    Flood { organisation: String, factor: f64 },
    /// Targets take a multiple of their time.
    Slow { targets: String, factor: f64 },
    /// Targets accept calls and never answer.
    Hang { targets: String },
    /// Targets answer at once with an error that is not declared final.
    Errors { targets: String },
    /// Targets report that they are draining.
    Leaving { targets: String },
    /// Targets truncate their answers.
    Cut { targets: String },
    /// Targets always report a load of zero.
    FrozenLoad { targets: String },
    /// The store answers no requests.
    StoreDown,
    /// The store executes requests but drops a share of its answers.
    StoreLosesAnswers { share: f64 },
    /// An entry is killed; a new one replaces it at the end of the fault.
    EntryKilled { entry: usize },
    /// All entries are stopped and replaced, one after the other.
    RollingRestart,
    /// Two operators apply at the same time at two entries, repeatedly.
    RacingApplies { every_ms: u64 },
    /// All targets of a hall hang and its entries are killed.
    HallLost { hall: String },
}

/// Reads a scenario or site file; reports an unreadable file as a fault.
pub(crate) fn read_source(path: &Path) -> Result<SourceFile, Faults> {
    let name = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(SourceFile { name, text }),
        Err(err) => Err(Faults(vec![Fault {
            file: name,
            line: 0,
            field: "file".into(),
            message: format!("cannot be read: {err}"),
        }])),
    }
}

impl Scenario {
    /// Reads a scenario file; the error lists every fault in it.
    pub fn read(path: &Path) -> Result<Scenario, Faults> {
        Scenario::parse(&read_source(path)?)
    }

    /// Parses a scenario; the error lists every fault in it.
    pub fn parse(source: &SourceFile) -> Result<Scenario, Faults> {
        let ini = source.parse().map_err(|fault| Faults(vec![fault]))?;
        let index = source.index();
        let faults = FaultList::default();
        let empty = ini::Properties::new();
        let mut scenario = Scenario {
            name: file_stem(&source.name),
            deployment: PathBuf::new(),
            entries: 3,
            load: 0.6,
            duplicates: 0.0,
            drawn_faults: 0,
            mix: BTreeMap::new(),
            shares: BTreeMap::new(),
            faults: Vec::new(),
        };
        let main_fields = ini.section(Some("scenario")).unwrap_or(&empty);
        let main = Section::new(&source.name, "scenario", main_fields, &index, &faults);
        read_main(&mut scenario, &main);
        main.finish();
        for (name, fields) in ini.iter() {
            let Some(name) = name.filter(|name| *name != "scenario") else {
                continue;
            };
            let section = Section::new(&source.name, name, fields, &index, &faults);
            match name.split_once('.') {
                None if name == "mix" => scenario.mix = read_weights(&section, fields),
                None if name == "shares" => scenario.shares = read_weights(&section, fields),
                Some(("fault", _)) => scenario.faults.extend(read_fault(&section)),
                _ => {
                    section.fault("", "is not known; use scenario, mix, shares or fault.NAME");
                    continue;
                }
            }
            section.finish();
        }
        faults.into_result(scenario)
    }
}

fn file_stem(name: &str) -> String {
    Path::new(name)
        .file_stem()
        .map_or(name.to_string(), |stem| stem.to_string_lossy().into())
}

fn read_main(scenario: &mut Scenario, section: &Section<'_>) {
    scenario.deployment = PathBuf::from(section.required("deployment"));
    scenario.entries = section.number("entries", 3, 1..=64);
    scenario.load = section.number("load", 0.6, 0.01..=10.0);
    scenario.duplicates = section.number("duplicates", 0.0, 0.0..=1.0);
    scenario.drawn_faults = section.number("drawn_faults", 0, 0..=1000);
}

fn read_weights(section: &Section<'_>, fields: &ini::Properties) -> BTreeMap<String, f64> {
    fields
        .iter()
        .map(|(key, _)| (key.to_string(), section.number(key, 1.0, 0.0..=1e6)))
        .collect()
}

fn read_fault(section: &Section<'_>) -> Option<FaultPlan> {
    let targets = || section.required("targets").to_string();
    let factor = || section.number("factor", 5.0, 0.0..=1000.0);
    let kind = match section.required("kind") {
        "burst" => FaultKind::Burst { factor: factor() },
        "flood" => FaultKind::Flood {
            organisation: section.required("organisation").into(),
            factor: factor(),
        },
        "slow" => FaultKind::Slow {
            targets: targets(),
            factor: factor(),
        },
        "hang" => FaultKind::Hang { targets: targets() },
        "errors" => FaultKind::Errors { targets: targets() },
        "leaving" => FaultKind::Leaving { targets: targets() },
        "cut" => FaultKind::Cut { targets: targets() },
        "frozen-load" => FaultKind::FrozenLoad { targets: targets() },
        "store-down" => FaultKind::StoreDown,
        "store-loses-answers" => FaultKind::StoreLosesAnswers {
            share: section.number("share", 0.5, 0.0..=1.0),
        },
        "entry-killed" => FaultKind::EntryKilled {
            entry: section.number("place", 0, 0..=63),
        },
        "rolling-restart" => FaultKind::RollingRestart,
        "racing-applies" => FaultKind::RacingApplies {
            every_ms: section.number("every_ms", 500, 10..=60_000),
        },
        "hall-lost" => FaultKind::HallLost {
            hall: section.required("hall").into(),
        },
        "" => return None,
        _ => {
            section.fault(
                "kind",
                "is not known; docs/operators/bench.md lists the kinds",
            );
            return None;
        }
    };
    Some(FaultPlan {
        name: section.item_name().into(),
        kind,
        at_ms: section.number("at_ms", 0, 0..=3_600_000),
        for_ms: section.number("for_ms", 3_600_000, 1..=3_600_000),
    })
}
