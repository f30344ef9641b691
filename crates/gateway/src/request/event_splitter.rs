//! Splits a stream of server-sent events into complete events, without changing their bytes.
//!
//! Only complete events are passed on, so that a stream resumed at another target never joins
//! parts of two events.

use bytes::{Bytes, BytesMut};

/// Length of the longest separator of events.
const MAX_SEPARATOR_BYTES: usize = 4;
/// Longest event, in bytes. A target may send bytes without end.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the incomplete event at the end of a stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<Bytes>,
    has_events: bool,
}

impl EventSplitter {
    /// Appends bytes and returns all events that are complete now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // A separator may have begun at the end of the bytes before.
        let searched = self.partial.len().saturating_sub(MAX_SEPARATOR_BYTES - 1);
        self.partial.extend_from_slice(bytes);
        let end = searched + end_of_last_event(&self.partial[searched..])?;
        let events = self.partial.split_to(end).freeze();
        self.has_events = true;
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&[u8]> {
        self.last_id.as_deref()
    }

    /// True once an event was complete.
    pub fn has_events(&self) -> bool {
        self.has_events
    }

    /// True when a stream that ends here lacks the rest of an event. Complete comment lines and
    /// blank lines aren't part of one.
    pub fn is_inside_event(&self) -> bool {
        let is_line_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
        let ends_line = self.partial.last().is_none_or(is_line_end);
        let mut lines = self.partial[..].split(is_line_end);
        !ends_line || lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
    }

    /// True when the bytes after the last complete event are too many for one.
    pub fn is_event_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Number of bytes after the last complete event.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Bytes of memory that the incomplete event takes.
    pub fn buffered(&self) -> usize {
        match self.partial.is_empty() {
            true => 0,
            false => self.partial.capacity(),
        }
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_partial(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }
}

/// Position after the last blank line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let after_lf = last_position(bytes, b"\n\n").map(|start| start + 2);
    let after_crlf = last_position(bytes, b"\r\n\r\n").map(|start| start + 4);
    let after_cr = last_position(bytes, b"\r\r").map(|start| start + 2);
    after_lf.max(after_crlf).max(after_cr)
}

fn last_position(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes
        .windows(needle.len())
        .rposition(|window| window == needle)
}

/// The value of the last `id` field.
fn last_id(events: &[u8]) -> Option<Bytes> {
    events
        .rsplit(|byte| matches!(byte, b'\n' | b'\r'))
        .find_map(|line| line.strip_prefix(b"id:"))
        .map(|value| Bytes::copy_from_slice(value.trim_ascii()))
}
