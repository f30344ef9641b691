//! This entry's part in keeping the builds that began streams.
//!
//! [`StreamOrigins`] holds the records of this entry and the copies of others, and exchanges them
//! with peers. [`hollowsail_streams`] makes the decisions.

mod messages;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hollowsail_connect::{ByteCounts, Dialer};
use hollowsail_streams::{
    holders, Build, Findings, ListedVersion, Millis, OriginTable, StreamKey, VersionAccount,
    VersionHistory, RETENTION_MS,
};
use tokio::sync::Notify;

use crate::batched_calls::BatchedCalls;

use messages::OriginCalls;
pub use messages::{OriginCall, OriginMessage, OriginReply, STREAMS_PATH};

/// A run of a peer that holds copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    pub run: u64,
    pub addr: SocketAddr,
}

/// A record that an entry writes for a stream that it relays.
#[derive(Debug, Clone)]
pub struct NewRecord {
    pub key: StreamKey,
    pub build: Build,
    /// How long it is kept, in milliseconds.
    pub keep_ms: Millis,
}

/// A stream whose origin is asked for.
#[derive(Debug, Clone)]
pub struct Query {
    pub key: StreamKey,
    pub service: String,
}

/// Records of streams, and what is known of the versions of services.
pub struct StreamOrigins {
    /// This run.
    me: u64,
    table: RefCell<OriginTable>,
    history: RefCell<VersionHistory>,
    /// The versions listed last.
    listed: RefCell<Listed>,
    calls: RefCell<HashMap<u64, Rc<OriginCalls>>>,
    /// Counts the bytes of the calls.
    bytes: Arc<ByteCounts>,
    /// Notified when the listed versions change.
    pub versions_changed: Notify,
}

/// Versions as they were listed.
#[derive(Default)]
struct Listed {
    versions: Vec<ListedVersion>,
    is_complete: bool,
    lists_read: u64,
}

impl StreamOrigins {
    pub fn new(me: u64, bytes: Arc<ByteCounts>) -> Self {
        StreamOrigins {
            me,
            table: RefCell::default(),
            history: RefCell::default(),
            listed: RefCell::default(),
            calls: RefCell::default(),
            bytes,
            versions_changed: Notify::new(),
        }
    }

    /// Takes the versions that are listed now; see [`VersionHistory::update`]. `lists_read` is the
    /// number of lists that were read so far.
    pub fn update_versions(
        &self,
        now: Millis,
        versions: &[ListedVersion],
        is_complete: bool,
        lists_read: u64,
    ) {
        let mut listed = self.listed.borrow_mut();
        let mut history = self.history.borrow_mut();
        if listed.lists_read != lists_read {
            listed.lists_read = lists_read;
            history.record_gap(now);
        }
        if listed.versions == versions && listed.is_complete == is_complete {
            return;
        }
        listed.versions = versions.to_vec();
        listed.is_complete = is_complete;
        history.update(now, versions, is_complete);
        self.versions_changed.notify_one();
    }

    /// Closes the connections to runs that aren't live any more.
    pub fn retain_peers(&self, is_live: impl Fn(u64) -> bool) {
        self.calls.borrow_mut().retain(|run, _| is_live(*run));
    }

    /// Read access to what is known of the versions of services.
    pub fn with_history<T>(&self, read: impl FnOnce(&VersionHistory) -> T) -> T {
        read(&self.history.borrow())
    }

    /// Records the build of a stream that this entry relays. The record needs copies later if
    /// `needs_copies`.
    pub fn record(&self, now: Millis, record: &NewRecord, needs_copies: bool) {
        let mut table = self.table.borrow_mut();
        let expires = now + record.keep_ms;
        table.record(now, record.key, &record.build, expires);
        if needs_copies {
            table.set_needs_copies(record.key);
        }
    }

    /// Copies a record to the first of `holders` that support it. Returns once one of them has it,
    /// or none replied in time; the others get it all the same.
    pub async fn copy(&self, record: NewRecord, holders: &[Holder]) -> bool {
        let calls = holders.iter().map(|holder| self.calls_to(holder));
        let supporting = calls.filter(|calls| !calls.is_unsupported());
        let chosen: Vec<Rc<OriginCalls>> = supporting.take(holders::COPIES).collect();
        let (first, copied) = tokio::sync::oneshot::channel();
        actix_rt::spawn(async move {
            let message = || OriginMessage::Record {
                key: record.key,
                build: record.build.clone(),
                keep_ms: record.keep_ms,
            };
            let requests = chosen.iter().map(|calls| calls.request(message()));
            let mut replies: FuturesUnordered<_> = requests.collect();
            let mut first = Some(first);
            while let Some(reply) = replies.next().await {
                if let Some(first) = first.take_if(|_| reply.is_ok()) {
                    // The stream may have ended.
                    let _sent = first.send(());
                }
            }
        });
        copied.await.is_ok()
    }

    /// Takes the records that are due to be copied, because another version of their service has
    /// appeared, or may have.
    pub fn take_uncopied(&self, now: Millis) -> Vec<NewRecord> {
        let history = self.history.borrow();
        let is_due = |service: &str| !history.is_only_version(now, service);
        let uncopied = self.table.borrow_mut().take_uncopied(now, is_due);
        let records = uncopied.into_iter().map(|(key, build, keep_ms)| NewRecord {
            key,
            build,
            keep_ms,
        });
        records.collect()
    }

    /// True if the record of a stream isn't here, and what this entry knows of its service's versions
    /// counts if its list is complete now.
    pub fn needs_proof(&self, now: Millis, query: &Query) -> bool {
        let is_known = self.table.borrow().get(now, query.key).is_some();
        !is_known && self.with_history(|history| history.account(now, &query.service).is_complete)
    }

    /// Collects what this entry and `holders` know of a stream. Doesn't ask them if this entry has
    /// its record. `is_current` is true if this entry's list of targets is known to be complete now.
    pub async fn find(
        &self,
        now: Millis,
        query: &Query,
        holders: &[Holder],
        is_current: bool,
    ) -> Findings {
        let own = self.table.borrow().get(now, query.key);
        let mut findings = Findings {
            accounts: vec![self.account(now, &query.service, is_current)],
            own,
            ..Findings::default()
        };
        if findings.own.is_some() {
            return findings;
        }
        let calls: Vec<Rc<OriginCalls>> = holders.iter().map(|h| self.calls_to(h)).collect();
        let requests = calls.iter().map(|calls| {
            calls.request(OriginMessage::Find {
                key: query.key,
                service: query.service.clone(),
                complete_ms: RETENTION_MS,
            })
        });
        for reply in join_all(requests).await {
            match reply {
                Ok(OriginReply::Found { record, account }) => {
                    findings.peers.extend(record);
                    findings.accounts.push(account);
                }
                Ok(OriginReply::Recorded) | Err(_) => findings.silent += 1,
            }
        }
        findings
    }

    fn account(&self, now: Millis, service: &str, is_current: bool) -> VersionAccount {
        let account = self.with_history(|history| history.account(now, service));
        VersionAccount {
            is_complete: account.is_complete && is_current,
            ..account
        }
    }

    /// True if the reply to a peer depends on whether the list of targets is complete now.
    pub fn call_needs_proof(&self, now: Millis, call: &OriginCall) -> bool {
        let mut queries = call.requests.iter().filter_map(|message| match message {
            OriginMessage::Find { key, service, .. } => Some(Query {
                key: *key,
                service: service.clone(),
            }),
            OriginMessage::Record { .. } => None,
        });
        queries.any(|query| self.needs_proof(now, &query))
    }

    /// Handles the messages of a peer; see [`Self::find`] for `is_current`.
    pub fn handle_call(&self, now: Millis, call: OriginCall, is_current: bool) -> Vec<OriginReply> {
        let handle = |message| match message {
            OriginMessage::Record {
                key,
                build,
                keep_ms,
            } => {
                let expires = now.saturating_add(keep_ms);
                self.table.borrow_mut().record(now, key, &build, expires);
                OriginReply::Recorded
            }
            OriginMessage::Find {
                key,
                service,
                // An older build may ask for less.
                complete_ms: _,
            } => OriginReply::Found {
                record: self.table.borrow().get(now, key),
                account: self.account(now, &service, is_current),
            },
        };
        call.requests.into_iter().map(handle).collect()
    }

    fn calls_to(&self, holder: &Holder) -> Rc<OriginCalls> {
        let mut calls = self.calls.borrow_mut();
        let dialer = || Dialer::counted(holder.addr, self.bytes.clone());
        let new = || BatchedCalls::new(self.me, dialer(), holder.addr, STREAMS_PATH);
        calls.entry(holder.run).or_insert_with(new).clone()
    }
}
