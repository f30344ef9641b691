//! How the end of an answer's body is marked.

use http::{header, Response};
use hyper::body::Body;

use crate::transport::Way;

/// What marks the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Its length is known from the head.
    Length,
    /// Its last chunk.
    Chunked,
    /// The end of its connection, which a peer that stops halfway causes, too.
    Connection,
    /// The same behind a relay that confirms that the peer runs after it.
    ConfirmedConnection,
}

impl Framing {
    /// Framing of an answer whose body wasn't read yet. An answer with another coding than chunked was
    /// rejected ([`hollowsail_framing`]).
    pub(crate) fn of(response: &Response<impl Body>, way: Way) -> Self {
        if response.body().size_hint().exact().is_some() {
            return Framing::Length;
        }
        let is_chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
        match way {
            _ if is_chunked => Framing::Chunked,
            Way::Relay(relay) if relay.confirms_end => Framing::ConfirmedConnection,
            Way::Relay(_) | Way::Direct => Framing::Connection,
        }
    }

    /// True when the body ends with its connection.
    pub fn ends_with_connection(self) -> bool {
        matches!(self, Framing::Connection | Framing::ConfirmedConnection)
    }

    /// Label for log lines.
    pub fn name(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunked => "chunked",
            Framing::Connection => "connection",
            Framing::ConfirmedConnection => "confirmed_connection",
        }
    }
}
