//! Tests of the entry's modules without sockets.

mod configuration;
mod tls;
