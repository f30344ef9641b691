//! Errors in operators' files, with file, line and field.
//!
//! A check collects all faults before it fails, so that operators can correct
//! them in one round.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One error in one file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// File name as the operator gave it.
    pub file: String,
    /// 1-based line; 0 when the fault concerns the whole file.
    pub line: usize,
    /// `section.field`, or the section alone.
    pub field: String,
    /// The error and how to correct it.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}: {}: {}",
            self.file, self.line, self.field, self.message
        )
    }
}

/// All faults found by one check; never empty when returned as an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Sorts faults by file, line and field.
    pub fn sorted(mut faults: Vec<Fault>) -> Self {
        faults.sort_by(|a, b| (&a.file, a.line, &a.field).cmp(&(&b.file, b.line, &b.field)));
        Faults(faults)
    }

    /// How many faults there are, and what to do.
    pub fn advice(&self) -> String {
        format!(
            "{} fault(s); nothing was changed. Correct them and try again.",
            self.0.len()
        )
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        f.write_str(&self.advice())
    }
}

impl std::error::Error for Faults {}
