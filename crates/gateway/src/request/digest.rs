//! What makes two requests the same one, whatever their ids.
//!
//! A caller that sends a request again gives it a new id, and any entry may get it. Its
//! digest is the same everywhere: it covers who asks, what is asked for and the whole
//! body.

use hollowsail_routing::RequestDigest;

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
    RequestDigest::of(fields)
}
