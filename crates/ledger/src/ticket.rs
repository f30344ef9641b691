//! Tickets: permission to run one request once, at one entry.
//!
//! A ticket names the issuing incarnation and carries a MAC under the fleet's
//! key, so no caller can make one up and any entry can tell where to send it.
//! Its issue time is on the issuer's own monotonic clock: only the issuer (or
//! its successor) judges its age, so a stepping wall clock changes nothing.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{Incarnation, Millis};

/// Bytes of the MAC at the end of a ticket.
const MAC_BYTES: usize = 32;
/// Separates tickets from other uses of the fleet's key.
const MAC_CONTEXT: &[u8] = b"hollowsail ticket 1";

/// One permission to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    pub issuer: Incarnation,
    pub org: String,
    pub number: u64,
    /// On the issuer's clock.
    pub issued: Millis,
}

/// Why a text is not a ticket of this fleet.
#[derive(Debug, Snafu)]
pub enum TicketError {
    #[snafu(display("the ticket is not valid base64url; send it as it was issued"))]
    Encoding { source: base64::DecodeError },
    #[snafu(display("the ticket is too short; send it as it was issued"))]
    Short,
    #[snafu(display("the ticket was not issued by this fleet; ask for a new one"))]
    Forged,
    #[snafu(display("the ticket's content is not readable; ask for a new one"))]
    Content { source: rmp_serde::decode::Error },
}

impl Ticket {
    /// Text form for callers.
    pub fn encode(&self, fleet_key: &[u8]) -> String {
        let mut bytes = rmp_serde::to_vec(self).expect("a ticket always serializes");
        let mac = mac_of(fleet_key, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&mac);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a text form and checks its MAC in constant time.
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
    let mut mac = Hmac::<Sha256>::new_from_slice(fleet_key).expect("HMAC takes any key length");
    mac.update(MAC_CONTEXT);
    mac.update(content);
    mac
}
