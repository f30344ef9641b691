//! Records of the builds that began streams, of this entry and copied from others.

use std::collections::{BTreeSet, HashMap};

use hollowsail_routing::RequestDigest;
use serde::{Deserialize, Serialize};

use crate::origin::Build;
use crate::Millis;

/// Maximum number of records; one takes about 120 bytes. The ones that expire first give way.
pub const MAX_RECORDS: usize = 32_768;

/// Identifies an attempt of a caller: its request id, and the digest of the request. A request of
/// another organisation, on another route or with another body has another key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(pub RequestDigest);

impl StreamKey {
    pub fn of(request: RequestDigest, request_id: &str) -> Self {
        StreamKey(RequestDigest::of([&request.0[..], request_id.as_bytes()]))
    }
}

/// What a record says of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Recorded {
    Build(Build),
    /// Different builds were recorded for the same request id.
    Ambiguous,
}

/// Index of a build that records refer to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct BuildKey(usize);

#[derive(Debug, Clone, Copy)]
struct Record {
    /// `None` if different builds were recorded.
    build: Option<BuildKey>,
    expires: Millis,
    /// This entry began the stream and hasn't copied the record to other entries.
    needs_copies: bool,
}

/// Bounded table of records.
#[derive(Debug, Default)]
pub struct OriginTable {
    builds: Vec<Build>,
    records: HashMap<StreamKey, Record>,
    by_expiry: BTreeSet<(Millis, StreamKey)>,
}

impl OriginTable {
    /// Records the build of a stream until `expires`. A later record of the same build prolongs it.
    pub fn record(&mut self, now: Millis, key: StreamKey, build: &Build, expires: Millis) {
        self.expire(now);
        let build = self.intern(build);
        let known = self.records.get(&key).copied();
        let record = Record {
            build: known.map_or(Some(build), |known| {
                known.build.filter(|known| *known == build)
            }),
            expires: known.map_or(expires, |known| known.expires.max(expires)),
            needs_copies: known.is_some_and(|known| known.needs_copies),
        };
        if let Some(known) = known {
            self.by_expiry.remove(&(known.expires, key));
        } else if self.records.len() >= MAX_RECORDS {
            self.remove_first();
        }
        self.by_expiry.insert((record.expires, key));
        self.records.insert(key, record);
    }

    /// Marks a record as not copied to other entries.
    pub fn set_needs_copies(&mut self, key: StreamKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.needs_copies = true;
        }
    }

    /// Takes the records that haven't been copied, of the services for which `is_due`, each with
    /// its remaining time.
    pub fn take_uncopied(
        &mut self,
        now: Millis,
        is_due: impl Fn(&str) -> bool,
    ) -> Vec<(StreamKey, Build, Millis)> {
        self.expire(now);
        let builds = &self.builds;
        let uncopied = self.records.iter_mut().filter(|(_, record)| {
            let build = record.build.map(|build| &builds[build.0]);
            record.needs_copies && build.is_some_and(|build| is_due(&build.service))
        });
        let taken = uncopied.filter_map(|(key, record)| {
            record.needs_copies = false;
            let build = builds[record.build?.0].clone();
            Some((*key, build, record.expires.saturating_sub(now)))
        });
        taken.collect()
    }

    /// What is recorded of a stream.
    pub fn get(&self, now: Millis, key: StreamKey) -> Option<Recorded> {
        let record = self.records.get(&key)?;
        let build = record.build.map(|build| self.builds[build.0].clone());
        (now < record.expires).then(|| build.map_or(Recorded::Ambiguous, Recorded::Build))
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn intern(&mut self, build: &Build) -> BuildKey {
        let known = self.builds.iter().position(|known| known == build);
        BuildKey(known.unwrap_or_else(|| {
            self.builds.push(build.clone());
            self.builds.len() - 1
        }))
    }

    fn expire(&mut self, now: Millis) {
        while self
            .by_expiry
            .first()
            .is_some_and(|(expires, _)| *expires <= now)
        {
            self.remove_first();
        }
        if self.records.is_empty() {
            self.builds.clear();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.records.remove(&key);
        }
    }
}
