//! Where a daemon's log lines go: standard output, never waiting for its
//! reader.
//!
//! Each line is one write of at most [`MAX_LINE`] bytes to a descriptor in
//! non-blocking mode. On a pipe such a write is taken whole or not at all, so a
//! reader that is behind costs lines, not time and not torn lines. The next
//! line that gets through is preceded by one that tells how many were lost.

use std::io::{self, Write};

use rustix::fs::{fcntl_getfl, fcntl_setfl, OFlags};

/// Bytes that a pipe takes whole or not at all (PIPE_BUF on Linux).
const MAX_LINE: usize = 4096;

/// Writes lines to standard output without waiting.
#[derive(Debug, Default)]
pub struct LineOutput {
    lost: u64,
}

impl LineOutput {
    /// Puts standard output into non-blocking mode.
    pub fn open() -> io::Result<Self> {
        let stdout = rustix::stdio::stdout();
        let flags = fcntl_getfl(stdout)?;
        fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?;
        Ok(LineOutput::default())
    }

    fn put(&self, line: &[u8]) -> bool {
        rustix::io::write(rustix::stdio::stdout(), line).is_ok()
    }
}

impl Write for LineOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lost > 0 {
            let notice = format!("HS0100 log_lines_lost count={}\n", self.lost);
            if self.put(notice.as_bytes()) {
                self.lost = 0;
            }
        }
        let whole = if line.len() > MAX_LINE {
            [&line[..MAX_LINE - 1], b"\n"].concat()
        } else {
            line.to_vec()
        };
        if !self.put(&whole) {
            self.lost += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
