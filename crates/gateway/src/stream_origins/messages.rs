//! Messages between entries on the builds that began streams, in MessagePack.
//!
//! They have their own path, so that an entry of an older build answers 404.

use hollowsail_streams::{Build, Recorded, StreamKey, VersionAccount};
use serde::{Deserialize, Serialize};

use crate::batched_calls::{BatchedCalls, Call};

/// Path that accepts an [`OriginCall`] and returns one [`OriginReply`] for each message.
pub const STREAMS_PATH: &str = "/hollowsail/streams";

pub type OriginCall = Call<OriginMessage>;

/// Sends these messages to one run of one peer.
pub type OriginCalls = BatchedCalls<OriginMessage, OriginReply>;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// Hold a copy of a record for `keep_ms` milliseconds.
    Record {
        key: StreamKey,
        build: Build,
        keep_ms: u64,
    },
    /// Return the record of a stream, and the versions of a service that may have begun it. Entries
    /// of the build before take their account for complete if all targets have been known for
    /// `complete_ms` milliseconds.
    Find {
        key: StreamKey,
        service: String,
        complete_ms: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginReply {
    Recorded,
    Found {
        record: Option<Recorded>,
        account: VersionAccount,
    },
}
