//! Authentication of organisations, operators and peers.
//!
//! Organisations and operators send a bearer key, of which only the SHA-256 is
//! stored. Peers send a token derived from the fleet key. The operators' key and the
//! peer token are compared in constant time.

use actix_web::http::header::{HeaderMap, AUTHORIZATION};
use hollowsail_config::key::{hash_key, KeyHash};
use hollowsail_config::{Deployment, OrganisationKey};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Header with the peer token.
pub const PEER_HEADER: &str = "hollowsail-peer";
/// Separates the peer token from other uses of the fleet key.
const PEER_CONTEXT: &[u8] = b"hollowsail peer token 1";

/// The bearer key of a request; `None` if it has none.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
        .map(str::trim)
}

/// The organisation that the bearer key belongs to.
pub fn organisation(headers: &HeaderMap, deployment: &Deployment) -> Option<OrganisationKey> {
    let hash = hash_key(bearer(headers)?);
    deployment.organisation_of_key(&hash)
}

/// True when the request has the operators' key.
pub fn is_operator(headers: &HeaderMap, expected: &KeyHash) -> bool {
    bearer(headers).is_some_and(|key| hash_key(key).ct_eq(expected).into())
}

/// Token that authenticates the entries of a fleet to each other.
pub fn peer_token(fleet_key: &[u8]) -> String {
    let mut hash = Sha256::new();
    hash.update(PEER_CONTEXT);
    hash.update(fleet_key);
    hex::encode(hash.finalize())
}

/// True when the request has the fleet's peer token.
pub fn is_peer(headers: &HeaderMap, fleet_key: &[u8]) -> bool {
    let expected = peer_token(fleet_key);
    headers
        .get(PEER_HEADER)
        .is_some_and(|token| token.as_bytes().ct_eq(expected.as_bytes()).into())
}
