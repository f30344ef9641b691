//! SHA-256 hashes of keys. Files store hashes only, never plaintext keys.

use sha2::{Digest, Sha256};

/// SHA-256 of an organisation's or operator's key.
pub type KeyHash = [u8; 32];

/// Hashes a key as configuration files store it.
pub fn hash_key(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}

/// Parses 64 hexadecimal digits; `None` for any other text.
pub fn parse_key_hash(text: &str) -> Option<KeyHash> {
    hex::decode(text.trim()).ok()?.try_into().ok()
}
