//! Hashes of secrets, so that no file holds a key in the clear.

use sha2::{Digest, Sha256};

/// SHA-256 of an organisation's or operator's key.
pub type KeyHash = [u8; 32];

/// Hashes a presented key the way configuration files store it.
pub fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Reads a 64-digit hexadecimal hash; `None` when it is anything else.
pub fn parse_key_hash(text: &str) -> Option<KeyHash> {
    hex::decode(text.trim()).ok()?.try_into().ok()
}
