//! Non-blocking log output to standard output.
//!
//! Each line is one non-blocking write of at most `MAX_LINE` bytes, which a
//! pipe accepts completely or not at all. A slow reader loses lines, but never
//! blocks the daemon or receives partial lines. The next line that is written
//! is preceded by the number of lost lines.

use std::io::{self, Write};

use rustix::fs::{fcntl_getfl, fcntl_setfl, OFlags};

/// Largest atomic write to a pipe, in bytes (PIPE_BUF on Linux).
const MAX_LINE: usize = 4096;

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
        let truncated = if line.len() > MAX_LINE {
            [&line[..MAX_LINE - 1], b"\n"].concat()
        } else {
            line.to_vec()
        };
        if !self.try_write(&truncated) {
            self.lost += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
