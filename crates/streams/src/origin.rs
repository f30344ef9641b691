//! Decides which build began a stream, from everything that entries know of it.

use serde::{Deserialize, Serialize};

use crate::origin_table::Recorded;
use crate::version_history::VersionAccount;

/// A software version of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Build {
    pub service: String,
    pub version: String,
}

/// How the build of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownBy {
    /// By the record of the entry that resumes it.
    OwnRecord,
    /// By the record of a peer.
    Peer,
    /// Only one version of the service can have served it.
    OnlyVersion,
}

impl KnownBy {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            KnownBy::OwnRecord => "own_record",
            KnownBy::Peer => "peer",
            KnownBy::OnlyVersion => "only_version",
        }
    }
}

/// The build that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    pub build: Build,
    pub known_by: KnownBy,
}

/// Why the build of a stream can't be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnknownOrigin {
    /// No record was found, and several versions can have served it.
    NoRecord,
    /// The same, but some holders of records didn't reply.
    HoldersSilent,
    /// Only one version is known, but another one may have appeared since the list of targets was
    /// last known to be complete.
    ListOutdated,
    /// Records name different builds: the caller used its request id twice.
    Ambiguous,
}

impl UnknownOrigin {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            UnknownOrigin::NoRecord => "no_record",
            UnknownOrigin::HoldersSilent => "holders_silent",
            UnknownOrigin::ListOutdated => "list_outdated",
            UnknownOrigin::Ambiguous => "ambiguous",
        }
    }
}

/// What the entries know of one stream.
#[derive(Debug, Clone, Default)]
pub struct Findings {
    /// Record of the entry that resumes it.
    pub own: Option<Recorded>,
    /// Records of the peers that have one.
    pub peers: Vec<Recorded>,
    /// Versions that can have served it: the resuming entry's account, then those of the peers
    /// that replied.
    pub accounts: Vec<VersionAccount>,
    /// Number of holders that didn't reply.
    pub silent: usize,
    /// The resuming entry has known all targets for long enough, but not until now.
    pub is_list_outdated: bool,
}

/// Finds the build that began a stream. `service` is the only service of its route, if there is
/// one: without a record, the version alone doesn't tell the build.
pub fn find_origin(findings: &Findings, service: Option<&str>) -> Result<Origin, UnknownOrigin> {
    let own = findings.own.iter().map(|known| (known, KnownBy::OwnRecord));
    let peers = findings.peers.iter().map(|known| (known, KnownBy::Peer));
    let mut records = own.chain(peers);
    let Some((first, known_by)) = records.next() else {
        return only_version(findings, service);
    };
    match first {
        Recorded::Build(build) if records.all(|(other, _)| other == first) => Ok(Origin {
            build: build.clone(),
            known_by,
        }),
        _ => Err(UnknownOrigin::Ambiguous),
    }
}

/// The only version that can have served a stream of which nobody has a record.
fn only_version(findings: &Findings, service: Option<&str>) -> Result<Origin, UnknownOrigin> {
    let unknown = match findings.silent {
        0 => UnknownOrigin::NoRecord,
        _ => UnknownOrigin::HoldersSilent,
    };
    let unproven = match findings.is_list_outdated {
        true => UnknownOrigin::ListOutdated,
        false => unknown,
    };
    let is_complete = findings.accounts.iter().any(|account| account.is_complete);
    let mut versions = findings.accounts.iter().flat_map(|account| &account.served);
    let (Some(service), Some(version)) = (service, versions.next()) else {
        return Err(unknown);
    };
    match versions.all(|other| other == version) {
        true if !is_complete => Err(unproven),
        true => Ok(Origin {
            build: Build {
                service: service.to_string(),
                version: version.clone(),
            },
            known_by: KnownBy::OnlyVersion,
        }),
        false => Err(unknown),
    }
}
