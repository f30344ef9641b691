//! Structured log lines of the gateway, with the host's name.

use std::fmt::Arguments;

use hollowsail_observe::events::{emit, Event};

/// Writes log lines for one host.
#[derive(Debug, Clone)]
pub struct Log {
    host: String,
}

impl Log {
    pub fn new(host: &str) -> Self {
        Log {
            host: host.to_string(),
        }
    }

    /// Writes one line.
    pub fn line(&self, event: Event, fields: Arguments<'_>) {
        emit(event, &self.host, fields);
    }
}
