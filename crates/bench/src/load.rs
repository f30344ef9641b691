//! Callers: sends each arrival as a request when it is due, and records the outcome.
//!
//! Entries are used in turn, as behind a load balancer; a caller goes on to the next entry only
//! if nothing was sent. Latency is measured from the time at which a request was due.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_rt::Arbiter;
use futures_util::future::join_all;
use hollowsail_config::Deployment;
use hollowsail_entry::{AnswerBody, ErrorKind};
use hollowsail_local::caller::Request;
use hollowsail_local::{Caller, CallerError, Once};
use hollowsail_routing::Outcome;
use serde_json::{json, Value};
use tokio::sync::oneshot;

use crate::arrivals::Arrival;

/// Tickets fetched from an entry at a time.
const TICKET_BATCH_SIZE: usize = 20;

/// Outcome of a request, or of one of its two sends.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub arrival: Arrival,
    pub input: Value,
    /// From the time it was due.
    pub latency: Duration,
    /// `None` if no entry could be reached or the connection broke.
    pub answer: Option<AnswerBody>,
    /// True for the second send of a duplicate.
    pub second: bool,
}

impl CallRecord {
    /// True if answered whole within the deadline.
    pub fn attained(&self, deadline: Duration) -> bool {
        self.latency <= deadline
            && self
                .answer
                .as_ref()
                .is_some_and(|answer| answer.outcome == Outcome::Whole)
    }

    pub fn kind(&self) -> Option<ErrorKind> {
        self.answer.as_ref().and_then(|answer| answer.kind)
    }
}

/// Tickets fetched ahead, by issuing entry and organisation.
type TicketPool = HashMap<(SocketAddr, String), Vec<String>>;

/// Maximum number of entries tried for a ticket; then the request is sent without one.
const TICKET_TRIES: usize = 3;
/// Threads that callers run on, enough for bursts.
const THREADS: usize = 4;

/// Handle to the state shared by all callers of a run.
#[derive(Clone)]
pub struct Callers(Arc<Shared>);

struct Shared {
    deployment: Deployment,
    /// Entries that the load balancer sends to.
    entries: Mutex<Vec<SocketAddr>>,
    tickets: Mutex<TicketPool>,
    next: AtomicUsize,
    records: Mutex<Vec<CallRecord>>,
}

impl Callers {
    pub fn new(deployment: Deployment, entries: Vec<SocketAddr>) -> Self {
        Callers(Arc::new(Shared {
            deployment,
            entries: Mutex::new(entries),
            tickets: Mutex::default(),
            next: AtomicUsize::new(0),
            records: Mutex::default(),
        }))
    }

    /// Records of all completed requests.
    pub fn records(&self) -> Vec<CallRecord> {
        lock(&self.0.records).clone()
    }

    /// Sends each arrival when it is due, and waits for all answers.
    pub async fn send_all(&self, arrivals: Vec<Arrival>, start: Instant) {
        let mut parts: Vec<Vec<Arrival>> = vec![Vec::new(); THREADS];
        for (index, arrival) in arrivals.into_iter().enumerate() {
            parts[index % THREADS].push(arrival);
        }
        let parts = parts.into_iter().map(|part| {
            let callers = self.clone();
            on_thread(move || {
                let callers = callers.on_this_thread();
                async move { callers.send_part(part, start).await }
            })
        });
        join_all(parts).await;
    }

    /// Creates callers bound to the current thread.
    pub fn on_this_thread(&self) -> ThreadCallers {
        ThreadCallers {
            caller: Caller::default(),
            shared: self.0.clone(),
        }
    }

    /// Adds an entry to the load balancer.
    pub fn add_entry(&self, entry: SocketAddr) {
        lock(&self.0.entries).push(entry);
    }

    /// Removes an entry from the load balancer and discards its tickets.
    pub fn drop_entry(&self, entry: SocketAddr) {
        lock(&self.0.entries).retain(|known| *known != entry);
        lock(&self.0.tickets).retain(|(issuer, _), _| *issuer != entry);
    }
}

/// Creates a future on a new thread and runs it there to completion.
pub async fn on_thread<F, W>(make: F)
where
    F: FnOnce() -> W + Send + 'static,
    W: Future<Output = ()> + 'static,
{
    let arbiter = Arbiter::new();
    let (tx, rx) = oneshot::channel();
    arbiter.spawn_fn(move || {
        let work = make();
        actix_rt::spawn(async move {
            work.await;
            let _ = tx.send(());
        });
    });
    let _ = rx.await;
    arbiter.stop();
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().expect("no panic while held")
}

/// The callers of one thread.
#[derive(Clone)]
pub struct ThreadCallers {
    caller: Caller,
    shared: Arc<Shared>,
}

impl ThreadCallers {
    async fn send_part(&self, arrivals: Vec<Arrival>, start: Instant) {
        let mut running = Vec::with_capacity(arrivals.len());
        for arrival in arrivals {
            let due = start + arrival.at;
            tokio::time::sleep_until(due.into()).await;
            let callers = self.clone();
            running.push(actix_rt::spawn(async move {
                callers.send(arrival, due).await;
            }));
        }
        join_all(running).await;
    }

    /// Sends a request, twice for a duplicate, and records the outcome.
    pub async fn send(&self, arrival: Arrival, due: Instant) {
        let runs_once = self
            .shared
            .deployment
            .pipeline(arrival.pipeline)
            .runs_once();
        let ticket = match runs_once {
            true => self.ticket(&arrival.org).await,
            false => None,
        };
        let first = self.send_with_failover(&arrival, ticket.clone(), due, false);
        if arrival.duplicate && runs_once {
            let second = self.send_with_failover(&arrival, ticket, due, true);
            tokio::join!(first, second);
        } else {
            first.await;
        }
    }

    async fn send_with_failover(
        &self,
        arrival: &Arrival,
        ticket: Option<String>,
        due: Instant,
        second: bool,
    ) {
        let pipeline = self.shared.deployment.pipeline(arrival.pipeline);
        let key = format!("demo-{}", arrival.org);
        let input = json!({ "of": arrival.id });
        let mut request = Request::new(&pipeline.name, &key, input.clone());
        request.id = Some(&arrival.id);
        request.session = Some(&arrival.session);
        request.once = ticket.map_or(Once::No, Once::Ticket);
        request.deadline_ms = Some(u64::from(pipeline.deadline_ms));
        let tries = lock(&self.shared.entries).len();
        let mut answer = None;
        for _ in 0..tries {
            match self.caller.call(self.next_entry(), &request).await {
                Ok(response) => answer = Some(response.body),
                Err(CallerError::NotSent { .. }) => continue,
                Err(CallerError::Broken { .. }) => {}
            }
            break;
        }
        lock(&self.shared.records).push(CallRecord {
            arrival: arrival.clone(),
            input,
            latency: due.elapsed(),
            answer,
            second,
        });
    }

    fn next_entry(&self) -> SocketAddr {
        let next = self.shared.next.fetch_add(1, Ordering::Relaxed);
        let entries = lock(&self.shared.entries);
        entries[next % entries.len()]
    }

    /// Takes a prefetched ticket, or fetches a new batch. Skips entries that do not answer.
    async fn ticket(&self, org: &str) -> Option<String> {
        let key = format!("demo-{org}");
        for _ in 0..TICKET_TRIES {
            let entry = self.next_entry();
            let pool_key = (entry, org.to_string());
            let prefetched = lock(&self.shared.tickets)
                .get_mut(&pool_key)
                .and_then(Vec::pop);
            if prefetched.is_some() {
                return prefetched;
            }
            let Ok(mut fetched) = self.caller.tickets(entry, &key, TICKET_BATCH_SIZE).await else {
                continue;
            };
            let ticket = fetched.pop();
            let mut tickets = lock(&self.shared.tickets);
            tickets.entry(pool_key).or_default().extend(fetched);
            return ticket;
        }
        None
    }
}
