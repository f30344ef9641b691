//! What is wrong with an operator's file, and where.
//!
//! A check collects every fault before it gives up, so that one round of
//! corrections is enough.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One mistake in one file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// File name as the operator gave it.
    pub file: String,
    /// 1-based line; 0 when the fault belongs to the file as a whole.
    pub line: usize,
    /// `section.field`, or the section alone.
    pub field: String,
    /// What is wrong and what to write instead.
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

/// Every fault found in one check; never empty when returned as an error.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Faults in the order in which an operator reads the files.
    pub fn in_order(mut faults: Vec<Fault>) -> Self {
        faults.sort_by(|a, b| (&a.file, a.line, &a.field).cmp(&(&b.file, b.line, &b.field)));
        Faults(faults)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        write!(
            f,
            "{} fault(s); nothing was changed. Correct them and try again.",
            self.0.len()
        )
    }
}

impl std::error::Error for Faults {}
