//! Tests of the connection pool on loopback sockets.

mod abandoned;
mod dial;
mod limited;
mod malformed;
mod relayed;
mod server;
