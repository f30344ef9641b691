//! Rules that a message can break.

use snafu::Snafu;

/// The rule that a message breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum Fault {
    #[snafu(display("a line feed without a carriage return"))]
    BareLineFeed,
    #[snafu(display("a carriage return without a line feed"))]
    BareCarriageReturn,
    #[snafu(display("a line that is too long"))]
    LongLine,
    #[snafu(display("a malformed status line"))]
    StatusLine,
    #[snafu(display("a malformed request line"))]
    RequestLine,
    /// Also a line without a colon, and one that continues the line before.
    #[snafu(display("a line without a valid field name"))]
    FieldName,
    #[snafu(display("a control character in a field value"))]
    FieldValue,
    #[snafu(display("a Content-Length that isn't one decimal number"))]
    ContentLength,
    #[snafu(display("a Transfer-Encoding that isn't chunked alone"))]
    TransferEncoding,
    #[snafu(display("both Content-Length and Transfer-Encoding"))]
    TwoLengths,
    #[snafu(display("a body with a status that has none"))]
    UnexpectedBody,
    #[snafu(display("no length, and no close of the connection that marks the end of the body"))]
    NoLength,
    #[snafu(display("a protocol switch that wasn't requested"))]
    ProtocolSwitch,
    #[snafu(display("more than one Host"))]
    Host,
    #[snafu(display("a malformed chunk"))]
    Chunk,
    #[snafu(display("bytes after the end of the body that begin no answer"))]
    Surplus,
}
