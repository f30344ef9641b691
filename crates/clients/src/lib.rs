//! Thin clients of the platform's interfaces: store, host list, targets.
//!
//! Each interface has a module with a narrow set of functions, so that a change
//! of protocol affects one file. The clients are `awc` clients: they stay on
//! the thread that created them, follow no redirects and never resend.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

pub mod host_list;
pub mod http;
pub mod store;
pub mod target;

pub use host_list::{HostList, HostListClient, HostRecord, HostStatus};
pub use store::{Expect, StoreClient, StoreError, StoreReply, StoreRequest};
pub use target::{Call, CallError, SendProgress, TokenEvent, TokenStream};
