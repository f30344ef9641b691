//! Answers on a connection that carries one request at a time.

use crate::body::{BodyReader, ChunkReader};
use crate::fault::Fault;
use crate::head::{is_text, Fields, Version};
use crate::lines::LineReader;

/// What an answer begins with.
const ANSWER_START: &[u8] = b"HTTP/1.";

/// Follows the answer to one request after the other.
#[derive(Debug, Default)]
pub struct AnswerReader {
    state: State,
    lines: LineReader,
    /// The request was a HEAD, whose answer has no body.
    is_to_head: bool,
}

#[derive(Debug, Default)]
enum State {
    /// No answer is awaited; the library decides on what comes.
    #[default]
    Idle,
    StatusLine,
    Fields(Head),
    Body(BodyReader),
    /// The body ends with the connection.
    UntilClose,
    /// The answer is complete by the length of its body, or has none. So many bytes have come behind it
    /// that may begin another answer.
    Complete(usize),
}

#[derive(Debug)]
struct Head {
    version: Version,
    status: u16,
    fields: Fields,
}

impl AnswerReader {
    /// A request is sent, and its answer comes next.
    pub fn expect_answer(&mut self, is_to_head: bool) {
        *self = AnswerReader {
            state: State::StatusLine,
            lines: LineReader::default(),
            is_to_head,
        };
    }

    /// No answer is awaited any more.
    pub fn end(&mut self) {
        self.state = State::Idle;
    }

    /// True when an answer is complete by a length, so that nothing but another answer may follow it.
    pub fn is_complete(&self) -> bool {
        matches!(self.state, State::Complete(_))
    }

    /// Nothing more has come behind an answer that is complete. Fails if what came isn't another one.
    pub fn check_surplus(&self) -> Result<(), Fault> {
        match self.state {
            State::Complete(1..) => Err(Fault::Surplus),
            _ => Ok(()),
        }
    }

    /// Reads the next bytes of the connection. Fails at the first rule that the answer breaks.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        let mut rest = Some(bytes);
        while let Some(bytes) = rest.filter(|rest| !rest.is_empty()) {
            rest = match &mut self.state {
                State::Idle | State::UntilClose => None,
                State::StatusLine | State::Fields(_) => self.read_line(bytes)?,
                State::Body(body) => {
                    let is_counted = matches!(body, BodyReader::Length(_));
                    let after = body.read(bytes)?;
                    if after.is_some() {
                        // The last chunk ends a body whatever follows it.
                        self.state = match is_counted {
                            true => State::Complete(0),
                            false => State::Idle,
                        };
                    }
                    after
                }
                State::Complete(surplus) => {
                    let expected = &ANSWER_START[*surplus..];
                    let len = expected.len().min(bytes.len());
                    if bytes[..len] != expected[..len] {
                        return Err(Fault::Surplus);
                    }
                    *surplus += len;
                    if *surplus == ANSWER_START.len() {
                        // Another answer leaves this one as it is.
                        self.state = State::Idle;
                    }
                    None
                }
            };
        }
        Ok(())
    }

    /// Reads up to the end of a line of the head, and the line.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> Result<Option<&'a [u8]>, Fault> {
        let rest = self.lines.read(bytes)?;
        if rest.is_some() {
            let line = self.lines.take();
            self.state = match std::mem::take(&mut self.state) {
                State::Fields(head) if line.is_empty() => self.after_head(&head)?,
                State::Fields(mut head) => {
                    head.fields.read(&line)?;
                    State::Fields(head)
                }
                _ => State::Fields(read_status_line(&line)?),
            };
        }
        Ok(rest)
    }

    /// What follows a head.
    fn after_head(&self, head: &Head) -> Result<State, Fault> {
        let Head {
            version,
            status,
            fields,
        } = head;
        fields.check(*version)?;
        let has_body = fields.is_chunked || fields.length.is_some_and(|length| length > 0);
        match *status {
            101 => Err(Fault::ProtocolSwitch),
            100..=199 | 204 if has_body && !self.is_to_head => Err(Fault::UnexpectedBody),
            100..=199 => Ok(State::StatusLine),
            204 | 304 => Ok(State::Complete(0)),
            _ if self.is_to_head => Ok(State::Complete(0)),
            _ if fields.is_chunked => Ok(State::Body(BodyReader::Chunks(ChunkReader::default()))),
            _ => match fields.length {
                Some(0) => Ok(State::Complete(0)),
                Some(length) => Ok(State::Body(BodyReader::Length(length))),
                None if fields.ends_connection(*version) => Ok(State::UntilClose),
                None => Err(Fault::NoLength),
            },
        }
    }
}

/// `HTTP/1.1 200 OK`; the reason may be absent, with the space before it.
fn read_status_line(line: &[u8]) -> Result<Head, Fault> {
    let parse = || {
        let (version, rest) = line.split_at_checked(8)?;
        let version = Version::parse(version)?;
        let (status, reason) = rest.strip_prefix(b" ")?.split_at_checked(3)?;
        let is_number = status.iter().all(u8::is_ascii_digit);
        let status = std::str::from_utf8(status).ok()?.parse().ok()?;
        let is_valid = is_number
            && (100..=599).contains(&status)
            && (reason.is_empty() || reason.starts_with(b" "))
            && is_text(reason);
        is_valid.then_some((version, status))
    };
    let (version, status) = parse().ok_or(Fault::StatusLine)?;
    Ok(Head {
        version,
        status,
        fields: Fields::default(),
    })
}
