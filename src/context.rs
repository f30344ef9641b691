//! Output streams and exit status of the operations.

use std::io::Write;

/// Output streams of an operation.
pub struct Context<'a> {
    pub out: &'a mut dyn Write,
    pub err: &'a mut dyn Write,
}

impl Context<'_> {
    /// Writes a line to the output.
    pub fn print(&mut self, line: impl std::fmt::Display) {
        let _ = writeln!(self.out, "{line}");
    }

    /// Writes a line to the error output.
    pub fn print_error(&mut self, line: impl std::fmt::Display) {
        let _ = writeln!(self.err, "{line}");
    }
}

/// Result of an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    Success,
    /// The operation ran without the requested result.
    Failure,
    /// The operation could not run: bad arguments, unreadable files or an unreachable entry.
    CannotRun,
}

impl Exit {
    /// Exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::CannotRun => 2,
        }
    }
}
