//! The name of a request by its content.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The same for two requests of one caller that ask for the same with the same body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; RequestDigest::BYTES]);

impl RequestDigest {
    /// Its length; half of a SHA-256 hash, which is more than anybody can find a second
    /// request for.
    pub const BYTES: usize = 16;

    /// Reads the text that [`fmt::Display`] writes.
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; RequestDigest::BYTES];
        if text.len() != 2 * bytes.len() || !text.is_ascii() {
            return None;
        }
        for (at, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
        }
        Some(RequestDigest(bytes))
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
