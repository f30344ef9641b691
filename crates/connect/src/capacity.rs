//! The connections of a pool whose peer accepts few, and the requests that wait for one.
//!
//! A request joins the line with [`Pool::grant`] and gets the first idle connection that it may
//! use, or permission to open one ([`Dialling`]) while fewer than the limit are open and the
//! pacing allows it. The line is served when a connection becomes idle or closes, when a dial or
//! backoff ends, and when the limit changes. Without a limit everything is granted at once. A
//! request that any of several peers may serve joins all their lines ([`grant_first`]).

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;

use futures_util::future::select_all;
use hollowsail_routing::{connections, DialPacing, Millis};
use tokio::sync::oneshot;

use crate::pool::{Idle, Pool, Reuse, SendError};

/// Shortest time after which a request without a connection is to be sent again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Weight of the newest request in the average time that a connection is in use.
const HOLD_WEIGHT: f64 = 0.2;

/// State of a pool's connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Connections open and being opened.
    pub open: usize,
    /// Of these, connections that no request uses.
    pub idle: usize,
    /// Requests that wait for a connection.
    pub waiting: usize,
    /// New connections so far that failed before their first answer, while there was a limit.
    pub resets: u64,
}

/// How soon a request gets a connection, the soonest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Availability {
    /// An idle connection is ready.
    Idle,
    /// A new connection may be opened.
    New,
    /// The request has to wait, for this time as far as can be expected.
    Busy(Duration),
}

/// Limit, pacing and line of a pool.
#[derive(Default)]
pub(crate) struct Capacity {
    limit: Cell<Option<u32>>,
    /// Connections open and being opened.
    open: Cell<usize>,
    pacing: Cell<DialPacing>,
    resets: Cell<u64>,
    /// Average time in milliseconds that a request holds a connection.
    hold_ms: Cell<Option<f64>>,
    line: RefCell<VecDeque<Waiter>>,
    next_waiter: Cell<u64>,
}

struct Waiter {
    id: u64,
    reuse: Reuse,
    granted: oneshot::Sender<Grant>,
}

/// What a request may use.
pub(crate) enum Grant {
    Idle(Idle),
    Dial(Dialling),
}

/// Counts an open connection until it is dropped.
pub(crate) struct OpenGuard {
    pool: Weak<Pool>,
}

/// Permission to open a connection. Dropping it ends the dial.
pub(crate) struct Dialling {
    pool: Rc<Pool>,
    open: Option<OpenGuard>,
}

/// A request in the line; dropping it leaves the line and returns an unused grant.
struct Waiting {
    pool: Rc<Pool>,
    id: u64,
    granted: oneshot::Receiver<Grant>,
}

/// Positions of the pools that have a connection for a request soonest; empty without pools. Each
/// pool is asked once, as its answer changes with the time.
pub fn soonest<'a>(pools: impl Iterator<Item = &'a Rc<Pool>>, reuse: Reuse) -> Vec<usize> {
    let availabilities: Vec<Availability> = pools.map(|pool| pool.availability(reuse)).collect();
    let first = availabilities.iter().min();
    let all = availabilities.iter().enumerate();
    let soonest = all.filter(|(_, availability)| Some(*availability) == first);
    soonest.map(|(index, _)| index).collect()
}

/// Waits in the lines of several pools for at most `max_wait`, and returns the first grant with the
/// position of its pool. Fails at once if no grant is expected in time. The error is the time after
/// which the request may be sent again.
pub(crate) async fn grant_first(
    pools: &[Rc<Pool>],
    reuse: Reuse,
    max_wait: Option<Duration>,
) -> Result<(usize, Grant), Duration> {
    let mut lines = Vec::with_capacity(pools.len());
    for (index, pool) in pools.iter().enumerate() {
        let mut waiting = pool.join_line(reuse);
        pool.serve_line();
        if let Ok(grant) = waiting.granted.try_recv() {
            return Ok((index, grant));
        }
        lines.push(waiting);
    }
    let retry_after = || first_expected_wait(pools).max(MIN_RETRY_AFTER);
    if max_wait.is_some_and(|max_wait| first_expected_wait(pools) > max_wait) {
        return Err(retry_after());
    }
    let granted = select_all(lines.iter_mut().map(|waiting| &mut waiting.granted));
    let granted = match max_wait {
        Some(max_wait) => tokio::time::timeout(max_wait, granted).await,
        None => Ok(granted.await),
    };
    match granted {
        Ok((Ok(grant), index, _)) => Ok((index, grant)),
        Ok((Err(_), ..)) | Err(_) => Err(retry_after()),
    }
}

/// Estimated time until a request at the end of the lines of all pools gets a connection.
fn first_expected_wait(pools: &[Rc<Pool>]) -> Duration {
    let ahead = |pool: &Rc<Pool>| pool.capacity.line.borrow().len().saturating_sub(1);
    let by_line = pools.iter().map(|pool| pool.wait_in_line_ms(ahead(pool)));
    let by_line = duration_of_ms(connections::first_of_waits(by_line));
    let backoffs = pools.iter().map(|pool| pool.backoff_without_requests());
    by_line.max(backoffs.min().unwrap_or_default())
}

/// A duration of any number of milliseconds.
fn duration_of_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(Duration::MAX)
}

impl Capacity {
    pub(crate) fn limit(&self) -> Option<u32> {
        self.limit.get()
    }

    fn change_pacing<T>(&self, change: impl FnOnce(&mut DialPacing) -> T) -> T {
        let mut pacing = self.pacing.get();
        let result = change(&mut pacing);
        self.pacing.set(pacing);
        result
    }

    /// True when more connections are open than the limit allows.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.limit
            .get()
            .is_some_and(|limit| self.open.get() > limit as usize)
    }

    /// How long a new connection is observed; `round_trip` is the time that the connect took.
    pub(crate) fn observation(&self, round_trip: Duration) -> Duration {
        let round_trip_ms = round_trip.as_secs_f64() * 1_000.0;
        let observation_ms = self.pacing.get().observation_ms(round_trip_ms);
        Duration::from_secs_f64(observation_ms / 1_000.0)
    }

    /// Records how long a request held a connection.
    pub(crate) fn record_hold(&self, held: Duration) {
        let ms = held.as_secs_f64() * 1_000.0;
        let mean = self
            .hold_ms
            .get()
            .map_or(ms, |mean| mean + (ms - mean) * HOLD_WEIGHT);
        self.hold_ms.set(Some(mean));
    }

    /// Records the first answer on a new connection.
    pub(crate) fn record_answer(&self) {
        self.change_pacing(DialPacing::answered);
    }
}

impl Pool {
    /// Sets how many connections may be open at a time; no limit if `None`. Idle connections
    /// beyond it are closed, connections in use are closed after their answer.
    pub fn set_limit(self: &Rc<Self>, limit: Option<u32>) {
        if self.capacity.limit.replace(limit) == limit {
            return;
        }
        if let Some(limit) = limit {
            self.close_idle(self.capacity.open.get().saturating_sub(limit as usize));
        }
        self.serve_line();
    }

    /// How many connections may be open at a time, if there is a limit.
    pub fn limit(&self) -> Option<u32> {
        self.capacity.limit.get()
    }

    pub fn stats(&self) -> PoolStats {
        PoolStats {
            open: self.capacity.open.get(),
            idle: self.idle_count(),
            waiting: self.capacity.line.borrow().len(),
            resets: self.capacity.resets.get(),
        }
    }

    /// How soon a request gets a connection now.
    pub fn availability(&self, reuse: Reuse) -> Availability {
        let ahead = self.capacity.line.borrow().len();
        match () {
            () if ahead > 0 => Availability::Busy(self.expected_wait(ahead)),
            () if self.has_idle(reuse) => Availability::Idle,
            () if self.may_dial() || self.has_room_after_close() => Availability::New,
            () => Availability::Busy(self.expected_wait(ahead)),
        }
    }

    /// Estimated time until a request behind `ahead` others gets a connection. Zero without a
    /// limit.
    fn expected_wait(&self, ahead: usize) -> Duration {
        duration_of_ms(self.wait_in_line_ms(ahead)).max(self.backoff_without_requests())
    }

    /// Estimated time until `ahead` others and a request got connections that are in use now.
    fn wait_in_line_ms(&self, ahead: usize) -> f64 {
        let hold_ms = self.capacity.hold_ms.get().unwrap_or(0.0);
        let limit = self.capacity.limit.get();
        limit.map_or(0.0, |limit| {
            connections::expected_wait(ahead, limit, hold_ms)
        })
    }

    /// Remaining backoff while no connection is in use: nothing becomes free before it ends. Zero
    /// otherwise, and without a limit.
    fn backoff_without_requests(&self) -> Duration {
        let pacing = self.capacity.pacing.get();
        let without_request = self.idle_count() + pacing.dialling() as usize;
        let has_request = self.capacity.open.get() > without_request;
        match has_request || self.capacity.limit.get().is_none() {
            true => Duration::ZERO,
            false => Duration::from_millis(pacing.backoff_left(self.now())),
        }
    }

    fn now(&self) -> Millis {
        self.created().elapsed().as_millis() as Millis
    }

    fn is_below_limit(&self) -> bool {
        let limit = self.capacity.limit.get();
        limit.is_none_or(|limit| self.capacity.open.get() < limit as usize)
    }

    fn may_dial(&self) -> bool {
        let pacing = self.capacity.pacing.get();
        self.capacity.limit.get().is_none() || self.is_below_limit() && pacing.may_dial(self.now())
    }

    /// True when a connection may be opened after an idle one, which the request can't use, was
    /// closed.
    fn has_room_after_close(&self) -> bool {
        let pacing = self.capacity.pacing.get();
        !self.is_below_limit() && pacing.may_dial(self.now()) && self.idle_count() > 0
    }

    /// Waits for a connection, for at most `max_wait`. Fails at once if none is expected in time.
    pub(crate) async fn grant(
        self: &Rc<Self>,
        reuse: Reuse,
        max_wait: Option<Duration>,
    ) -> Result<Grant, SendError> {
        if self.capacity.limit.get().is_none() {
            let idle = self.take_idle(reuse).map(Grant::Idle);
            return Ok(idle.unwrap_or_else(|| Grant::Dial(self.start_dial())));
        }
        let pools = std::slice::from_ref(self);
        let granted = grant_first(pools, reuse, max_wait).await;
        let (_, grant) = granted.map_err(|retry_after| self.no_connection(retry_after))?;
        Ok(grant)
    }

    /// The error of a request that got no connection in time.
    pub(crate) fn no_connection(&self, retry_after: Duration) -> SendError {
        SendError::NoConnection {
            addr: self.addr(),
            retry_after,
        }
    }

    /// When a request that got no connection may be sent again.
    pub(crate) fn retry_after(&self) -> Duration {
        let ahead = self.capacity.line.borrow().len().saturating_sub(1);
        self.expected_wait(ahead).max(MIN_RETRY_AFTER)
    }

    fn join_line(self: &Rc<Self>, reuse: Reuse) -> Waiting {
        let (sender, receiver) = oneshot::channel();
        let id = self.capacity.next_waiter.get();
        self.capacity.next_waiter.set(id + 1);
        self.capacity.line.borrow_mut().push_back(Waiter {
            id,
            reuse,
            granted: sender,
        });
        Waiting {
            pool: self.clone(),
            id,
            granted: receiver,
        }
    }

    /// Grants what is free to the requests in the line, in the order of their arrival.
    pub(crate) fn serve_line(self: &Rc<Self>) {
        while let Some((waiter, grant)) = self.next_grant() {
            // A request leaves the line before its receiver is dropped, so this doesn't fail.
            drop(waiter.granted.send(grant));
        }
    }

    /// Removes the first request that can get a connection from the line.
    fn next_grant(self: &Rc<Self>) -> Option<(Waiter, Grant)> {
        let mut line = self.capacity.line.borrow_mut();
        for index in 0..line.len() {
            if let Some(grant) = self.grant_for(line[index].reuse) {
                return line.remove(index).map(|waiter| (waiter, grant));
            }
        }
        if !line.is_empty() && self.has_room_after_close() {
            self.close_idle(1);
        }
        None
    }

    fn grant_for(self: &Rc<Self>, reuse: Reuse) -> Option<Grant> {
        let idle = self.take_idle(reuse).map(Grant::Idle);
        idle.or_else(|| self.may_dial().then(|| Grant::Dial(self.start_dial())))
    }

    fn start_dial(self: &Rc<Self>) -> Dialling {
        self.capacity.open.set(self.capacity.open.get() + 1);
        self.capacity.change_pacing(DialPacing::started);
        let open = OpenGuard {
            pool: Rc::downgrade(self),
        };
        Dialling {
            pool: self.clone(),
            open: Some(open),
        }
    }

    /// Records a connection that failed before its first answer, and serves the line again after
    /// the backoff. Does nothing without a limit.
    pub(crate) fn record_failed_dial(self: &Rc<Self>) {
        if self.capacity.limit.get().is_none() {
            return;
        }
        self.capacity.resets.set(self.capacity.resets.get() + 1);
        let (now, jitter) = (self.now(), rand::random::<f64>());
        let backoff_ms = self
            .capacity
            .change_pacing(|pacing| pacing.failed(now, jitter));
        let pool = Rc::downgrade(self);
        actix_rt::spawn(async move {
            tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
            if let Some(pool) = pool.upgrade() {
                pool.serve_line();
            }
        });
    }
}

impl Dialling {
    /// Ends the dial with an open connection, which counts until the guard is dropped.
    pub(crate) fn opened(mut self) -> Option<OpenGuard> {
        self.open.take()
    }
}

impl Drop for Dialling {
    fn drop(&mut self) {
        self.pool.capacity.change_pacing(DialPacing::ended);
        match self.open.take() {
            // Serves the line.
            Some(open) => drop(open),
            None => self.pool.serve_line(),
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.upgrade() {
            let open = &pool.capacity.open;
            open.set(open.get().saturating_sub(1));
            pool.serve_line();
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let id = self.id;
        self.pool
            .capacity
            .line
            .borrow_mut()
            .retain(|waiter| waiter.id != id);
        if let Ok(Grant::Idle(idle)) = self.granted.try_recv() {
            self.pool.return_idle(idle);
            self.pool.serve_line();
        }
    }
}
