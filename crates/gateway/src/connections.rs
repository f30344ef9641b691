//! Connections to plain services whose targets accept few of them.
//!
//! This entry's share is set at the pools of a service before a target is chosen, and at the
//! target's before a connection is requested, so that a change of the live entries or of the configuration applies to the next request.
//! [`connect`] waits for a connection to any target that may serve the request before it is sent,
//! and tells operators how scarce they are. When the targets of the service change meanwhile, the
//! request gives its choice up. Services with plenty of connections, stage services and engines have no limit.

use std::rc::Rc;

use hollowsail_connect::{connect_first, Connection, Pool, PoolStats, Reuse, SendError};
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::deployment::Service;
use hollowsail_routing::connections::{is_scarce, share};
use hollowsail_routing::Progress;
use hollowsail_targets::Target;

use crate::mechanisms::Mechanism;
use crate::metrics;
use crate::request::{Admitted, Failure, Unconnected};
use crate::traffic::Traffic;

/// Counts a request that uses a connection, until it is dropped.
pub struct InUse {
    service: String,
}

/// Counts a request that waits for a connection, until it is dropped.
struct Waiting<'a> {
    service: &'a str,
}

/// Sets this entry's share of the connections at all targets of a service.
pub fn update_limits(cx: &Traffic, service: &Service) {
    let limit = limit(cx, service);
    cx.with_targets(&service.name, |targets| {
        targets
            .iter()
            .for_each(|target| target.pool.set_limit(limit));
    });
}

/// Number of connections that this entry may open to one target; `None` without a limit. Shortly
/// after the start not all entries are known, so the connections may be scarcer than they seem.
fn limit(cx: &Traffic, service: &Service) -> Option<u32> {
    let is_plain = service.stage_pool.is_none() && service.engine.is_none();
    let (max, entries) = (service.max_connections, cx.peers.count());
    let may_be_scarce = is_scarce(max, entries) || max > 0 && !cx.peers.is_settled(cx);
    let is_limited = is_plain && may_be_scarce && cx.has(Mechanism::ConnectionShares);
    is_limited.then(|| share(max, entries))
}

/// Waits for a connection to a target with a limit, for as long as the request may wait. Replaces
/// `target` by one of `others` if that has a connection first. Returns `None` without a limit: the
/// request is sent on any connection then.
pub async fn connect(
    cx: &Rc<Traffic>,
    admitted: &Admitted,
    target: &mut Rc<Target>,
    others: &[Rc<Target>],
    reuse: Reuse,
) -> Result<Option<(Connection, InUse)>, Failure> {
    // The target may have been added since the last choice, or was chosen by a scheduler.
    let limit = service_of(admitted, target).and_then(|service| limit(cx, service));
    target.pool.set_limit(limit);
    if limit.is_none() {
        return Ok(None);
    }
    let service = &target.record.service.clone();
    let limited = others.iter().filter(|other| other.pool.limit().is_some());
    let chosen = std::iter::once(&*target);
    let targets: Vec<Rc<Target>> = chosen.chain(limited).cloned().collect();
    let pools: Vec<Rc<Pool>> = targets.iter().map(|target| target.pool.clone()).collect();
    let waiting = Waiting::new(service);
    let connecting = connect_first(&pools, reuse, admitted.max_wait());
    let deadline = admitted.deadline.to_instant();
    let connected = tokio::select! {
        biased;
        connected = tokio::time::timeout_at(deadline.into(), connecting) => connected,
        () = targets_changed(cx, service) => return Err(Failure {
            unconnected: Some(Unconnected::TargetsChanged),
            ..Failure::new(
                Progress::NothingSent,
                "the targets changed while the request waited for a connection",
            )
        }),
    };
    drop(waiting);
    let connected = connected.map(|(index, connected)| {
        target.clone_from(&targets[index]);
        connected
    });
    match connected {
        Ok(Ok(connection)) => Ok(Some((connection, InUse::new(service)))),
        Ok(Err(err)) => {
            record_failure(cx, target, &err);
            Err(Failure::not_connected(&err))
        }
        Err(_) => Err(Failure {
            unconnected: Some(Unconnected::NotInTime),
            ..Failure::new(
                Progress::NothingSent,
                "the deadline passed before there was a connection to the target",
            )
        }),
    }
}

/// Waits until other targets of a service are in use.
async fn targets_changed(cx: &Traffic, service: &str) {
    let known = cx.targets_named(service);
    let is_known = |targets: &[Rc<Target>]| {
        targets.len() == known.len()
            && std::iter::zip(targets, &known).all(|(target, known)| Rc::ptr_eq(target, known))
    };
    while cx.with_targets(service, is_known) {
        cx.targets_changed.notified().await;
    }
}

/// The service of a target.
fn service_of<'a>(admitted: &'a Admitted, target: &Target) -> Option<&'a Service> {
    let key = admitted.deployment.service_named(&target.record.service)?;
    Some(admitted.deployment.service(key))
}

/// Records that a request got no connection.
fn record_failure(cx: &Traffic, target: &Target, err: &SendError) {
    let service = &target.record.service;
    let why = match err {
        SendError::Rejected { .. } => {
            metrics::count_connection_reset(service);
            "reset"
        }
        SendError::NoConnection { .. } => "none_free",
        _ => return,
    };
    if !cx.is_connection_log_due(service) {
        return;
    }
    let stats = service_stats(cx, service);
    cx.log.line(
        events::CONNECTIONS,
        format_args!(
            "service={} why={why} target={} share={} in_use={} idle={} waiting={} \
             resets={} entries={}",
            Field(&service),
            Field(&target.incarnation().id),
            target.pool.limit().unwrap_or(0),
            stats.open.saturating_sub(stats.idle),
            stats.idle,
            stats.waiting,
            stats.resets,
            cx.peers.count()
        ),
    );
}

/// Sum over the targets of a service.
fn service_stats(cx: &Traffic, service: &str) -> PoolStats {
    let add = |sum: PoolStats, stats: PoolStats| PoolStats {
        open: sum.open + stats.open,
        idle: sum.idle + stats.idle,
        waiting: sum.waiting + stats.waiting,
        resets: sum.resets + stats.resets,
    };
    cx.with_targets(service, |targets| {
        let stats = targets.iter().map(|target| target.pool.stats());
        stats.fold(PoolStats::default(), add)
    })
}

impl InUse {
    fn new(service: &str) -> Self {
        metrics::change_connections_in_use(service, 1.0);
        InUse {
            service: service.to_string(),
        }
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        metrics::change_connections_in_use(&self.service, -1.0);
    }
}

impl<'a> Waiting<'a> {
    fn new(service: &'a str) -> Self {
        metrics::change_connections_waiting(service, 1.0);
        Waiting { service }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        metrics::change_connections_waiting(self.service, -1.0);
    }
}
