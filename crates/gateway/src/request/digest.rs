//! The digest that identifies repeated sends of the same request.
//!
//! A caller that retries uses a new request id and may reach another entry. The digest covers the
//! organisation, the method, the host, the path and the body, so it is equal on every entry.

use hollowsail_routing::RequestDigest;

use super::admit::Admitted;

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
