//! The request to relay a connection, and its response.
//!
//! The request asks for an upgrade. Status 101 says that the target is connected; from then on the
//! connection carries a [`hollowsail_connect::RelayedStream`]. The other statuses are listed below.
//! An older build answers 404.

use hollowsail_platform::targets::Incarnation;
use http::{HeaderName, StatusCode};
use serde::{Deserialize, Serialize};

use crate::peers::PeerId;

/// Path that accepts a [`RelayRequest`].
pub const RELAY_PATH: &str = "/hollowsail/relay";
/// Protocol that the connection is upgraded to. The relay says when the target is to get no further
/// request, and passes on the end of its connection only if the target is known to run after it.
pub const RETIRING_PROTOCOL: &str = "hollowsail-relay-3";
/// Header with which the requester says that it understands [`RETIRING_PROTOCOL`]. It offers
/// [`CONFIRMING_PROTOCOL`], which is all that older relays look for.
pub const RETIRES: HeaderName = HeaderName::from_static("hollowsail-relay-retires");
/// The same of an older build, which doesn't say when the target is to get no further request.
pub const CONFIRMING_PROTOCOL: &str = "hollowsail-relay-2";
/// That of a still older build, which passes on every end.
pub const PROTOCOL: &str = "hollowsail-relay";

/// The target refused the connection, and the relay reaches others.
pub const TARGET_REFUSED: StatusCode = StatusCode::BAD_GATEWAY;
/// The target refused the connection; the relay has reached no other lately.
pub const CONNECT_REFUSED: StatusCode = StatusCode::CONFLICT;
/// The target didn't answer in time, or isn't known to the relay.
pub const TARGET_SILENT: StatusCode = StatusCode::GATEWAY_TIMEOUT;
/// The peer relays nothing now: it is cut off itself, is stopping, or relays too much.
pub const UNABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// Asks a peer to connect to a target and to pass bytes on.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RelayRequest {
    /// The run that is addressed.
    pub to: PeerId,
    pub target: Incarnation,
    /// Time for the connect, in milliseconds.
    pub timeout_ms: u64,
}
