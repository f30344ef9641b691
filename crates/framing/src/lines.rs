//! Lines that end with a carriage return and a line feed.

use crate::fault::Fault;

/// Collects the bytes of a line.
#[derive(Debug, Default)]
pub struct LineReader {
    line: Vec<u8>,
    has_carriage_return: bool,
}

impl LineReader {
    /// Reads up to the end of the line. Returns the bytes after it; `None` if it isn't complete.
    pub fn read<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<&'a [u8]>, Fault> {
        for (index, byte) in bytes.iter().enumerate() {
            match (self.has_carriage_return, byte) {
                (true, b'\n') => {
                    self.has_carriage_return = false;
                    return Ok(Some(&bytes[index + 1..]));
                }
                (true, _) => return Err(Fault::BareCarriageReturn),
                (false, b'\n') => return Err(Fault::BareLineFeed),
                (false, b'\r') => self.has_carriage_return = true,
                (false, byte) => self.line.push(*byte),
            }
        }
        Ok(None)
    }

    /// Takes the line that was completed.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.line)
    }

    /// Number of bytes of the line so far.
    pub fn len(&self) -> usize {
        self.line.len()
    }
}
