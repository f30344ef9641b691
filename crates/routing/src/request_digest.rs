//! The name of a request by its content.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The same for two requests of one caller that ask for the same with the same body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; RequestDigest::BYTES]);

impl RequestDigest {
    /// Its length; half of a SHA-256 hash, which is more than anybody can find a second
    /// request for.
    pub const BYTES: usize = 16;

    /// The digest of what makes a request the same as another one, field by field. It is a
    /// cryptographic hash, so that nobody can make up a request that passes for another
    /// one, and it tells nothing of the fields.
    pub fn of<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            // With its length, no field can reach into the next one.
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        let whole = hash.finalize();
        let mut digest = [0; RequestDigest::BYTES];
        digest.copy_from_slice(&whole[..RequestDigest::BYTES]);
        RequestDigest(digest)
    }

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
