//! Parts of the entry that need no sockets.

mod configuration;
mod tls;
