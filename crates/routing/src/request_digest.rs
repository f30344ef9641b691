//! Identifies a request by a digest of its content.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Equal for two requests of one caller with the same parameters and body. Parts of prompts have
/// digests, too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; RequestDigest::BYTES]);

impl RequestDigest {
    /// Length in bytes: half a SHA-256 hash, long enough to rule out second preimages.
    pub const BYTES: usize = 16;

    /// Digest of the identifying fields of a request. A cryptographic hash, so that requests
    /// can't be forged to match another one and the digest reveals nothing of the fields.
    pub fn of<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            // The length prefix keeps field boundaries unambiguous.
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        let full = hash.finalize();
        let mut digest = [0; RequestDigest::BYTES];
        digest.copy_from_slice(&full[..RequestDigest::BYTES]);
        RequestDigest(digest)
    }

    /// Digest of a part of the prompts of a service.
    pub fn of_part(service: &str, part: &str) -> Self {
        Self::of([b"prompt part", service.as_bytes(), part.as_bytes()])
    }

    /// Parses the output of [`fmt::Display`], and no other spelling of it.
    pub fn parse(text: &str) -> Option<Self> {
        let mut bytes = [0; RequestDigest::BYTES];
        if text.len() != 2 * bytes.len() || !text.is_ascii() {
            return None;
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(RequestDigest(bytes)).filter(|digest| digest.to_string() == text)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
