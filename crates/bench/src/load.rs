//! Callers: each arrival becomes a request, sent when it is due.
//!
//! A caller asks the entries in turn, as a balancer would spread it, and goes
//! to the next one only when nothing was sent. Latency counts from the moment
//! the request was due, not from when it could be sent.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_config::Deployment;
use hollowsail_entry::{AnswerBody, ErrorKind};
use hollowsail_local::caller::Request;
use hollowsail_local::{Caller, CallerError, Once};
use hollowsail_routing::Outcome;
use serde_json::{json, Value};

use crate::arrivals::Arrival;

/// Tickets fetched at a time.
const TICKETS: usize = 20;

/// What came of one request, or of one of its two sends.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub arrival: Arrival,
    pub input: Value,
    /// From the moment it was due.
    pub latency: Duration,
    /// `None`: the connection broke before an answer.
    pub answer: Option<AnswerBody>,
    /// True for the second send of a duplicate.
    pub second: bool,
}

impl CallRecord {
    /// Answered whole and in time.
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

/// Shared by all callers of a run.
#[derive(Clone)]
pub struct Callers {
    caller: Caller,
    deployment: Rc<Deployment>,
    /// Entries that the balancer knows of; changes when entries come and go.
    pub entries: Rc<RefCell<Vec<SocketAddr>>>,
    tickets: Rc<RefCell<TicketPool>>,
    next: Rc<RefCell<usize>>,
    pub records: Rc<RefCell<Vec<CallRecord>>>,
}

impl Callers {
    pub fn new(deployment: Rc<Deployment>, entries: Vec<SocketAddr>) -> Self {
        Callers {
            caller: Caller::default(),
            deployment,
            entries: Rc::new(RefCell::new(entries)),
            tickets: Rc::default(),
            next: Rc::default(),
            records: Rc::default(),
        }
    }

    /// Sends every arrival when it is due and waits for all answers.
    pub async fn send_all(&self, arrivals: Vec<Arrival>, start: Instant) {
        let mut running = Vec::with_capacity(arrivals.len());
        for arrival in arrivals {
            let due = start + arrival.at;
            tokio::time::sleep_until(due.into()).await;
            let callers = self.clone();
            running.push(actix_rt::spawn(async move {
                callers.send(arrival, due).await;
            }));
        }
        futures_util::future::join_all(running).await;
    }

    /// Sends one request and records what came of it.
    pub async fn send(&self, arrival: Arrival, due: Instant) {
        let runs_once = self.deployment.pipeline(arrival.pipeline).runs_once();
        let ticket = match runs_once {
            true => self.ticket(&arrival.org).await,
            false => None,
        };
        let first = self.send_to_some(&arrival, ticket.clone(), due, false);
        if arrival.duplicate && runs_once {
            let second = self.send_to_some(&arrival, ticket, due, true);
            tokio::join!(first, second);
        } else {
            first.await;
        }
    }

    async fn send_to_some(
        &self,
        arrival: &Arrival,
        ticket: Option<String>,
        due: Instant,
        second: bool,
    ) {
        let pipeline = self.deployment.pipeline(arrival.pipeline);
        let key = format!("demo-{}", arrival.org);
        let input = json!({ "of": arrival.id });
        let mut request = Request::new(&pipeline.name, &key, input.clone());
        request.id = Some(&arrival.id);
        request.session = Some(&arrival.session);
        request.once = ticket.map_or(Once::No, Once::Ticket);
        request.deadline_ms = Some(u64::from(pipeline.deadline_ms));
        let tries = self.entries.borrow().len();
        let mut answer = None;
        for _ in 0..tries {
            match self.caller.call(self.next_entry(), &request).await {
                Ok(answered) => answer = Some(answered.body),
                Err(CallerError::NotSent { .. }) => continue,
                Err(CallerError::Broken { .. }) => {}
            }
            break;
        }
        self.records.borrow_mut().push(CallRecord {
            arrival: arrival.clone(),
            input,
            latency: due.elapsed(),
            answer,
            second,
        });
    }

    fn next_entry(&self) -> SocketAddr {
        let mut next = self.next.borrow_mut();
        *next += 1;
        let entries = self.entries.borrow();
        entries[*next % entries.len()]
    }

    /// A ticket fetched ahead; the first of each batch waits for it.
    async fn ticket(&self, org: &str) -> Option<String> {
        let entry = self.next_entry();
        let known = (entry, org.to_string());
        let kept = self.tickets.borrow_mut().get_mut(&known).and_then(Vec::pop);
        if kept.is_some() {
            return kept;
        }
        let fetched = self
            .caller
            .tickets(entry, &format!("demo-{org}"), TICKETS)
            .await;
        let mut fetched = fetched.ok()?;
        let one = fetched.pop();
        self.tickets
            .borrow_mut()
            .entry(known)
            .or_default()
            .extend(fetched);
        one
    }

    /// Drops tickets of an entry that is known to be gone.
    pub fn forget_tickets(&self, entry: SocketAddr) {
        self.tickets.borrow_mut().retain(|(at, _), _| *at != entry);
    }
}
