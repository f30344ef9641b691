//! Tests of the decisions on which version a stream belongs to.

mod holders;
mod origin;
mod origin_table;
mod version_history;

use hollowsail_routing::RequestDigest;
use hollowsail_streams::{Build, StreamKey};

fn key(number: usize) -> StreamKey {
    let request = RequestDigest::of([&b"request"[..]]);
    StreamKey::of(request, &number.to_string())
}

fn build(version: &str) -> Build {
    Build {
        service: "engines".into(),
        version: version.into(),
    }
}
