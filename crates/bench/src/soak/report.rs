//! The printed report of a soak run: counts of outcomes, failures, and the command to repeat it.

use std::collections::BTreeMap;
use std::fmt;

/// Maximum number of failures of one kind that are printed; their number always is.
const MAX_SHOWN_OF_KIND: usize = 4;

/// The promise that a failure broke.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureKind {
    /// A promise that the emulated platform checks, by its name.
    Platform(String),
    /// A process that exited, or did not exit or start, against the plan.
    Process,
    /// A request on the added route that wasn't served.
    AddedRoute,
    /// A response with wrong or missing contents.
    WrongResponse,
    /// A request that was reported as not run, but ran.
    FalseNotRun,
    /// A request that a planned stop cut.
    CutByStop,
    /// A response after the route's timeout.
    Late,
    /// Gateways behind a cut that served too little.
    CutOff,
    /// Too little service while most connections go to one gateway.
    Crowded,
    /// Too few whole responses for the other checks.
    FewWhole,
    /// A request without room that a target got.
    RanWithoutRoom,
    /// A late refusal for want of room.
    LateRefusal,
    /// A more urgent route that was served less often.
    Order,
    /// An organisation that was hardly served.
    Starved,
    /// A stream with events of two versions, or with events missing or doubled.
    StreamEvents,
    /// Too few streams that went on.
    StreamsNotResumed,
    /// Requests with a part that crashes targets that reached many.
    FatalPart,
    /// Requests beside them that were served too little.
    BesideFatalPart,
    /// More work that a service got more than once than the settings allow.
    Repeats,
    /// Work that a service got once more though no gateway granted that.
    Ungranted,
    /// Gateways that owned one queue at the same time for too long.
    Owners,
    /// Attempts that ran at more targets than their routes allow.
    AttemptTargets,
    /// A target in the store that got no work.
    IdleTarget,
    /// A gateway that served a route too little.
    Unserved,
    /// More pages of lists read than starts explain.
    ListCalls,
    /// A gateway that took more memory than its settings allow.
    Memory,
    /// A panic in a gateway's log.
    Panic,
    /// Work that targets were given more time for than remained.
    GivenTime,
}

impl fmt::Display for FailureKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            FailureKind::Platform(promise) => promise,
            FailureKind::Process => "process",
            FailureKind::AddedRoute => "added route",
            FailureKind::WrongResponse => "wrong response",
            FailureKind::FalseNotRun => "false not-run",
            FailureKind::CutByStop => "cut by a planned stop",
            FailureKind::Late => "late response",
            FailureKind::CutOff => "served too little behind a cut",
            FailureKind::Crowded => "served too little when most connections go to one gateway",
            FailureKind::FewWhole => "few whole responses",
            FailureKind::RanWithoutRoom => "ran without room",
            FailureKind::LateRefusal => "late refusal",
            FailureKind::Order => "order of routes",
            FailureKind::Starved => "starved organisation",
            FailureKind::FatalPart => "a part that crashes targets reaches few more",
            FailureKind::BesideFatalPart => "served too little beside a part that crashes targets",
            FailureKind::Repeats => "repeats within their budget",
            FailureKind::Ungranted => "repeats are granted",
            FailureKind::Owners => "a queue has one owner",
            FailureKind::AttemptTargets => "attempts within their number of targets",
            FailureKind::IdleTarget => "target without work",
            FailureKind::Unserved => "served too little",
            FailureKind::ListCalls => "reads of lists end",
            FailureKind::Memory => "memory of gateways",
            FailureKind::Panic => "panic",
            FailureKind::GivenTime => "time that targets are given",
            FailureKind::StreamEvents => "events of a stream",
            FailureKind::StreamsNotResumed => "streams not resumed",
        };
        f.write_str(name)
    }
}

/// A broken promise or a failed process.
#[derive(Debug, Clone)]
pub struct Failure {
    pub kind: FailureKind,
    pub description: String,
}

impl Failure {
    pub fn new(kind: FailureKind, description: impl Into<String>) -> Self {
        Failure {
            kind,
            description: description.into(),
        }
    }
}

/// Result of a soak run.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    pub seed: u64,
    pub seconds: u64,
    pub entries: usize,
    /// Option of the command that selects what is played; the usual soak if `None`.
    pub mode: Option<&'static str>,
    /// Callers' attempts, in total and by outcome.
    pub attempts: usize,
    pub whole: usize,
    pub not_run: usize,
    pub unknown: usize,
    /// Requests that a target began to execute.
    pub ran: usize,
    /// Refusals for want of room, by route.
    pub room: String,
    /// Service of gateways that were cut off from all targets.
    pub cut: String,
    /// Streams that callers took up.
    pub streams: String,
    /// Repeats of work by service.
    pub repeats: String,
    /// Largest part of the repeats that are allowed in a window that a service got.
    pub used_repeats: f64,
    /// The longest time in which a queue had two owners.
    pub owners: String,
    /// What is used of the bounds of single attempts.
    pub attempt_bounds: String,
    pub failures: Vec<Failure>,
}

impl SoakReport {
    fn write_summaries(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summaries = [
            &self.room,
            &self.cut,
            &self.streams,
            &self.repeats,
            &self.owners,
            &self.attempt_bounds,
        ];
        let mut summaries = summaries.into_iter().filter(|text| !text.is_empty());
        summaries.try_for_each(|text| write!(f, "\n{text}"))
    }

    /// True if no check failed.
    pub fn is_success(&self) -> bool {
        self.failures.is_empty()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {} over {} s: {} attempts, {} whole, {} not run, {} unknown; {} ran: ",
            self.seed,
            self.seconds,
            self.attempts,
            self.whole,
            self.not_run,
            self.unknown,
            self.ran
        )?;
        if self.is_success() {
            f.write_str("all promises kept")?;
            return self.write_summaries(f);
        }
        writeln!(f, "{} failures", self.failures.len())?;
        let mut by_kind: BTreeMap<&FailureKind, Vec<&str>> = BTreeMap::new();
        for Failure { kind, description } in &self.failures {
            by_kind.entry(kind).or_default().push(description);
        }
        for (kind, descriptions) in by_kind {
            writeln!(f, "  {} x {kind}", descriptions.len())?;
            for description in descriptions.iter().take(MAX_SHOWN_OF_KIND) {
                writeln!(f, "    {description}")?;
            }
        }
        f.write_str("again: hollowsail-bench soak")?;
        if let Some(mode) = self.mode {
            write!(f, " {mode}")?;
        }
        write!(
            f,
            " --seed {} --seconds {} --entries {}",
            self.seed, self.seconds, self.entries
        )?;
        self.write_summaries(f)
    }
}
