//! Where a body ends that has a length or chunks.

use crate::fault::Fault;
use crate::head::{is_text, Fields};
use crate::lines::LineReader;

/// Longest line with the size of a chunk, and longest trailer field, in bytes.
const MAX_LINE_BYTES: usize = 16 << 10;
/// Most hexadecimal digits of a chunk's size.
const MAX_SIZE_DIGITS: usize = 15;

/// Follows a body.
#[derive(Debug)]
pub enum BodyReader {
    /// So many bytes are left.
    Length(u64),
    Chunks(ChunkReader),
}

impl BodyReader {
    /// Reads bytes of the body. Returns those after its end; `None` if it isn't complete.
    pub fn read<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<&'a [u8]>, Fault> {
        match self {
            BodyReader::Length(left) => Ok(skip(bytes, left)),
            BodyReader::Chunks(chunks) => chunks.read(bytes),
        }
    }
}

/// Passes over up to `left` bytes. Returns those after them; `None` if some are still to come.
fn skip<'a>(bytes: &'a [u8], left: &mut u64) -> Option<&'a [u8]> {
    let len = usize::try_from(*left)
        .unwrap_or(usize::MAX)
        .min(bytes.len());
    *left -= len as u64;
    (*left == 0).then(|| &bytes[len..])
}

#[derive(Debug, Clone, Copy)]
enum Part {
    Size,
    Data(u64),
    /// The empty line after a chunk's data.
    DataEnd,
    Trailer,
}

/// Follows chunks.
#[derive(Debug)]
pub struct ChunkReader {
    part: Part,
    lines: LineReader,
}

impl Default for ChunkReader {
    fn default() -> Self {
        ChunkReader {
            part: Part::Size,
            lines: LineReader::default(),
        }
    }
}

impl ChunkReader {
    fn read<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<&'a [u8]>, Fault> {
        let mut rest = bytes;
        while !rest.is_empty() {
            if let Part::Data(left) = &mut self.part {
                let Some(after) = skip(rest, left) else {
                    return Ok(None);
                };
                rest = after;
                self.part = Part::DataEnd;
                continue;
            }
            let after = self.lines.read(rest)?;
            match self.part {
                Part::DataEnd if self.lines.len() > 0 => return Err(Fault::Chunk),
                _ if self.lines.len() > MAX_LINE_BYTES => return Err(Fault::LongLine),
                _ => {}
            }
            let Some(after) = after else {
                return Ok(None);
            };
            rest = after;
            let line = self.lines.take();
            self.part = match self.part {
                Part::Size => match chunk_size(&line).ok_or(Fault::Chunk)? {
                    0 => Part::Trailer,
                    size => Part::Data(size),
                },
                Part::DataEnd => Part::Size,
                Part::Trailer if line.is_empty() => return Ok(Some(rest)),
                Part::Trailer => {
                    check_trailer(&line)?;
                    Part::Trailer
                }
                Part::Data(left) => Part::Data(left),
            };
        }
        Ok(None)
    }
}

/// The size in a line that may have extensions.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next()?.trim_ascii_end();
    let is_number = digits.iter().all(u8::is_ascii_hexdigit) && is_text(line);
    let is_bounded = (1..=MAX_SIZE_DIGITS).contains(&digits.len());
    let digits = std::str::from_utf8(digits).ok()?;
    u64::from_str_radix(digits, 16)
        .ok()
        .filter(|_| is_number && is_bounded)
}

/// Rejects a trailer field that is malformed, or would change the framing.
fn check_trailer(line: &[u8]) -> Result<(), Fault> {
    let mut fields = Fields::default();
    fields.read(line)?;
    match fields.is_chunked || fields.length.is_some() {
        true => Err(Fault::Chunk),
        false => Ok(()),
    }
}
