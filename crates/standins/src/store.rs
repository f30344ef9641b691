//! A key-value store with compare-and-swap, time to live, long-polling watches,
//! call counters and injected faults.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::dev::ServerHandle;
use actix_web::{web, App, HttpResponse, HttpServer};
use bytes::Bytes;
use futures_util::stream;
use hollowsail_clients::{Expect, StoreReply, StoreRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;

use crate::faults::StoreFaults;

const MAX_BODY_BYTES: usize = 1_100_000;

struct Value {
    version: u64,
    bytes: Vec<u8>,
    expires_at: Option<Instant>,
}

struct Shared {
    values: Mutex<HashMap<String, Value>>,
    faults: Mutex<StoreFaults>,
    rng: Mutex<SmallRng>,
    changed: Notify,
    next_version: AtomicU64,
    reads: AtomicU64,
    writes: AtomicU64,
}

/// A running store.
pub struct StoreStandIn {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    handle: ServerHandle,
}

impl StoreStandIn {
    /// Starts a store on a free loopback port; `seed` decides which answers are
    /// lost.
    pub fn start(seed: u64) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            values: Mutex::default(),
            faults: Mutex::default(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            changed: Notify::new(),
            next_version: AtomicU64::new(1),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        });
        let data = web::Data::from(shared.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
                .route("/kv", web::post().to(handle))
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(1)
        .listen(listener)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(StoreStandIn {
            address,
            shared,
            handle,
        })
    }

    pub fn set_faults(&self, faults: StoreFaults) {
        *self.shared.faults.lock().expect("no panic") = faults;
        self.shared.changed.notify_waiters();
    }

    /// Numbers of calls so far as `(reads, writes)`; a watch is a read.
    pub fn calls(&self) -> (u64, u64) {
        let reads = self.shared.reads.load(Ordering::Relaxed);
        let writes = self.shared.writes.load(Ordering::Relaxed);
        (reads, writes)
    }

    /// Number of unexpired keys that start with `prefix`.
    pub fn count_keys(&self, prefix: &str) -> usize {
        let values = self.shared.values.lock().expect("no panic");
        let now = Instant::now();
        values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .filter(|(_, value)| value.expires_at.is_none_or(|expiry| expiry > now))
            .count()
    }

    /// Overwrites a key unconditionally, as a restore from an older copy would.
    pub fn overwrite(&self, key: &str, bytes: Vec<u8>) {
        let version = self.shared.next_version.fetch_add(1, Ordering::Relaxed);
        let value = Value {
            version,
            bytes,
            expires_at: None,
        };
        let mut values = self.shared.values.lock().expect("no panic");
        values.insert(key.to_string(), value);
        self.shared.changed.notify_waiters();
    }

    /// Current value of a key; expired values that were not yet removed are included.
    pub fn read(&self, key: &str) -> Option<Vec<u8>> {
        let values = self.shared.values.lock().expect("no panic");
        values.get(key).map(|value| value.bytes.clone())
    }

    pub async fn stop(self) {
        self.handle.stop(false).await;
    }
}

async fn handle(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Ok(request) = rmp_serde::from_slice::<StoreRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let faults = *shared.faults.lock().expect("no panic");
    if faults.down {
        return no_answer();
    }
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    let is_write = matches!(request, StoreRequest::Put { .. });
    let counter = if is_write {
        &shared.writes
    } else {
        &shared.reads
    };
    counter.fetch_add(1, Ordering::Relaxed);
    let reply = match request {
        StoreRequest::Get { key } => shared.get(&key),
        StoreRequest::Watch { key, seen, wait_ms } => shared.watch(&key, seen, wait_ms).await,
        StoreRequest::Put {
            key,
            value,
            expect,
            ttl_ms,
        } => shared.put(key, value, expect, ttl_ms, &faults),
    };
    let is_lost = is_write
        && shared
            .rng
            .lock()
            .expect("no panic")
            .random_bool(faults.lose_answers);
    if is_lost || shared.faults.lock().expect("no panic").down {
        return no_answer();
    }
    HttpResponse::Ok().body(rmp_serde::to_vec(&reply).expect("a reply always serializes"))
}

/// A response whose connection is cut before the body ends.
fn no_answer() -> HttpResponse {
    let cut = stream::iter([Err::<Bytes, _>(std::io::Error::other("lost"))]);
    HttpResponse::Ok().streaming(cut)
}

impl Shared {
    fn get(&self, key: &str) -> StoreReply {
        let mut values = self.values.lock().expect("no panic");
        remove_expired(&mut values, key);
        match values.get(key) {
            Some(value) => StoreReply::Value {
                version: value.version,
                value: value.bytes.clone(),
            },
            None => StoreReply::Absent,
        }
    }

    async fn watch(&self, key: &str, seen: u64, wait_ms: u64) -> StoreReply {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            let reply = self.get(key);
            let version = match &reply {
                StoreReply::Value { version, .. } => *version,
                _ => 0,
            };
            let remaining = end.saturating_duration_since(Instant::now());
            let down = self.faults.lock().expect("no panic").down;
            if version != seen || remaining.is_zero() || down {
                return reply;
            }
            let _ = tokio::time::timeout(remaining, changed).await;
        }
    }

    fn put(
        &self,
        key: String,
        bytes: Vec<u8>,
        expect: Expect,
        ttl_ms: Option<u64>,
        faults: &StoreFaults,
    ) -> StoreReply {
        let mut values = self.values.lock().expect("no panic");
        remove_expired(&mut values, &key);
        let current = values.get(&key);
        let matches_expectation = match expect {
            Expect::Anything => true,
            Expect::Absent => current.is_none(),
            Expect::Version(version) => current.is_some_and(|value| value.version == version),
        };
        if !matches_expectation {
            return match current {
                Some(value) => StoreReply::Conflict {
                    version: value.version,
                    value: value.bytes.clone(),
                },
                None => StoreReply::Absent,
            };
        }
        let version = self.next_version.fetch_add(1, Ordering::Relaxed);
        let share = faults.early_expiry.unwrap_or(1.0);
        let expires_at =
            ttl_ms.map(|ttl| Instant::now() + Duration::from_millis(ttl).mul_f64(share));
        values.insert(
            key,
            Value {
                version,
                bytes,
                expires_at,
            },
        );
        self.changed.notify_waiters();
        StoreReply::Written { version }
    }
}

fn remove_expired(values: &mut HashMap<String, Value>, key: &str) {
    let is_expired = values
        .get(key)
        .and_then(|value| value.expires_at)
        .is_some_and(|expiry| expiry <= Instant::now());
    if is_expired {
        values.remove(key);
    }
}
