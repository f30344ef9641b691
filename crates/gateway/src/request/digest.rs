//! What makes two requests the same one, whatever their ids.
//!
//! A caller that sends a request again gives it a new id, and any entry may get it. Its
//! digest is the same everywhere: it covers who asks, what is asked for and the whole
//! body. It is a cryptographic hash, so that nobody can make up a request that passes for
//! another one, and it tells nothing of the body.

use hollowsail_routing::RequestDigest;
use sha2::{Digest, Sha256};

use super::admit::Admitted;

/// The digest of a request.
pub fn of(admitted: &Admitted) -> RequestDigest {
    let head = &admitted.head;
    let host = head.headers.get(http::header::HOST);
    let fields: [&[u8]; 5] = [
        admitted.organisation_name().unwrap_or_default().as_bytes(),
        head.method.as_str().as_bytes(),
        host.map_or(&[], |host| host.as_bytes()),
        head.uri
            .path_and_query()
            .map_or(&[], |path| path.as_str().as_bytes()),
        &admitted.body,
    ];
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
