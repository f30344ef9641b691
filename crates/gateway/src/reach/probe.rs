//! Connects to a few targets to find out whether this host is cut off from all of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{join_all, select_ok};
use futures_util::FutureExt;
use hollowsail_connect::DialError;
use hollowsail_observe::events;
use hollowsail_observe::text::Quoted;
use hollowsail_targets::Target;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::open::dial_direct;
use super::{relays, Endpoint};
use crate::metrics;
use crate::traffic::Traffic;

/// Interval between checks whether a probe is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of targets that a probe connects to, and of those in its first round. Most probes
/// reach one of these.
const PROBED_TARGETS: usize = 10;
const FIRST_ROUND: usize = 3;
/// Connect timeout of a probe, above the round trip between the farthest regions.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Probes when that is due, until the thread ends.
pub async fn watch(cx: Rc<Traffic>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = cx.clock.now();
        let silent_for = cx.reach.liveness.silent_for();
        if cx.reach.state.borrow().is_probe_due(now, silent_for) {
            cx.reach.state.borrow_mut().record_probe(now);
            probe(&cx, silent_for).await;
        }
    }
}

/// Connects to some targets, in two rounds; the host is cut off if none is reached.
async fn probe(cx: &Rc<Traffic>, silent_for: Duration) {
    let targets = choose_targets(cx);
    if targets.is_empty() {
        return;
    }
    let (first, others) = targets.split_at(targets.len().min(FIRST_ROUND));
    let mut reached = connect_to_any(cx, first).await;
    if reached.is_err() && !others.is_empty() && !cx.reach.is_cut_off() {
        reached = connect_to_any(cx, others).await;
    }
    let err = match reached {
        // A connect proves as much as an answer on an open connection.
        Ok(()) => return cx.reach.liveness.record_received(),
        Err(err) => err,
    };
    let now = cx.clock.now();
    let is_new = cx.reach.state.borrow_mut().record_failed_probe(now);
    if is_new {
        metrics::set_cut_off(true);
        cx.reach.record_cut_off(cx);
        cx.prune_connections();
        let (probed, silent_ms) = (targets.len(), silent_for.as_millis());
        let fields = format_args!("probed={probed} silent_ms={silent_ms} why={}", Quoted(&err));
        cx.log.line(events::TARGETS_UNREACHABLE, fields);
    }
    if is_new || cx.reach.lacks_relays() {
        probe_relays(cx).await;
    }
}

/// Finds out whether peers can relay to the halls to which none could: no request goes to their
/// targets that would show it.
async fn probe_relays(cx: &Rc<Traffic>) {
    let until = Instant::now() + PROBE_TIMEOUT;
    let targets = choose_target_of_each_hall(cx).into_iter();
    let probes = targets.map(|target| async move {
        let endpoint = Endpoint::of(&target.record);
        // The result counts, and the connection closes.
        drop(relays::connect(cx, &endpoint, until).await);
    });
    join_all(probes).await;
}

/// A random target of each hall.
fn choose_target_of_each_hall(cx: &Traffic) -> Vec<Rc<Target>> {
    let targets = cx.targets();
    let mut by_hall: BTreeMap<&str, Vec<&Rc<Target>>> = BTreeMap::new();
    for target in targets.all() {
        by_hall.entry(&target.record.hall).or_default().push(target);
    }
    let chosen = by_hall
        .into_values()
        .filter_map(|targets| targets.into_iter().choose(&mut rand::rng()));
    chosen.cloned().collect()
}

/// True when this host reaches a target other than this one now, or knows no other.
pub(super) async fn reaches_another(cx: &Rc<Traffic>, target: SocketAddr) -> bool {
    let mut others = choose_targets(cx);
    others.retain(|addr| *addr != target);
    others.truncate(FIRST_ROUND);
    others.is_empty() || connect_to_any(cx, &others).await.is_ok()
}

/// Connects to targets at once until one is reached; the error of the last one if none is.
async fn connect_to_any(cx: &Rc<Traffic>, targets: &[SocketAddr]) -> Result<(), DialError> {
    let dials = targets
        .iter()
        .map(|addr| dial_direct(cx, *addr, PROBE_TIMEOUT).boxed_local());
    select_ok(dials).await.map(drop)
}

/// Random targets, those to which connects are failing only if there are no others. One that accepts
/// few connections is left out while this host has its share of them.
fn choose_targets(cx: &Traffic) -> Vec<SocketAddr> {
    let now = cx.clock.now();
    let state = cx.reach.state.borrow();
    let targets = cx.targets();
    let may_open = |target: &&Rc<Target>| {
        let limit = target.pool.limit();
        limit.is_none_or(|limit| target.pool.stats().open < limit as usize)
    };
    let addrs = || {
        let targets = targets.all().filter(may_open);
        targets.map(|target| target.record.addr)
    };
    let others = addrs().filter(|addr| !state.is_failing(now, *addr));
    let chosen = others.choose_multiple(&mut rand::rng(), PROBED_TARGETS);
    match chosen.is_empty() {
        true => addrs().choose_multiple(&mut rand::rng(), PROBED_TARGETS),
        false => chosen,
    }
}
