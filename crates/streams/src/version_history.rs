//! Which versions of each service may have served requests in the last seconds.
//!
//! An entry that has known the complete list of targets for as long as callers may come back
//! ([`RETENTION_MS`]) can tell that a stream was begun by the only version there was. One that has
//! just started, or that doesn't follow the store, can't.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::Millis;

/// How long a version that is no longer listed may have begun a stream that is still resumed, in
/// milliseconds: as long as records are kept at most. Doesn't depend on the configuration, which may
/// have been another one when the stream began.
pub const RETENTION_MS: Millis = 120_000;

/// A version of a service that has targets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListedVersion {
    pub service: String,
    pub version: String,
    /// It has targets that aren't draining.
    pub is_ready: bool,
}

/// What one entry knows of the versions that served within a time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAccount {
    /// Versions that may have served requests.
    pub served: Vec<String>,
    /// No other version can have served: the entry has known all targets for [`RETENTION_MS`], up to
    /// the moment at which it was asked.
    pub is_complete: bool,
}

#[derive(Debug, Clone, Copy)]
struct Sighting {
    /// When it was last listed; `None` while it is.
    last_listed: Option<Millis>,
    /// When it last had targets that weren't draining; `None` while it has.
    last_ready: Option<Millis>,
}

/// The versions of all services, with the times at which they were listed.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Since when all targets are known without a gap; `None` while they aren't.
    complete_since: Option<Millis>,
    services: HashMap<String, BTreeMap<String, Sighting>>,
}

impl VersionHistory {
    /// Takes the versions listed now. `is_complete` is false while the list may lack targets.
    pub fn update(&mut self, now: Millis, listed: &[ListedVersion], is_complete: bool) {
        self.complete_since = match is_complete {
            true => Some(self.complete_since.unwrap_or(now)),
            false => None,
        };
        for versions in self.services.values_mut() {
            for sighting in versions.values_mut() {
                sighting.last_listed.get_or_insert(now);
                sighting.last_ready.get_or_insert(now);
            }
        }
        for version in listed {
            let versions = self.services.entry(version.service.clone()).or_default();
            let sighting = versions.entry(version.version.clone()).or_insert(Sighting {
                last_listed: None,
                last_ready: Some(0),
            });
            sighting.last_listed = None;
            if version.is_ready {
                sighting.last_ready = None;
            }
        }
        self.services.retain(|_, versions| {
            versions.retain(|_, sighting| is_within(sighting.last_listed, now, RETENTION_MS));
            !versions.is_empty()
        });
    }

    /// Records that changes of the list may have been missed until now.
    pub fn record_gap(&mut self, now: Millis) {
        self.complete_since = self.complete_since.map(|_| now);
    }

    /// The versions that may have begun a stream of a service that is resumed now, by the list known
    /// so far.
    pub fn account(&self, now: Millis, service: &str) -> VersionAccount {
        let listed = self.recently_listed(now, service);
        VersionAccount {
            // One that this entry holds back as new may be in use at others already.
            served: listed.map(|(version, _)| version.clone()).collect(),
            is_complete: self.is_complete(now),
        }
    }

    /// True if only one version of a service was listed, held ones included, by a complete account:
    /// whichever entry resumes one of its streams can tell its version without a record.
    pub fn is_only_version(&self, now: Millis, service: &str) -> bool {
        let mut listed = self.recently_listed(now, service);
        self.is_complete(now) && listed.next().is_some() && listed.next().is_none()
    }

    fn recently_listed<'a>(
        &'a self,
        now: Millis,
        service: &str,
    ) -> impl Iterator<Item = (&'a String, &'a Sighting)> + use<'a> {
        let versions = self.services.get(service).into_iter().flatten();
        versions.filter(move |(_, sighting)| is_within(sighting.last_listed, now, RETENTION_MS))
    }

    /// True if a version without usable targets may have some again soon: it has targets that aren't
    /// draining, or its last ones vanished without draining in the last `within_ms`.
    pub fn may_return(&self, now: Millis, service: &str, version: &str, within_ms: Millis) -> bool {
        let versions = self.services.get(service);
        let sighting = versions.and_then(|versions| versions.get(version));
        sighting.is_some_and(|sighting| {
            sighting.last_ready == sighting.last_listed
                && is_within(sighting.last_ready, now, within_ms)
        })
    }

    fn is_complete(&self, now: Millis) -> bool {
        let since = self.complete_since;
        since.is_some_and(|since| now.saturating_sub(since) >= RETENTION_MS)
    }
}

/// True if something that was last so at `last`, or still is, was so in the last `within_ms`.
fn is_within(last: Option<Millis>, now: Millis, within_ms: Millis) -> bool {
    last.is_none_or(|last| now.saturating_sub(last) < within_ms)
}
