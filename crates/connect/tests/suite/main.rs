//! Tests of the connection pool on loopback sockets.

mod limited;
mod server;
