//! Log lines of this daemon: the shared catalogue, with the host's name.

use std::fmt::Arguments;

use hollowsail_observe::events::{emit, Event};

/// Writes lines in the name of one host.
#[derive(Debug, Clone)]
pub struct Log {
    host: String,
}

impl Log {
    /// Lines of this host.
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
