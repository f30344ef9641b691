//! Fields of a head, and what they say of the body and the connection.

use crate::fault::Fault;

/// Version of HTTP/1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
    Http10,
    Http11,
}

impl Version {
    pub fn parse(text: &[u8]) -> Option<Self> {
        match text {
            b"HTTP/1.0" => Some(Version::Http10),
            b"HTTP/1.1" => Some(Version::Http11),
            _ => None,
        }
    }
}

/// What the fields of a head say that were read so far.
#[derive(Debug, Default)]
pub struct Fields {
    pub length: Option<u64>,
    pub is_chunked: bool,
    has_host: bool,
    closes: bool,
    is_kept_alive: bool,
}

impl Fields {
    /// Reads a line that is neither the first of the head nor the empty one.
    pub fn read(&mut self, line: &[u8]) -> Result<(), Fault> {
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.ok_or(Fault::FieldName)?);
        if !is_token(name) {
            return Err(Fault::FieldName);
        }
        let value = &value[1..];
        if !is_text(value) {
            return Err(Fault::FieldValue);
        }
        let value = value.trim_ascii();
        match name.to_ascii_lowercase().as_slice() {
            b"content-length" => {
                let length = parse_length(value).filter(|_| self.length.is_none());
                self.length = Some(length.ok_or(Fault::ContentLength)?);
            }
            b"transfer-encoding" => {
                if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                    return Err(Fault::TransferEncoding);
                }
                self.is_chunked = true;
            }
            b"host" if self.has_host => return Err(Fault::Host),
            b"host" => self.has_host = true,
            b"connection" => {
                for option in value.split(|byte| *byte == b',') {
                    let option = option.trim_ascii();
                    self.closes |= option.eq_ignore_ascii_case(b"close");
                    self.is_kept_alive |= option.eq_ignore_ascii_case(b"keep-alive");
                }
            }
            _ => {}
        }
        Ok(())
    }

    /// Checks what only the whole head shows.
    pub fn check(&self, version: Version) -> Result<(), Fault> {
        match (self.is_chunked, self.length, version) {
            (true, Some(_), _) => Err(Fault::TwoLengths),
            (true, None, Version::Http10) => Err(Fault::TransferEncoding),
            _ => Ok(()),
        }
    }

    /// True if the connection ends after the message.
    pub fn ends_connection(&self, version: Version) -> bool {
        match version {
            Version::Http10 => !self.is_kept_alive,
            Version::Http11 => self.closes,
        }
    }
}

/// A decimal number without a sign.
fn parse_length(value: &[u8]) -> Option<u64> {
    let digits = std::str::from_utf8(value).ok()?;
    let is_number = digits.bytes().all(|byte| byte.is_ascii_digit());
    digits.parse().ok().filter(|_| is_number)
}

/// True for the name of a field or method.
pub fn is_token(name: &[u8]) -> bool {
    let is_token_byte =
        |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !name.is_empty() && name.iter().all(is_token_byte)
}

/// True if there is no control character but tabs.
pub fn is_text(value: &[u8]) -> bool {
    let is_text_byte = |byte: &u8| *byte == b'\t' || !byte.is_ascii_control();
    value.iter().all(is_text_byte)
}
