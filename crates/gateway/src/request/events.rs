//! Cuts a stream of events at their ends.
//!
//! Only whole events are passed on, so that a stream which goes on at another
//! target never joins halves of two. Bytes aren't changed.

use bytes::{Bytes, BytesMut};

/// Bytes of a stream up to the end of its last whole event.
#[derive(Debug, Default)]
pub struct EventCutter {
    partial: BytesMut,
    last_id: Option<String>,
}

impl EventCutter {
    /// Takes bytes; gives all whole events that are there now, if any.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = end_of_last_event(&self.partial)?;
        let events = self.partial.split_to(end).freeze();
        if let Some(id) = last_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// What follows the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }
}

/// Position after the last blank line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let plain = last_position(bytes, b"\n\n").map(|at| at + 2);
    let with_return = last_position(bytes, b"\r\n\r\n").map(|at| at + 4);
    plain.max(with_return)
}

fn last_position(bytes: &[u8], needle: &[u8]) -> Option<usize> {
    bytes
        .windows(needle.len())
        .rposition(|window| window == needle)
}

/// The value of the last `id` field.
fn last_id(events: &[u8]) -> Option<String> {
    events
        .rsplit(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .map(|value| String::from_utf8_lossy(value).trim().to_string())
}
