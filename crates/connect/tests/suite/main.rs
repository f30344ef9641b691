//! Tests of the connection pool on loopback sockets.

mod abandoned;
mod dial;
mod limited;
mod relayed;
mod server;
