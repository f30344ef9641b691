//! Tickets: permission to run one request once, at one entry.
//!
//! A ticket names the issuing incarnation and carries a MAC under the fleet's key, so
//! callers can't forge it and any entry can route it to its issuer. Its issue time is on
//! the issuer's monotonic clock, and only the issuer or its successor checks its age;
//! wall-clock steps have no effect.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{Incarnation, Millis};

/// Length of the MAC at the end of a ticket.
const MAC_BYTES: usize = 32;
/// Domain separation from other uses of the fleet's key.
const MAC_CONTEXT: &[u8] = b"hollowsail ticket 1";

/// Permission to run one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    pub issuer: Incarnation,
    pub org: String,
    pub number: u64,
    /// Milliseconds on the issuer's clock.
    pub issued: Millis,
}

/// Error of [`Ticket::decode`].
#[derive(Debug, Snafu)]
pub enum TicketError {
    #[snafu(display("the ticket is not valid base64url; send it unchanged"))]
    Encoding { source: base64::DecodeError },
    #[snafu(display("the ticket is too short for its {MAC_BYTES}-byte MAC; send it unchanged"))]
    Short,
    #[snafu(display("the ticket was not issued by this fleet; request a new one"))]
    Forged,
    #[snafu(display("the ticket's content can't be decoded; request a new one"))]
    Content { source: rmp_serde::decode::Error },
}

impl Ticket {
    /// Encodes the ticket for callers.
    pub fn encode(&self, fleet_key: &[u8]) -> String {
        let mut bytes = rmp_serde::to_vec(self).expect("a ticket is always serializable");
        let mac = mac_of(fleet_key, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a ticket after checking its MAC in constant time.
    pub fn decode(text: &str, fleet_key: &[u8]) -> Result<Ticket, TicketError> {
        let bytes = URL_SAFE_NO_PAD.decode(text).context(EncodingSnafu)?;
        let split = bytes.len().checked_sub(MAC_BYTES).context(ShortSnafu)?;
        let (content, mac) = bytes.split_at(split);
        mac_of(fleet_key, content)
            .verify_slice(mac)
            .ok()
            .context(ForgedSnafu)?;
        rmp_serde::from_slice(content).context(ContentSnafu)
    }
}

fn mac_of(fleet_key: &[u8], content: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(fleet_key).expect("HMAC accepts keys of any length");
    mac.update(MAC_CONTEXT);
    mac.update(content);
    mac
}
