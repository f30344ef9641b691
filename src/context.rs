//! What every operation gets, and what it returns.

use std::io::Write;

/// Where an operation writes.
pub struct Context<'a> {
    pub out: &'a mut dyn Write,
    pub err: &'a mut dyn Write,
}

impl Context<'_> {
    /// Writes a line of results.
    pub fn say(&mut self, line: impl std::fmt::Display) {
        let _ = writeln!(self.out, "{line}");
    }

    /// Writes a line about what went wrong.
    pub fn complain(&mut self, line: impl std::fmt::Display) {
        let _ = writeln!(self.err, "{line}");
    }
}

/// How an operation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    Success,
    /// It ran, and the result is not what was asked for.
    Failure,
    /// It could not run: bad arguments, unreadable files, nobody there.
    Unusable,
}

impl Exit {
    /// Exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Unusable => 2,
        }
    }
}
