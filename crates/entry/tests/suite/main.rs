//! Tables of the entry that documents show, and parts that need no sockets.

mod catalogues;
mod configuration;
mod tls;
