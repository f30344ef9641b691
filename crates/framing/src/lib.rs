//! Strict reading of HTTP/1 messages: which bytes are a head, and where its body ends.
//!
//! A library accepts heads that others read differently: a line feed alone ends a line, or an unknown
//! coding runs to the end of the connection. [`AnswerReader`] and [`RequestReader`] follow the bytes of a
//! connection before a library gets them, and name the first rule of RFC 9112 that a message breaks
//! ([`Fault`]). They hold one line of a head, and nothing of a body. They touch no socket.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

mod answer;
mod body;
mod fault;
mod head;
mod lines;
mod request;

pub use answer::AnswerReader;
pub use fault::Fault;
pub use request::{Malformed, RequestReader};
