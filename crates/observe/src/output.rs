//! Non-blocking log output to standard output.
//!
//! Each line is one non-blocking write of at most `MAX_LINE` bytes, which a
//! pipe accepts completely or not at all. A slow reader loses lines, but never
//! blocks the daemon or receives partial lines. The next line that is written
//! is preceded by the number of lost lines.

use std::borrow::Cow;
use std::io::{self, Write};

use env_logger::fmt::{ConfigurableFormat, Formatter};
use log::Record;
use rustix::fs::{fcntl_getfl, fcntl_setfl, OFlags};

use crate::text::{self, OneLine};

/// Largest atomic write to a pipe, in bytes (PIPE_BUF on Linux).
const MAX_LINE: usize = 4096;

/// Writes a record in the logger's usual format as exactly one line, whatever its text holds. Every
/// logger of the project's programs formats by it.
pub fn write_line(buffer: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let text = OneLine(record.args());
    let format = ConfigurableFormat::default();
    format.format(
        buffer,
        &Record::builder()
            .metadata(record.metadata().clone())
            .args(format_args!("{text}"))
            .build(),
    )
}

/// The bytes that are written of a line: all, or those that fit.
fn bounded(line: &[u8]) -> Cow<'_, [u8]> {
    if line.len() <= MAX_LINE {
        return Cow::Borrowed(line);
    }
    let line = String::from_utf8_lossy(line);
    let fitting = text::cut(&line, MAX_LINE - text::CUT_MARK.len() - 1);
    Cow::Owned(format!("{fitting}{}\n", text::CUT_MARK).into_bytes())
}

/// Writes lines to standard output without blocking; counts lost lines.
#[derive(Debug, Default)]
pub struct LineOutput {
    lost: u64,
}

impl LineOutput {
    /// Sets standard output to non-blocking mode; fails if its flags cannot be changed.
    pub fn open() -> io::Result<Self> {
        let stdout = rustix::stdio::stdout();
        let flags = fcntl_getfl(stdout)?;
        fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?;
        Ok(LineOutput::default())
    }

    fn try_write(&self, line: &[u8]) -> bool {
        rustix::io::write(rustix::stdio::stdout(), line).is_ok()
    }
}

impl Write for LineOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lost > 0 {
            let notice = format!("HS0100 log_lines_lost count={}\n", self.lost);
            if self.try_write(notice.as_bytes()) {
                self.lost = 0;
            }
        }
        if !self.try_write(&bounded(line)) {
            self.lost += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
