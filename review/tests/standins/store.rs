//! The platform's metadata store: keys, revisions, watches and leases.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{base64, listen, read_request, serve, write_answer, Json, Message};

struct Item {
    /// Base64 text, as on the wire.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    revision: u64,
    /// The item as written; `None` for a deletion.
    json: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{},"created_at":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        let json = Some(item_json(key, &item));
        self.events.push(Event {
            key: key.to_string(),
            revision: self.revision,
            json,
        });
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push(Event {
                key: key.to_string(),
                revision: self.revision,
                json: None,
            });
        }
    }

    fn end_leases(&mut self, is_over: impl Fn(u64, Instant) -> bool) {
        let leases = self.leases.iter();
        let over: Vec<u64> = leases
            .filter(|(id, (until, _))| is_over(**id, *until))
            .map(|(id, _)| *id)
            .collect();
        for lease in over {
            self.leases.remove(&lease);
            let items = self.items.iter().filter(|(_, item)| item.lease == lease);
            let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, left)) = rest.split_first() {
        let hex = left.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match (first, hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &left[2..];
            }
            _ => {
                bytes.push(*first);
                rest = left;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl Store {
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store::default());
        let (listener, addr) = listen();
        let served = store.clone();
        serve(listener, move |stream| served.serve(stream));
        (store, addr)
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        self.state
            .lock()
            .unwrap()
            .put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reading = BufReader::new(reading);
        while let Some(req) = read_request(&mut reading) {
            let (status, body) = self.answer(&req);
            let headers = [("Content-Type", "application/json")];
            if write_answer(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (&'static str, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields
                .find(|(known, _)| *known == name)
                .map(|(_, value)| decode(value))
        };
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        state.end_leases(|_, until| until <= now);
        let id = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse::<u64>().ok())
            .unwrap_or(0);
        match (req.method(), path) {
            ("GET", "/-/kv-key") => {
                let key = field("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => {
                        let item = item_json(&key, item);
                        let item = item.trim_end_matches('}');
                        (
                            "200 OK",
                            format!(r#"{item},"timestamp":{}}}"#, state.revision),
                        )
                    }
                    None => (
                        "404 Not Found",
                        format!(r#"{{"timestamp":{}}}"#, state.revision),
                    ),
                }
            }
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (field("path_prefix").unwrap_or_default(), field("after"));
                let after = after.unwrap_or_default();
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                let (items, at) = (items.join(","), state.revision);
                (
                    "200 OK",
                    format!(r#"{{"items":[{items}],"has_more":false,"timestamp":{at}}}"#),
                )
            }
            ("GET", "/-/kv-watch") => {
                let prefix = field("path_prefix").unwrap_or_default();
                let number = |name| {
                    field(name)
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0u64)
                };
                let (after, until) = (
                    number("after"),
                    now + Duration::from_millis(number("wait_ms")),
                );
                loop {
                    let events = state.events.iter();
                    let events = events
                        .filter(|event| event.revision > after && event.key.starts_with(&prefix));
                    let events: Vec<String> = events
                        .map(|event| match &event.json {
                            Some(json) => json.clone(),
                            None => format!(
                                r#"{{"key":"{}","revision":{},"deleted":true}}"#,
                                event.key, event.revision
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let (events, at) = (events.join(","), state.revision);
                        return (
                            "200 OK",
                            format!(r#"{{"events":[{events}],"timestamp":{at}}}"#),
                        );
                    }
                    let wait = (until - now).min(Duration::from_millis(500));
                    state = self.changed.wait_timeout(state, wait).unwrap().0;
                    let now = Instant::now();
                    state.end_leases(|_, until| until <= now);
                }
            }
            ("POST", "/-/kv-txn") => {
                for row in body.list("expected_revision") {
                    let current = state.items.get(row.text("key"));
                    if current.map_or(0, |item| item.revision) != row.number("revision") {
                        let item = current.map(|item| item_json(row.text("key"), item));
                        let items = item.unwrap_or_default();
                        return (
                            "412 Precondition Failed",
                            format!(r#"{{"items":[{items}]}}"#),
                        );
                    }
                }
                let puts = body.list("puts");
                let is_known = |lease| lease == 0 || state.leases.contains_key(&lease);
                if !puts.iter().all(|row| is_known(row.number("lease"))) {
                    return ("404 Not Found", "{}".to_string());
                }
                for row in puts {
                    state.put(
                        row.text("key"),
                        row.text("value").to_string(),
                        row.number("lease"),
                    );
                }
                for key in body.list("remove") {
                    if let Json::Text(key) = key {
                        state.remove(key);
                    }
                }
                self.changed.notify_all();
                ("200 OK", format!(r#"{{"revision":{}}}"#, state.revision))
            }
            ("POST", "/-/kv-lease") => {
                let ttl_ms = body.number("ttl_ms").clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (now + ttl, ttl));
                (
                    "200 OK",
                    format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#),
                )
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => match state.leases.get_mut(&id) {
                Some((until, ttl)) => {
                    *until = now + *ttl;
                    ("200 OK", format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                }
                None => ("404 Not Found", "{}".to_string()),
            },
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                state.end_leases(|lease, _| lease == id);
                self.changed.notify_all();
                ("200 OK", "{}".to_string())
            }
            _ => ("404 Not Found", "{}".to_string()),
        }
    }
}
