//! The scenario file of a simulated day: pools, engines, kinds of request, troubles.
//!
//! Parsing collects every fault of the file before it fails.

use std::path::Path;

use hollowsail_config::fault::Faults;
use hollowsail_config::reader::{read_sections, Section};
use hollowsail_config::SourceFile;

use crate::scenario::read_source;

/// A deployment and its load over a day.
#[derive(Debug, Clone, Default)]
pub struct DayModel {
    pub seconds: f64,
    pub entries: usize,
    pub halls: usize,
    /// Requests per second of all kinds.
    pub rate: f64,
    pub engines: EngineModel,
    pub pools: Vec<PoolModel>,
    pub kinds: Vec<KindModel>,
    pub troubles: Vec<Trouble>,
}

/// The engines; all have the same parameters.
#[derive(Debug, Clone, Default)]
pub struct EngineModel {
    pub count: usize,
    pub slots: u32,
    /// Prefill speed in prompt tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Time per event on an otherwise idle engine, in milliseconds.
    pub event_ms: f64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
}

/// Workers of one stage service; all have the same parameters.
#[derive(Debug, Clone)]
pub struct PoolModel {
    pub name: String,
    pub workers: usize,
    pub batch: usize,
    pub call_ms: f64,
    pub piece_ms: f64,
    /// Memory for results per worker, in bytes.
    pub result_bytes: u64,
}

/// One kind of request.
#[derive(Debug, Clone)]
pub struct KindModel {
    pub name: String,
    /// Weight among all requests.
    pub share: f64,
    pub priority: u8,
    pub target_ms: u64,
    pub deadline_ms: u64,
    /// Credit of an answer within the target, and of a late one.
    pub worth: f64,
    pub late_worth: f64,
    /// Length of a shared prompt prefix in tokens, and the number of different prefixes.
    pub shared_tokens: u64,
    pub prefixes: u32,
    pub own_tokens: u64,
    pub events: u32,
    pub stages: Vec<StageModel>,
}

/// One stage of a kind.
#[derive(Debug, Clone)]
pub struct StageModel {
    /// Index of its pool.
    pub pool: usize,
    /// Indexes of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Mean number of pieces of requests that have the stage.
    pub pieces: f64,
    /// Probability that a request has the stage.
    pub probability: f64,
    pub result_bytes: u64,
    /// Time per piece as a multiple of the pool's.
    pub work: f64,
}

/// A disturbance with its time span.
#[derive(Debug, Clone)]
pub struct Trouble {
    pub kind: TroubleKind,
    pub at_ms: u64,
    pub for_ms: u64,
}

/// Kinds of disturbance.
#[derive(Debug, Clone, PartialEq)]
pub enum TroubleKind {
    /// Multiplies the requests of a kind, or of all kinds if absent.
    Burst { kind: Option<usize>, factor: f64 },
    /// The first `workers` workers of a pool take a multiple of their time.
    Slow {
        pool: usize,
        workers: usize,
        factor: f64,
    },
    /// The first `workers` workers of a pool fail every call.
    Down { pool: usize, workers: usize },
    /// The first `engines` engines report a limit of `per_s` requests per second.
    Limited { engines: usize, per_s: f64 },
    /// All entries are down: requests in flight are lost, and new ones wait until the end of
    /// the trouble.
    Restart,
}

impl Trouble {
    pub fn is_active(&self, at_ms: u64) -> bool {
        (self.at_ms..self.at_ms + self.for_ms).contains(&at_ms)
    }
}

impl PoolModel {
    /// Expected time of a call with `pieces` pieces of average work, in milliseconds.
    pub fn expected_ms(&self, pieces: usize) -> f64 {
        self.call_ms + self.piece_ms * pieces as f64
    }
}

impl DayModel {
    /// Troubles during which all entries are down.
    pub fn restarts(&self) -> impl Iterator<Item = &Trouble> {
        let troubles = self.troubles.iter();
        troubles.filter(|trouble| trouble.kind == TroubleKind::Restart)
    }

    /// Limit that an engine reports at a time, in requests per second; the lowest if troubles
    /// overlap.
    pub fn engine_limit(&self, engine: usize, at_ms: u64) -> Option<f64> {
        let active = self
            .troubles
            .iter()
            .filter(|trouble| trouble.is_active(at_ms));
        let limits = active.filter_map(|trouble| match trouble.kind {
            TroubleKind::Limited { engines, per_s } if engine < engines => Some(per_s),
            _ => None,
        });
        limits.min_by(f64::total_cmp)
    }

    /// Reads a scenario file; the error lists every fault in it.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        Self::parse(&read_source(path)?)
    }

    /// Parses a scenario. Pools and kinds must be defined before they are used.
    pub fn parse(source: &SourceFile) -> Result<Self, Faults> {
        let mut model = DayModel::default();
        let faults = read_sections(source, |section| model.read_section(section))?;
        faults.into_result(model)
    }

    /// Reads a section; the error lists the allowed section names.
    fn read_section(&mut self, section: &Section<'_>) -> Result<(), &'static str> {
        let name = section.name();
        match name.split_once('.') {
            None if name == "day" => self.read_day(section),
            None if name == "engines" => self.engines = read_engines(section),
            Some(("pool", _)) => self.pools.push(read_pool(section)),
            Some(("kind", _)) => self.kinds.push(read_kind(section)),
            Some(("stage", _)) => self.read_stage(section),
            Some(("trouble", _)) => self.read_trouble(section),
            _ => {
                return Err("day, engines, pool.NAME, kind.NAME, stage.KIND.NUMBER or trouble.NAME")
            }
        }
        Ok(())
    }

    fn read_day(&mut self, section: &Section<'_>) {
        self.seconds = section.number("seconds", 30.0, 0.1..=3_600.0);
        self.entries = section.number("entries", 3, 1..=1_000);
        self.halls = section.number("halls", 3, 1..=100);
        self.rate = section.number("requests_per_second", 10.0, 0.01..=1e5);
    }

    fn read_stage(&mut self, section: &Section<'_>) {
        let kind_name = section.item_name().split('.').next().unwrap_or_default();
        let pool = self.pool_index(section);
        let after = section.list("after");
        let after: Vec<usize> = after.iter().filter_map(|text| text.parse().ok()).collect();
        let stage = StageModel {
            pool,
            after,
            pieces: section.number("pieces", 1.0, 1.0..=10_000.0),
            probability: section.number("probability", 1.0, 0.0..=1.0),
            result_bytes: section.number("result_kb", 1, 1..=1_000_000) * 1_000,
            work: section.number("work", 1.0, 0.0..=100.0),
        };
        let Some(kind) = self.kinds.iter_mut().find(|kind| kind.name == kind_name) else {
            section.fault(
                "",
                "refers to an unknown kind; define kind.NAME before its stages",
            );
            return;
        };
        if stage.after.iter().any(|&index| index >= kind.stages.len()) {
            section.fault(
                "after",
                "refers to a stage that is not defined before this one",
            );
            return;
        }
        kind.stages.push(stage);
    }

    fn read_trouble(&mut self, section: &Section<'_>) {
        let factor = || section.number("factor", 2.0, 0.0..=1_000.0);
        let workers = || section.number("workers", 1, 1..=10_000);
        let kind = match section.required("what") {
            "burst" => TroubleKind::Burst {
                kind: section
                    .text("kind")
                    .map(|name| self.kind_index(section, name)),
                factor: factor(),
            },
            "slow" => TroubleKind::Slow {
                pool: self.pool_index(section),
                workers: workers(),
                factor: factor(),
            },
            "down" => TroubleKind::Down {
                pool: self.pool_index(section),
                workers: workers(),
            },
            "limited" => TroubleKind::Limited {
                engines: section.number("engines", 1, 1..=10_000),
                per_s: section.number("per_s", 1.0, 0.0..=1e6),
            },
            "restart" => TroubleKind::Restart,
            _ => {
                section.fault(
                    "what",
                    "is not known; use burst, slow, down, limited or restart",
                );
                return;
            }
        };
        self.troubles.push(Trouble {
            kind,
            at_ms: section.number("at_ms", 0, 0..=3_600_000),
            for_ms: section.number("for_ms", 3_600_000, 1..=3_600_000),
        });
    }

    fn pool_index(&self, section: &Section<'_>) -> usize {
        let name = section.required("pool");
        let found = self.pools.iter().position(|pool| pool.name == name);
        found.unwrap_or_else(|| {
            section.fault(
                "pool",
                "refers to an unknown pool; define pool.NAME before it is used",
            );
            0
        })
    }

    fn kind_index(&self, section: &Section<'_>, name: &str) -> usize {
        let found = self.kinds.iter().position(|kind| kind.name == name);
        found.unwrap_or_else(|| {
            section.fault(
                "kind",
                "refers to an unknown kind; define kind.NAME before it is used",
            );
            0
        })
    }
}

fn read_engines(section: &Section<'_>) -> EngineModel {
    EngineModel {
        count: section.number("count", 1, 1..=10_000),
        slots: section.number("slots", 64, 1..=10_000),
        tokens_per_ms: section.number("tokens_per_ms", 60.0, 0.01..=1e6),
        event_ms: section.number("event_ms", 17.0, 0.0..=10_000.0),
        cache_tokens: section.number("kept_tokens", 600_000, 0..=1_000_000_000),
    }
}

fn read_pool(section: &Section<'_>) -> PoolModel {
    PoolModel {
        name: section.item_name().to_string(),
        workers: section.number("workers", 1, 1..=10_000),
        batch: section.number("batch", 8, 1..=10_000),
        call_ms: section.number("call_ms", 150.0, 0.0..=60_000.0),
        piece_ms: section.number("piece_ms", 10.0, 0.0..=60_000.0),
        result_bytes: section.number("result_kb", 1_000, 1..=1_000_000_000) * 1_000,
    }
}

fn read_kind(section: &Section<'_>) -> KindModel {
    KindModel {
        name: section.item_name().to_string(),
        share: section.number("share", 1.0, 0.0..=1e6),
        priority: section.number("priority", 1, 0..=9),
        target_ms: section.number("target_ms", 1_000, 1..=600_000),
        deadline_ms: section.number("deadline_ms", 10_000, 1..=600_000),
        worth: section.number("worth", 1.0, 0.0..=1e6),
        late_worth: section.number("late_worth", 0.1, 0.0..=1e6),
        shared_tokens: section.number("shared_tokens", 0, 0..=10_000_000),
        prefixes: section.number("parts", 1, 1..=1_000_000),
        own_tokens: section.number("own_tokens", 0, 0..=10_000_000),
        events: section.number("events", 1, 1..=1_000_000),
        stages: Vec::new(),
    }
}
