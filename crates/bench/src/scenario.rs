//! Scenario files: INI, checked like operators' files.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use hollowsail_config::fault::{Fault, Faults};
use hollowsail_config::reader::{FaultList, Section};
use hollowsail_config::SourceFile;

/// What is sent, to what, and what goes wrong.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub name: String,
    /// Directory of operators' files.
    pub deployment: PathBuf,
    pub entries: usize,
    /// Share of the capacity that the tool finds.
    pub load: f64,
    /// Share of requests under a ticket that are sent to two entries at once.
    pub duplicates: f64,
    /// Faults drawn from the run's seed, besides those named.
    pub drawn_faults: usize,
    /// Weight of each pipeline; missing ones are not called.
    pub mix: BTreeMap<String, f64>,
    /// Weight of each organisation in the arrivals; all equal when empty.
    pub shares: BTreeMap<String, f64>,
    pub faults: Vec<FaultPlan>,
}

/// One fault in time.
#[derive(Debug, Clone, PartialEq)]
pub struct FaultPlan {
    pub name: String,
    pub kind: FaultKind,
    pub at_ms: u64,
    pub for_ms: u64,
}

/// What goes wrong.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// Arrivals are multiplied.
    Burst {
        factor: f64,
    },
    /// One organisation's arrivals are multiplied.
    Flood {
        organisation: String,
        factor: f64,
    },
    /// Targets whose name begins with this take a multiple of their time.
    Slow {
        targets: String,
        factor: f64,
    },
    /// They accept calls and never answer.
    Hang {
        targets: String,
    },
    /// They answer at once with an error that is not declared final.
    Errors {
        targets: String,
    },
    /// They say that they are leaving.
    Leaving {
        targets: String,
    },
    /// They cut their answers.
    Cut {
        targets: String,
    },
    /// They report a load of zero whatever they hold.
    FrozenLoad {
        targets: String,
    },
    StoreDown,
    StoreLosesAnswers {
        share: f64,
    },
    /// An entry dies; another takes its place when the fault ends.
    EntryKilled {
        place: usize,
    },
    /// Every entry is stopped and replaced, one after the other.
    RollingRestart,
    /// Two operators apply at once, at two entries, again and again.
    RacingApplies {
        every_ms: u64,
    },
    /// All targets of a hall hang and its entries die.
    HallLost {
        hall: String,
    },
}

/// Reads a file that the bench is given; one that can't be read is a fault.
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
    /// Reads a scenario; every fault of the file is named.
    pub fn read(path: &Path) -> Result<Scenario, Faults> {
        Scenario::parse(&read_source(path)?)
    }

    /// Reads a scenario's text.
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
        let head_fields = ini.section(Some("scenario")).unwrap_or(&empty);
        let head = Section::new(&source.name, "scenario", head_fields, &index, &faults);
        read_head(&mut scenario, &head);
        head.finish();
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

fn read_head(scenario: &mut Scenario, section: &Section<'_>) {
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
            place: section.number("place", 0, 0..=63),
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
