//! The printed report of a soak run: counts of outcomes, failures, and the command to repeat it.

use std::fmt;

/// Maximum number of failures printed.
const MAX_SHOWN_FAILURES: usize = 12;

/// Result of a soak run.
#[derive(Debug, Clone)]
pub struct SoakReport {
    pub seed: u64,
    pub seconds: u64,
    /// Callers' attempts, in total and by outcome.
    pub attempts: usize,
    pub whole: usize,
    pub not_run: usize,
    pub unknown: usize,
    /// Requests that a target began to execute.
    pub ran: usize,
    /// Refusals for want of room, by route.
    pub room: String,
    /// Streams that callers took up.
    pub streams: String,
    /// One line per broken promise or failed process.
    pub failures: Vec<String>,
}

impl SoakReport {
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
            return write!(f, "all promises kept\n{}\n{}", self.room, self.streams);
        }
        writeln!(f, "{} failures", self.failures.len())?;
        for failure in self.failures.iter().take(MAX_SHOWN_FAILURES) {
            writeln!(f, "  {failure}")?;
        }
        writeln!(f, "{}\n{}", self.room, self.streams)?;
        write!(
            f,
            "again: hollowsail-bench soak --seed {} --seconds {}",
            self.seed, self.seconds
        )
    }
}
