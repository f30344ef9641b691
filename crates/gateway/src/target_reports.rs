//! Reports of targets about themselves in their answers, and their broadcast to peers.
//!
//! A draining target reports this in its record in the store and in all its answers. A report
//! takes effect at this entry with the headers of the answer. If the record does not confirm
//! it shortly after, for example because the store is unreachable, the entry that coordinates
//! broadcasts for the target ([`Peers::owner_of`]) is notified and notifies all others, since
//! entries that place requests for others need it too.
//!
//! An answer from another incarnation at the target's address means that this incarnation has
//! crashed; it is handled in the same way. Otherwise entries would keep sending requests to
//! crashed targets while the store is unreachable.
//!
//! A limited target reports how many requests per second it accepts from all entries together.
//! Records do not contain limits, so they are broadcast at once. New entries receive the
//! limits in force, and the owner of a scheduler receives them again from the entries it
//! places requests for.
//!
//! A target that fails when it has to refuse too many requests in a second reports how many it can
//! refuse. That is spread in the same way; only schedulers and queues assign requests to it, and no
//! more than it runs at once.
//!
//! A target that rejects a request may ask for a backoff. It applies to this entry only and is
//! not broadcast.
//!
//! The load and speed that a target reports are kept with their time of receipt
//! ([`Target::record_load`]) and aren't broadcast either, as they change many times a second.
//!
//! [`Peers::owner_of`]: crate::peers::Peers::owner_of

use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::SendTime;
use hollowsail_observe::events;
use hollowsail_observe::text::{Field, Quoted};
use hollowsail_platform::headers::{
    AdvertisedLimit, MalformedHeader, TargetHeaders, OTHER_INCARNATION,
};
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::Millis;
use hollowsail_targets::{LimitKind, LimitReport, Target};
use http::StatusCode;

use crate::mechanisms::Mechanism;
use crate::metrics;
use crate::peers::{LimitNotice, Link, Message, Owner, PeerId, PeerRecord, TargetReportMessage};
use crate::traffic::Traffic;

/// How long an entry waits for a target's record to confirm a report before it requests a
/// broadcast: longer than the pause of a watch and two hops.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(700);

/// How long an entry sends nothing to a target that must not refuse many requests, after it refused
/// one.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(1);

/// Applies the reports in the headers of an answer to a request that was sent at `sent_at` or
/// later.
pub fn record_reports(
    cx: &Rc<Traffic>,
    target: &Target,
    status: StatusCode,
    head: &TargetHeaders,
    sent_at: Millis,
) {
    let incarnation = target.incarnation();
    // Another incarnation answered, so this one has crashed, and the other reports in the
    // answer are not its own.
    if status == OTHER_INCARNATION {
        take_out_of_use(cx, incarnation, "another_start_answers");
        return;
    }
    log_unusable_headers(cx, incarnation, head);
    if head.is_draining {
        take_out_of_use(cx, incarnation, "answer");
    }
    if let Some(load) = head.load.filter(|_| cx.has(Mechanism::TargetSpeeds)) {
        target.record_load(cx.clock.now(), load);
    }
    record_limits(cx, incarnation, head, sent_at);
    let is_unavailable = status == StatusCode::SERVICE_UNAVAILABLE;
    let is_refused = is_unavailable && head.not_run;
    // Further requests would be refused, too, and the target fails when it refuses too many.
    let rest = target.refusal_limit.get().filter(|_| is_refused);
    let rest = rest.map(|_| REFUSAL_BACKOFF);
    let backoff = head.retry_after.filter(|_| is_unavailable).max(rest);
    if let Some(backoff) = backoff.filter(|backoff| cx.record_backoff(incarnation, *backoff)) {
        let fields = format_args!(
            "target={} for_ms={}",
            Field(&incarnation.id),
            backoff.as_millis()
        );
        cx.log.line(events::TARGET_RESTS, fields);
    }
}

/// Records the limits that an answer reports, or that it reports none.
fn record_limits(
    cx: &Rc<Traffic>,
    incarnation: &Incarnation,
    head: &TargetHeaders,
    sent_at: Millis,
) {
    let advertised = [
        (LimitKind::Requests, &head.limit),
        (LimitKind::Refusals, &head.refusal_limit),
    ];
    for (kind, advertised) in advertised {
        let per_s = match advertised {
            AdvertisedLimit::Absent => None,
            AdvertisedLimit::PerSecond(per_s) => Some(*per_s),
            AdvertisedLimit::Malformed => continue,
        };
        let report = LimitReport {
            kind,
            per_s,
            sent_at,
            received_at: cx.clock.now(),
        };
        if record_limit(cx, incarnation, report, "answer") {
            request_limit_broadcast_throttled(cx, incarnation, kind);
        }
    }
}

/// Logs and counts malformed and unrecognised headers, which are otherwise ignored. Log lines
/// are throttled for each target and header.
fn log_unusable_headers(cx: &Traffic, incarnation: &Incarnation, head: &TargetHeaders) {
    for MalformedHeader { header, text } in &head.malformed {
        metrics::count_unusable_header(header);
        if cx.is_header_log_due(incarnation, header) {
            let fields = format_args!(
                "target={} word={header} text={}",
                Field(&incarnation.id),
                Quoted(&text)
            );
            cx.log.line(events::TARGET_WORD_UNREADABLE, fields);
        }
    }
    for header in &head.unrecognised {
        metrics::count_unusable_header(header);
        if cx.is_header_log_due(incarnation, header) {
            let fields = format_args!("target={} word={header}", Field(&incarnation.id));
            cx.log.line(events::TARGET_WORD_UNKNOWN, fields);
        }
    }
}

/// Takes a draining or crashed incarnation out of use and schedules a broadcast.
fn take_out_of_use(cx: &Rc<Traffic>, incarnation: &Incarnation, by: &str) {
    if cx.mark_draining(incarnation) {
        log_draining(cx, incarnation, by);
        actix_rt::spawn(request_draining_broadcast(cx.clone(), incarnation.clone()));
    }
}

/// Records a reported limit, from an answer or a peer. True when the limit changed.
fn record_limit(
    cx: &Rc<Traffic>,
    incarnation: &Incarnation,
    report: LimitReport,
    by: &str,
) -> bool {
    let has_changed = cx.record_target_limit(incarnation, report);
    if has_changed {
        log_limit(cx, incarnation, report, by);
    }
    has_changed
}

/// Requests a broadcast of the reported limit, throttled for each incarnation.
fn request_limit_broadcast_throttled(cx: &Rc<Traffic>, incarnation: &Incarnation, kind: LimitKind) {
    let subject = (incarnation.clone(), kind);
    match cx.limit_broadcasts.changed(cx.clock.now(), &subject) {
        SendTime::Now => request_limit_broadcast(cx, incarnation, kind),
        SendTime::At(at) => {
            let cx = cx.clone();
            actix_rt::spawn(async move {
                tokio::time::sleep_until(cx.clock.timer(at).into()).await;
                cx.limit_broadcasts.record_sent(cx.clock.now(), &subject);
                request_limit_broadcast(&cx, &subject.0, kind);
            });
        }
        SendTime::Scheduled => {}
    }
}

fn request_limit_broadcast(cx: &Rc<Traffic>, incarnation: &Incarnation, kind: LimitKind) {
    let Some(report) = cx.targets().limit_report(incarnation, kind) else {
        return;
    };
    match coordinator_of(cx, incarnation) {
        Owner::Me => broadcast_limit(cx, incarnation, kind),
        Owner::Peer(link) => send_limit(cx, &link, incarnation, report, true),
    }
}

/// Sends the reported limit to every other entry.
pub fn broadcast_limit(cx: &Rc<Traffic>, incarnation: &Incarnation, kind: LimitKind) {
    let Some(report) = cx.targets().limit_report(incarnation, kind) else {
        return;
    };
    for link in cx.peers.links_to_all(cx) {
        send_limit(cx, &link, incarnation, report, false);
    }
}

/// A peer sent a reported limit. With `broadcast` this entry forwards it to all others.
pub fn on_limit_notice(
    cx: &Rc<Traffic>,
    incarnation: &Incarnation,
    kind: LimitKind,
    notice: LimitNotice,
    broadcast: bool,
) {
    let now = cx.clock.now();
    let report = LimitReport {
        kind,
        per_s: notice.per_s,
        sent_at: now.saturating_sub(notice.sent_ms),
        received_at: now.saturating_sub(notice.received_ms),
    };
    if record_limit(cx, incarnation, report, "peer") && broadcast {
        request_limit_broadcast_throttled(cx, incarnation, kind);
    }
}

/// Sends the reported limits from time to time to an entry that sends to the target on behalf
/// of this one.
pub fn resend_limits(cx: &Traffic, target: &Target, to: &Rc<Link>) {
    let reports = cx.targets().limits_to_repeat(cx.clock.now(), target);
    for report in reports {
        send_limit(cx, to, target.incarnation(), report, false);
    }
}

/// Sends the limits in force to new entries, for targets that this entry coordinated before
/// they joined; a new entry may become the coordinator.
pub fn send_limits_to_new_peers(cx: &Rc<Traffic>, new_peers: &[&PeerRecord]) {
    let limited = cx.targets().limited();
    let ids: Vec<PeerId> = new_peers.iter().map(|peer| peer.id).collect();
    for (incarnation, report) in limited {
        let name = coordination_key(&incarnation);
        if !cx.peers.is_mine_without(cx, &name, &ids) {
            continue;
        }
        let others = new_peers.iter().filter(|peer| peer.id != cx.me.id);
        for peer in others {
            let link = cx.peers.link_to(cx, peer);
            send_limit(cx, &link, &incarnation, report, false);
        }
    }
}

fn send_limit(
    cx: &Traffic,
    to: &Rc<Link>,
    incarnation: &Incarnation,
    report: LimitReport,
    broadcast: bool,
) {
    let now = cx.clock.now();
    let target = incarnation.clone();
    let limit = LimitNotice {
        per_s: report.per_s,
        sent_ms: now.saturating_sub(report.sent_at),
        received_ms: now.saturating_sub(report.received_at),
    };
    match report.kind {
        LimitKind::Requests => to.send(Message::TargetLimit {
            target,
            limit,
            broadcast,
        }),
        LimitKind::Refusals => to.reports.send(TargetReportMessage::RefusalLimit {
            target,
            limit,
            broadcast,
        }),
    }
}

/// The entry that broadcasts reports of an incarnation.
fn coordinator_of(cx: &Rc<Traffic>, incarnation: &Incarnation) -> Owner {
    cx.peers.owner_of(cx, &coordination_key(incarnation))
}

/// Key that determines the coordinator.
fn coordination_key(incarnation: &Incarnation) -> String {
    format!("words/{}", incarnation.id)
}

/// A peer reported a draining target. With `broadcast` this entry forwards it to all others.
pub fn on_draining_notice(cx: &Rc<Traffic>, incarnation: &Incarnation, broadcast: bool) {
    if cx.mark_draining(incarnation) {
        log_draining(cx, incarnation, "peer");
    }
    if broadcast {
        broadcast_draining(cx, incarnation);
    }
}

/// Requests a broadcast that a target is draining, unless its record confirms it in time.
async fn request_draining_broadcast(cx: Rc<Traffic>, incarnation: Incarnation) {
    tokio::time::sleep(CONFIRMATION_TIMEOUT).await;
    if cx.view().targets.draining.contains(&incarnation) {
        return;
    }
    match coordinator_of(&cx, &incarnation) {
        Owner::Me => broadcast_draining(&cx, &incarnation),
        Owner::Peer(link) => link.send(Message::TargetDraining {
            target: incarnation,
            broadcast: true,
        }),
    }
}

/// Notifies every other entry that a target is draining, once.
fn broadcast_draining(cx: &Rc<Traffic>, incarnation: &Incarnation) {
    if !cx.mark_draining_broadcast(incarnation) {
        return;
    }
    for link in cx.peers.links_to_all(cx) {
        link.send(Message::TargetDraining {
            target: incarnation.clone(),
            broadcast: false,
        });
    }
}

fn log_limit(cx: &Traffic, incarnation: &Incarnation, report: LimitReport, by: &str) {
    let now = cx.clock.now();
    let per_s = report
        .per_s
        .map_or("none".to_string(), |per_s| per_s.to_string());
    let (sent_age, received_age) = (
        now.saturating_sub(report.sent_at),
        now.saturating_sub(report.received_at),
    );
    let fields = format_args!(
        "target={} born={} per_s={per_s} asked_ms={sent_age} heard_ms={received_age} by={by}",
        Field(&incarnation.id),
        incarnation.started
    );
    let event = match report.kind {
        LimitKind::Requests => events::TARGET_LIMIT,
        LimitKind::Refusals => events::TARGET_REFUSAL_LIMIT,
    };
    cx.log.line(event, fields);
}

fn log_draining(cx: &Traffic, incarnation: &Incarnation, by: &str) {
    let fields = format_args!(
        "target={} born={} by={by}",
        Field(&incarnation.id),
        incarnation.started
    );
    cx.log.line(events::TARGET_LEAVES, fields);
}
