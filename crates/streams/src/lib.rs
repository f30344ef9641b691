//! Which software version a resumable stream belongs to.
//!
//! Software versions of a service write streams that don't fit together, so a stream resumes only
//! at the version that began it. The entry that relays a stream records its [`Build`] in an
//! [`OriginTable`] and copies the record to [`holders`], unless its [`VersionHistory`] shows that
//! only one version can have served. An entry that resumes a stream passes what it and the
//! holders know to [`find_origin`]. All of it is free of I/O: time is an argument.

#![warn(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic,
    clippy::unreachable,
    clippy::todo
)]

pub mod holders;
pub mod origin;
pub mod origin_table;
pub mod version_history;

pub use origin::{find_origin, Build, Findings, KnownBy, Origin, UnknownOrigin};
pub use origin_table::{OriginTable, Recorded, StreamKey};
pub use version_history::{ListedVersion, VersionAccount, VersionHistory, RETENTION_MS};

/// Milliseconds since the owning process started.
pub type Millis = u64;
