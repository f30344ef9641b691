//! Fetches newer configurations, from the store and from peers.
//!
//! A fixed number of entries in each hall watch the store, so that its load
//! doesn't grow with the fleet; the others learn of a new revision from peers.
//! An entry without any configuration uses both. Failed store calls are retried
//! with randomised exponential backoff.

use hollowsail_observe::text::Quoted;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{ActorFutureExt, AsyncContext, Context, WrapFuture};
use awc::Client;
use hollowsail_clients::{StoreClient, StoreError};
use hollowsail_config::chunk::{hash_chunk, ChunkHash, Head};
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

use crate::auth::{peer_token, PEER_HEADER};
use crate::configuration::{chunk_key, Chunks, Configuration, HEAD_KEY};
use crate::control::Control;
use crate::events;

/// Entries in each hall that watch the store.
const WATCHERS_PER_HALL: usize = 2;
/// How long the store holds a watch open; below the default `isolation_ms`.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Backoff after the first failed store call; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff of store calls.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Interval between two checks whether this entry should watch the store.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a request for chunks from a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of a reply with chunks, in bytes.
const MAX_CHUNKS_BYTES: usize = 8 * 1024 * 1024;

/// State of the store connection and of the fetches in progress.
pub struct ConfigSync {
    store: Option<StoreClient>,
    /// When the store last answered, in milliseconds of the entry's clock.
    pub last_store_answer: Option<u64>,
    /// Store version of the head last received; a watch waits for a newer one.
    head_version: u64,
    is_watching: bool,
    is_fetching: bool,
    failures: u32,
    /// Revision of the head last received, to detect a store that was restored
    /// from an older copy.
    store_revision: u64,
}

impl ConfigSync {
    pub fn new(store: Option<StoreClient>) -> Self {
        ConfigSync {
            store,
            last_store_answer: None,
            head_version: 0,
            is_watching: false,
            is_fetching: false,
            failures: 0,
            store_revision: 0,
        }
    }

    /// The store's client, if the settings name a store.
    pub fn store(&self) -> Option<StoreClient> {
        self.store.clone()
    }
}

/// Request of a peer for the configuration in force.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// Hashes of the chunks that the peer lacks; if empty, only the head is returned.
    pub hashes: Vec<ByteBuf>,
}

/// The head in force and the requested chunks, in the order of the request.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChunkReply {
    pub head: Head,
    pub chunks: Vec<ByteBuf>,
}

impl Control {
    pub(crate) fn start_config_sync(&mut self, cx: &mut Context<Self>) {
        if self.config_sync.store.is_none() {
            return;
        }
        self.watch_if_due(cx);
        cx.run_interval(WATCH_CHECK_INTERVAL, |control, cx| control.watch_if_due(cx));
    }

    fn should_watch(&self) -> bool {
        self.configuration.is_none() || self.fleet.is_delegate("store", WATCHERS_PER_HALL)
    }

    fn watch_if_due(&mut self, cx: &mut Context<Self>) {
        if self.config_sync.is_watching || !self.should_watch() {
            return;
        }
        let Some(store) = self.config_sync.store.clone() else {
            return;
        };
        self.config_sync.is_watching = true;
        let seen = self.config_sync.head_version;
        let wait = self.watch_wait();
        let watch = async move { store.watch(HEAD_KEY, seen, wait).await };
        let done = watch
            .into_actor(self)
            .map(|result, control, cx| control.on_watch(result, cx));
        cx.spawn(done);
    }

    /// Without peers the store is the only contact: it has to answer well before
    /// `isolation_ms` has passed.
    fn watch_wait(&self) -> Duration {
        let has_peers = self.fleet.present_peers().next().is_some();
        let isolation = Duration::from_millis(self.entry.settings.limits.isolation_ms);
        match has_peers {
            true => WATCH_WAIT,
            false => WATCH_WAIT.min(isolation / 3),
        }
    }

    fn on_watch(
        &mut self,
        result: Result<Option<(u64, Vec<u8>)>, StoreError>,
        cx: &mut Context<Self>,
    ) {
        match result {
            Ok(found) => {
                self.on_store_answer();
                self.config_sync.is_watching = false;
                if let Some((version, bytes)) = found {
                    self.on_head(version, &bytes, cx);
                }
                self.watch_if_due(cx);
            }
            Err(err) => {
                self.on_store_failure(&err);
                let backoff = self.next_backoff();
                cx.run_later(backoff, |control, cx| {
                    control.config_sync.is_watching = false;
                    control.watch_if_due(cx);
                });
            }
        }
    }

    fn on_store_answer(&mut self) {
        if self.config_sync.failures > 0 {
            self.entry.log(events::STORE_BACK, format_args!(""));
        }
        self.config_sync.failures = 0;
        self.config_sync.last_store_answer = Some(self.now());
    }

    fn on_store_failure(&mut self, err: &StoreError) {
        if self.config_sync.failures == 0 {
            self.entry
                .log(events::STORE_LOST, format_args!("reason={}", Quoted(&err)));
        }
        self.config_sync.failures += 1;
    }

    /// Exponential backoff with jitter, from the number of consecutive failures.
    fn next_backoff(&mut self) -> Duration {
        let doubled = MIN_BACKOFF * 2u32.saturating_pow(self.config_sync.failures.min(8));
        doubled
            .min(MAX_BACKOFF)
            .mul_f64(self.rng.random_range(0.5..1.0))
    }

    fn on_head(&mut self, version: u64, bytes: &[u8], cx: &mut Context<Self>) {
        self.config_sync.head_version = version;
        let Ok(head) = rmp_serde::from_slice::<Head>(bytes) else {
            self.entry.log(
                events::CONFIGURATION_UNREADABLE,
                format_args!("version={version} reason=\"malformed configuration head\""),
            );
            return;
        };
        let current = self.revision();
        if head.revision < current.max(self.config_sync.store_revision) {
            self.entry.log(
                events::STORE_WENT_BACK,
                format_args!("store={} in_force={current}", head.revision),
            );
            return;
        }
        self.config_sync.store_revision = head.revision;
        if head.revision > current {
            self.fetch_from_store(head, cx);
        }
    }

    fn revision(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |c| c.revision())
    }

    fn known_chunks(&self) -> Chunks {
        self.configuration
            .as_ref()
            .map(|configuration| configuration.chunks.clone())
            .unwrap_or_default()
    }

    fn fetch_from_store(&mut self, head: Head, cx: &mut Context<Self>) {
        let Some(store) = self.config_sync.store.clone() else {
            return;
        };
        let known = self.known_chunks();
        let fetch = async move {
            let chunks = chunks_from_store(&store, &head, known).await?;
            build(head, chunks).await
        };
        let done = fetch.into_actor(self).map(|result, control, cx| {
            // Reset the version so that the next watch returns the head again.
            if result.is_err() {
                control.config_sync.head_version = 0;
            }
            control.on_fetched(result, "store", cx);
        });
        cx.spawn(done);
    }

    /// Fetches the configuration of the peer that reports the highest revision,
    /// if that is newer than the one in force.
    pub(crate) fn fetch_newer_from_peer(&mut self, cx: &mut Context<Self>) {
        let Some((revision, address)) = self.fleet.newest_revision() else {
            return;
        };
        if self.config_sync.is_fetching || revision <= self.revision() {
            return;
        }
        self.config_sync.is_fetching = true;
        let known = self.known_chunks();
        let client = self.client.clone();
        let token = peer_token(&self.entry.settings.fleet_key);
        let fetch = async move { fetch_from_peer(client, address, token, known).await };
        let done = fetch.into_actor(self).map(|result, control, cx| {
            control.config_sync.is_fetching = false;
            control.on_fetched(result, "peer", cx);
        });
        cx.spawn(done);
    }

    fn on_fetched(
        &mut self,
        result: Result<Configuration, String>,
        source: &str,
        cx: &mut Context<Self>,
    ) {
        match result {
            Ok(configuration) => {
                if self.adopt(Arc::new(configuration), source) {
                    self.broadcast_update(cx);
                }
            }
            Err(reason) => self.entry.log(
                events::CONFIGURATION_UNREADABLE,
                format_args!("source={source} reason={}", Quoted(&reason)),
            ),
        }
    }
}

/// Parses and checks on a blocking thread, as it may take long.
async fn build(head: Head, chunks: Chunks) -> Result<Configuration, String> {
    actix_rt::task::spawn_blocking(move || {
        Configuration::build(head, chunks).map_err(|err| err.to_string())
    })
    .await
    .map_err(|err| err.to_string())?
}

/// Returns the chunks of `head`, reading those not in `known` from the store.
pub async fn chunks_from_store(
    store: &StoreClient,
    head: &Head,
    known: Chunks,
) -> Result<Chunks, String> {
    let mut chunks = Chunks::new();
    for hash in head.chunk_hashes() {
        if chunks.contains_key(hash) {
            continue;
        }
        let bytes = match known.get(hash) {
            Some(bytes) => bytes.clone(),
            None => Arc::new(chunk_from_store(store, hash).await?),
        };
        chunks.insert(*hash, bytes);
    }
    Ok(chunks)
}

async fn chunk_from_store(store: &StoreClient, hash: &ChunkHash) -> Result<Vec<u8>, String> {
    let found = store.get(&chunk_key(hash)).await;
    let (_, bytes) = found
        .map_err(|err| err.to_string())?
        .ok_or_else(|| format!("chunk {} is missing from the store", hex::encode(hash)))?;
    check_hash(hash, bytes)
}

fn check_hash(hash: &ChunkHash, bytes: Vec<u8>) -> Result<Vec<u8>, String> {
    if hash_chunk(&bytes) == *hash {
        Ok(bytes)
    } else {
        Err(format!(
            "content of chunk {} doesn't match its hash",
            hex::encode(hash)
        ))
    }
}

async fn fetch_from_peer(
    client: Client,
    address: SocketAddr,
    token: String,
    known: Chunks,
) -> Result<Configuration, String> {
    let head = request_chunks(&client, address, &token, &[]).await?.head;
    let missing: Vec<ChunkHash> = head
        .chunk_hashes()
        .filter(|hash| !known.contains_key(*hash))
        .copied()
        .collect();
    let mut chunks: Chunks = head
        .chunk_hashes()
        .filter_map(|hash| Some((*hash, known.get(hash)?.clone())))
        .collect();
    if !missing.is_empty() {
        let reply = request_chunks(&client, address, &token, &missing).await?;
        for (hash, bytes) in missing.iter().zip(reply.chunks) {
            let bytes = check_hash(hash, bytes.into_vec())?;
            chunks.insert(*hash, Arc::new(bytes));
        }
    }
    build(head, chunks).await
}

async fn request_chunks(
    client: &Client,
    address: SocketAddr,
    token: &str,
    hashes: &[ChunkHash],
) -> Result<ChunkReply, String> {
    let request = ChunkRequest {
        hashes: hashes.iter().map(|hash| ByteBuf::from(*hash)).collect(),
    };
    let body = rmp_serde::to_vec(&request).map_err(|err| err.to_string())?;
    let mut res = client
        .post(format!("http://{address}/peer/configuration"))
        .timeout(PEER_TIMEOUT)
        .insert_header((PEER_HEADER, token))
        .send_body(body)
        .await
        .map_err(|err| err.to_string())?;
    if !res.status().is_success() {
        return Err(format!(
            "peer {address} answered with status {}",
            res.status()
        ));
    }
    let body = res
        .body()
        .limit(MAX_CHUNKS_BYTES)
        .await
        .map_err(|err| err.to_string())?;
    rmp_serde::from_slice(&body).map_err(|err| err.to_string())
}
