//! Thin clients of what the platform gives: store, host list, targets.
//!
//! One file per outside interface, each behind a narrow set of functions, so
//! that another dialect changes one file. Clients are `awc` clients: they stay
//! on the thread that made them, never follow a redirect and never resend.

pub mod host_list;
pub mod http;
pub mod store;
pub mod target;

pub use host_list::{HostList, HostListClient, HostRecord, HostStatus};
pub use store::{Expect, StoreClient, StoreError, StoreReply, StoreRequest};
pub use target::{Call, CallError, Sent, TokenEvent, TokenStream};
