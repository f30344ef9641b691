//! Finding newer configurations: from any peer that reports one, and from the
//! store where this entry is one of its hall's watchers.
//!
//! Calls to the store do not grow with the fleet: a fixed number of watchers a
//! hall, chosen alike by all entries, hold one waiting watch each; the others
//! hear of a new revision from peers. A process without any configuration asks
//! both. After a failure the next call waits a random, growing time, so that
//! nobody floods a store that has just come back.

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

/// Watchers of the store in each hall.
const WATCHERS_PER_HALL: usize = 2;
/// How long one watch waits in the store; shorter than the default time until
/// an entry counts as isolated.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// First pause after a failed call; doubles up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(250);
/// Longest pause between calls to a store that does not answer.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Between two looks at whether this entry should watch.
const WATCH_CHECK: Duration = Duration::from_millis(500);
/// Longest wait for a peer's chunks.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer with chunks, in bytes.
const MAX_CHUNKS_BYTES: usize = 8 * 1024 * 1024;

/// What is known of the store and of fetches under way.
pub struct SpreadState {
    store: Option<StoreClient>,
    /// When the store last answered.
    pub last_store: Option<u64>,
    seen_version: u64,
    watching: bool,
    fetching: bool,
    failures: u32,
    /// Revision that the store last showed, to notice one that went back.
    store_revision: u64,
}

impl SpreadState {
    pub fn new(store: Option<StoreClient>) -> Self {
        SpreadState {
            store,
            last_store: None,
            seen_version: 0,
            watching: false,
            fetching: false,
            failures: 0,
            store_revision: 0,
        }
    }

    /// The store's client, if the settings name a store.
    pub fn store(&self) -> Option<StoreClient> {
        self.store.clone()
    }
}

/// A peer's request for what it lacks.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// Hashes of the wanted chunks; empty asks for the head alone.
    pub hashes: Vec<ByteBuf>,
}

/// Head in force and the chunks asked for.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChunkReply {
    pub head: Head,
    pub chunks: Vec<ByteBuf>,
}

impl Control {
    pub(crate) fn start_spread(&mut self, cx: &mut Context<Self>) {
        if self.spread.store.is_none() {
            return;
        }
        self.watch_if_due(cx);
        cx.run_interval(WATCH_CHECK, |control, cx| control.watch_if_due(cx));
    }

    fn should_watch(&self) -> bool {
        self.configuration.is_none() || self.fleet.asks_for_all("store", WATCHERS_PER_HALL)
    }

    fn watch_if_due(&mut self, cx: &mut Context<Self>) {
        if self.spread.watching || !self.should_watch() {
            return;
        }
        let Some(store) = self.spread.store.clone() else {
            return;
        };
        self.spread.watching = true;
        let seen = self.spread.seen_version;
        let wait = self.watch_wait();
        let watch = async move { store.watch(HEAD_KEY, seen, wait).await };
        let done = watch
            .into_actor(self)
            .map(|result, control, cx| control.on_watch(result, cx));
        cx.spawn(done);
    }

    /// Without peers the store is the only contact: its answers must come well
    /// before this entry would count as isolated.
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
                self.store_answered();
                self.spread.watching = false;
                if let Some((version, bytes)) = found {
                    self.on_head(version, &bytes, cx);
                }
                self.watch_if_due(cx);
            }
            Err(err) => {
                self.store_failed(&err);
                let pause = self.pause();
                cx.run_later(pause, |control, cx| {
                    control.spread.watching = false;
                    control.watch_if_due(cx);
                });
            }
        }
    }

    fn store_answered(&mut self) {
        if self.spread.failures > 0 {
            self.entry.log(events::STORE_BACK, format_args!(""));
        }
        self.spread.failures = 0;
        self.spread.last_store = Some(self.now());
    }

    fn store_failed(&mut self, err: &StoreError) {
        if self.spread.failures == 0 {
            self.entry
                .log(events::STORE_LOST, format_args!("reason=\"{err}\""));
        }
        self.spread.failures += 1;
    }

    /// A random share of a pause that doubles with each failure.
    fn pause(&mut self) -> Duration {
        let doubled = MIN_PAUSE * 2u32.saturating_pow(self.spread.failures.min(8));
        doubled
            .min(MAX_PAUSE)
            .mul_f64(self.rng.random_range(0.5..1.0))
    }

    fn on_head(&mut self, version: u64, bytes: &[u8], cx: &mut Context<Self>) {
        self.spread.seen_version = version;
        let Ok(head) = rmp_serde::from_slice::<Head>(bytes) else {
            self.entry.log(
                events::CONFIGURATION_UNREADABLE,
                format_args!("version={version} reason=\"the head is not readable\""),
            );
            return;
        };
        let current = self.revision();
        if head.revision < current.max(self.spread.store_revision) {
            self.entry.log(
                events::STORE_WENT_BACK,
                format_args!("store={} in_force={current}", head.revision),
            );
            return;
        }
        self.spread.store_revision = head.revision;
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
        let Some(store) = self.spread.store.clone() else {
            return;
        };
        let known = self.known_chunks();
        let fetch = async move {
            let chunks = chunks_from_store(&store, &head, known).await?;
            build(head, chunks).await
        };
        let done = fetch.into_actor(self).map(|result, control, cx| {
            // Forget the version, so that a failed fetch is tried again.
            if result.is_err() {
                control.spread.seen_version = 0;
            }
            control.on_fetched(result, "store", cx);
        });
        cx.spawn(done);
    }

    /// Fetches from the peer that reports the highest revision, if it is
    /// newer than ours.
    pub(crate) fn look_for_newer(&mut self, cx: &mut Context<Self>) {
        let Some((revision, address)) = self.fleet.newest_revision() else {
            return;
        };
        if self.spread.fetching || revision <= self.revision() {
            return;
        }
        self.spread.fetching = true;
        let known = self.known_chunks();
        let client = self.client.clone();
        let token = peer_token(&self.entry.settings.fleet_key);
        let fetch = async move { fetch_from_peer(client, address, token, known).await };
        let done = fetch.into_actor(self).map(|result, control, cx| {
            control.spread.fetching = false;
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
                    self.spread_news(cx);
                }
            }
            Err(reason) => self.entry.log(
                events::CONFIGURATION_UNREADABLE,
                format_args!("source={source} reason=\"{reason}\""),
            ),
        }
    }
}

/// Parsing thousands of organisations takes a while: not on this thread.
async fn build(head: Head, chunks: Chunks) -> Result<Configuration, String> {
    actix_rt::task::spawn_blocking(move || {
        Configuration::build(head, chunks).map_err(|err| err.to_string())
    })
    .await
    .map_err(|err| err.to_string())?
}

/// Chunks of `head`: those known, and the others from the store.
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
        .ok_or_else(|| format!("chunk {} is not in the store", hex::encode(hash)))?;
    check_hash(hash, bytes)
}

fn check_hash(hash: &ChunkHash, bytes: Vec<u8>) -> Result<Vec<u8>, String> {
    if hash_chunk(&bytes) == *hash {
        Ok(bytes)
    } else {
        Err(format!("chunk {} has other content", hex::encode(hash)))
    }
}

async fn fetch_from_peer(
    client: Client,
    address: SocketAddr,
    token: String,
    known: Chunks,
) -> Result<Configuration, String> {
    let head = ask_peer(&client, address, &token, &[]).await?.head;
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
        let reply = ask_peer(&client, address, &token, &missing).await?;
        for (hash, bytes) in missing.iter().zip(reply.chunks) {
            let bytes = check_hash(hash, bytes.into_vec())?;
            chunks.insert(*hash, Arc::new(bytes));
        }
    }
    build(head, chunks).await
}

async fn ask_peer(
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
        return Err(format!("the peer answered with status {}", res.status()));
    }
    let body = res
        .body()
        .limit(MAX_CHUNKS_BYTES)
        .await
        .map_err(|err| err.to_string())?;
    rmp_serde::from_slice(&body).map_err(|err| err.to_string())
}
