//! Tests of the connection pool on loopback sockets.

mod dial;
mod limited;
mod relayed;
mod server;
