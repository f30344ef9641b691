//! What came of a run, for people.

use std::fmt;

/// Failures that are shown.
const MOST_SHOWN: usize = 12;

/// What came of a run.
#[derive(Debug, Clone)]
pub struct SoakReport {
    pub seed: u64,
    pub seconds: u64,
    /// Attempts of callers, and how they ended.
    pub attempts: usize,
    pub whole: usize,
    pub not_run: usize,
    pub unknown: usize,
    /// Requests on which a target worked.
    pub ran: usize,
    /// What broke a promise.
    pub failures: Vec<String>,
}

impl SoakReport {
    /// True when no promise was broken.
    pub fn is_good(&self) -> bool {
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
        if self.is_good() {
            return write!(f, "all promises kept");
        }
        writeln!(f, "{} failures", self.failures.len())?;
        for failure in self.failures.iter().take(MOST_SHOWN) {
            writeln!(f, "  {failure}")?;
        }
        write!(
            f,
            "again: hollowsail-bench soak --seed {} --seconds {}",
            self.seed, self.seconds
        )
    }
}
