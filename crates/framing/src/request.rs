//! Requests on a connection, one after the other.

use crate::body::{BodyReader, ChunkReader};
use crate::fault::Fault;
use crate::head::{is_text, is_token, Fields, Version};
use crate::lines::LineReader;

/// A head that breaks a rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed {
    pub fault: Fault,
    /// How many of the bytes that were read last belong to the messages before it.
    pub sound_bytes: usize,
}

/// Follows the requests on a connection. The chunks of a body are left to the library: a fault there
/// ends the connection after it.
#[derive(Debug, Default)]
pub struct RequestReader {
    state: State,
    lines: LineReader,
}

#[derive(Debug, Default)]
enum State {
    #[default]
    RequestLine,
    Fields(Version, Fields),
    Body(BodyReader),
    /// The library ends the connection.
    Unfollowed,
}

impl RequestReader {
    /// Reads the next bytes of the connection. Fails at the first rule that a head breaks.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), Malformed> {
        let mut sound_bytes = 0;
        let mut rest = Some(bytes);
        while let Some(unread) = rest.filter(|rest| !rest.is_empty()) {
            rest = match &mut self.state {
                State::RequestLine | State::Fields(..) => {
                    let malformed = |fault| Malformed { fault, sound_bytes };
                    self.read_line(unread).map_err(malformed)?
                }
                State::Body(body) => match body.read(unread) {
                    Ok(after) => {
                        if after.is_some() {
                            self.state = State::RequestLine;
                        }
                        after
                    }
                    Err(_) => {
                        self.state = State::Unfollowed;
                        None
                    }
                },
                State::Unfollowed => None,
            };
            if let (State::RequestLine, Some(rest), 0) = (&self.state, rest, self.lines.len()) {
                sound_bytes = bytes.len() - rest.len();
            }
        }
        Ok(())
    }

    /// Reads up to the end of a line of the head, and the line.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<&'a [u8]>, Fault> {
        let rest = self.lines.read(bytes)?;
        if rest.is_some() {
            let line = self.lines.take();
            self.state = match std::mem::take(&mut self.state) {
                State::Fields(version, fields) if line.is_empty() => after_head(version, &fields)?,
                State::Fields(version, mut fields) => {
                    fields.read(&line)?;
                    State::Fields(version, fields)
                }
                // Empty lines may precede a request.
                _ if line.is_empty() => State::RequestLine,
                _ => State::Fields(read_request_line(&line)?, Fields::default()),
            };
        }
        Ok(rest)
    }
}

/// What follows a head.
fn after_head(version: Version, fields: &Fields) -> Result<State, Fault> {
    fields.check(version)?;
    Ok(match fields.length {
        _ if fields.is_chunked => State::Body(BodyReader::Chunks(ChunkReader::default())),
        Some(length) if length > 0 => State::Body(BodyReader::Length(length)),
        _ => State::RequestLine,
    })
}

/// `GET /path HTTP/1.1`, with single spaces.
fn read_request_line(line: &[u8]) -> Result<Version, Fault> {
    let parts: Vec<&[u8]> = line.split(|byte| *byte == b' ').collect();
    match parts[..] {
        [method, target, version]
            if is_token(method)
                && !target.is_empty()
                && is_text(target)
                && !target.contains(&b'\t') =>
        {
            Version::parse(version).ok_or(Fault::RequestLine)
        }
        _ => Err(Fault::RequestLine),
    }
}
