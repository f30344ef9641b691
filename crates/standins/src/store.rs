//! The key-value service: compare-and-swap, time to live, waiting watches,
//! call counting, a rate limit, and its faults.

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

/// Largest body of one call.
const MAX_BODY: usize = 1_100_000;

struct Value {
    version: u64,
    bytes: Vec<u8>,
    lapses: Option<Instant>,
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
    /// Starts a store on loopback, port 0; `seed` decides which answers are
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
                .app_data(web::PayloadConfig::new(MAX_BODY))
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

    /// Replaces the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        *self.shared.faults.lock().expect("no panic") = faults;
        self.shared.changed.notify_waiters();
    }

    /// Calls so far: `(reads, writes)`; a watch is a read.
    pub fn calls(&self) -> (u64, u64) {
        let reads = self.shared.reads.load(Ordering::Relaxed);
        let writes = self.shared.writes.load(Ordering::Relaxed);
        (reads, writes)
    }

    /// Number of keys that begin with `prefix`.
    pub fn count_keys(&self, prefix: &str) -> usize {
        let values = self.shared.values.lock().expect("no panic");
        let now = Instant::now();
        values
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .filter(|(_, value)| value.lapses.is_none_or(|at| at > now))
            .count()
    }

    /// Overwrites a key from outside, as an operator's mishap would.
    pub fn overwrite(&self, key: &str, bytes: Vec<u8>) {
        let version = self.shared.next_version.fetch_add(1, Ordering::Relaxed);
        let value = Value {
            version,
            bytes,
            lapses: None,
        };
        let mut values = self.shared.values.lock().expect("no panic");
        values.insert(key.to_string(), value);
        self.shared.changed.notify_waiters();
    }

    /// Reads a key as it stands.
    pub fn read(&self, key: &str) -> Option<Vec<u8>> {
        let values = self.shared.values.lock().expect("no panic");
        values.get(key).map(|value| value.bytes.clone())
    }

    /// Stops listening.
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
    let lost = is_write
        && shared
            .rng
            .lock()
            .expect("no panic")
            .random_bool(faults.lose_answers);
    if lost || shared.faults.lock().expect("no panic").down {
        return no_answer();
    }
    HttpResponse::Ok().body(rmp_serde::to_vec(&reply).expect("a reply always serializes"))
}

/// Cuts the connection in the middle of an answer.
fn no_answer() -> HttpResponse {
    let cut = stream::iter([Err::<Bytes, _>(std::io::Error::other("lost"))]);
    HttpResponse::Ok().streaming(cut)
}

impl Shared {
    fn get(&self, key: &str) -> StoreReply {
        let mut values = self.values.lock().expect("no panic");
        drop_lapsed(&mut values, key);
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
            let left = end.saturating_duration_since(Instant::now());
            let down = self.faults.lock().expect("no panic").down;
            if version != seen || left.is_zero() || down {
                return reply;
            }
            let _ = tokio::time::timeout(left, changed).await;
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
        drop_lapsed(&mut values, &key);
        let current = values.get(&key);
        let fits = match expect {
            Expect::Anything => true,
            Expect::Absent => current.is_none(),
            Expect::Version(version) => current.is_some_and(|value| value.version == version),
        };
        if !fits {
            return match current {
                Some(value) => StoreReply::Conflict {
                    version: value.version,
                    value: value.bytes.clone(),
                },
                None => StoreReply::Absent,
            };
        }
        let version = self.next_version.fetch_add(1, Ordering::Relaxed);
        let share = faults.early_lapse.unwrap_or(1.0);
        let lapses = ttl_ms.map(|ttl| Instant::now() + Duration::from_millis(ttl).mul_f64(share));
        values.insert(
            key,
            Value {
                version,
                bytes,
                lapses,
            },
        );
        self.changed.notify_waiters();
        StoreReply::Written { version }
    }
}

fn drop_lapsed(values: &mut HashMap<String, Value>, key: &str) {
    let lapsed = values
        .get(key)
        .and_then(|value| value.lapses)
        .is_some_and(|at| at <= Instant::now());
    if lapsed {
        values.remove(key);
    }
}
