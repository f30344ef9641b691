//! Output streams and exit status of the operations.

use std::fmt::Display;
use std::io::Write;

use hollowsail_config::Faults;
use hollowsail_observe::text::{is_unprintable, OneLine};
use serde::Serialize;

/// Output streams of an operation.
pub struct Context<'a> {
    pub out: &'a mut dyn Write,
    pub err: &'a mut dyn Write,
}

impl Context<'_> {
    /// Writes one line to the output, whatever the text holds.
    pub fn print(&mut self, line: impl Display) {
        let _ = writeln!(self.out, "{}", OneLine(line));
    }

    /// Writes one line to the error output, whatever the text holds.
    pub fn print_error(&mut self, line: impl Display) {
        let _ = writeln!(self.err, "{}", OneLine(line));
    }

    /// Writes each fault to a line of the error output, then what to do.
    pub fn print_faults(&mut self, faults: &Faults) {
        for fault in &faults.0 {
            self.print_error(fault);
        }
        self.print_error(faults.advice());
    }

    /// Writes a value as indented JSON to the output.
    pub fn print_json(&mut self, value: &impl Serialize) -> serde_json::Result<()> {
        let text = serde_json::to_string_pretty(value)?;
        let _ = writeln!(self.out, "{}", escape_json(&text));
        Ok(())
    }
}

/// Escapes the unprintable characters that JSON allows in strings, where alone they can stand.
fn escape_json(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        if c != '\n' && is_unprintable(c) {
            escaped.push_str(&format!("\\u{:04x}", u32::from(c)));
        } else {
            escaped.push(c);
        }
    }
    escaped
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
