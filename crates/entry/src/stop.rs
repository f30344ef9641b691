//! Planned stop of an entry without interrupting requests.
//!
//! Announces the stop and fails the health check, serves on for `stop_grace_ms`
//! until the balancer has noticed, opens no more records, waits for the requests in
//! flight, hands the ledger over to a peer and announces the successor. The
//! listeners are closed after that.

use hollowsail_observe::text::Field;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use hollowsail_clients::http::{nothing_sent, pooled_client};
use hollowsail_fleet::{Incarnation, Member};
use hollowsail_ledger::HandOver;

use crate::auth::{peer_token, PEER_HEADER};
use crate::context::Entry;
use crate::control::{AnnounceLeft, BeginStop, Control};
use crate::events;

/// Timeout for requests in flight; above the longest deadline of a pipeline.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(130);
/// Interval between two checks of the requests in flight.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of attempts to hand over to one successor.
const HAND_OVER_ATTEMPTS: u32 = 20;
/// Pause between two attempts.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(250);
/// Timeout of one hand-over attempt.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a planned stop, up to closing the listeners.
pub async fn run(entry: Arc<Entry>, control: Addr<Control>) {
    let _ = control.send(BeginStop).await;
    tokio::time::sleep(Duration::from_millis(entry.settings.limits.stop_grace_ms)).await;
    entry.once.lock().expect("no panic while held").stop();
    drain(&entry).await;
    let successor = hand_over(&entry).await;
    let notified = control.send(AnnounceLeft(successor)).await.unwrap_or(0);
    entry.log(events::LEFT, format_args!("peers_told={notified}"));
}

async fn drain(entry: &Entry) {
    let active = || {
        let open = entry
            .once
            .lock()
            .expect("no panic while held")
            .open_record_count();
        entry.in_flight.load(Ordering::Relaxed) as usize + open
    };
    let wait = async {
        while active() > 0 {
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        }
    };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, wait).await;
    entry.log(events::STOP_DRAINED, format_args!("left={}", active()));
}

/// Hands the ledger over to one peer. A peer that didn't answer may have adopted it,
/// so only that peer is retried: two successors could each run the same ticket.
async fn hand_over(entry: &Arc<Entry>) -> Option<Incarnation> {
    for member in successors(entry) {
        let Some(hand_over) = prepare_hand_over(entry, &member) else {
            entry.log(
                events::HAND_OVER_FAILED,
                format_args!("why=\"records are still open\""),
            );
            return None;
        };
        match send_ledger(entry, &member, &hand_over).await {
            HandOverResult::Adopted => {
                entry.log(
                    events::HANDED_OVER,
                    format_args!("to={}", Field(&member.name)),
                );
                return Some(member.incarnation);
            }
            HandOverResult::Refused => {}
            HandOverResult::Unknown => break,
        }
    }
    entry.log(
        events::HAND_OVER_FAILED,
        format_args!("why=\"no successor adopted the ledger\""),
    );
    None
}

/// Peers that take work, those in this hall first: they may hold all answers that this
/// entry may hold.
fn successors(entry: &Entry) -> Vec<Member> {
    let view = entry.view();
    let mut members: Vec<Member> = view
        .members
        .iter()
        .filter(|member| member.takes_work())
        .cloned()
        .collect();
    members.sort_by_key(|member| (member.hall != entry.settings.hall, member.incarnation));
    members
}

/// The state of the ledger, with the answers that the member's hall may hold; `None`
/// while a record is open.
fn prepare_hand_over(entry: &Entry, member: &Member) -> Option<HandOver> {
    let configuration = entry.configuration();
    let may_hold = |org: &str| {
        configuration.as_ref().is_some_and(|configuration| {
            let deployment = &configuration.deployment;
            deployment
                .find_organisation(org)
                .is_some_and(|org| deployment.permits_named(org, &member.hall))
        })
    };
    let mut once = entry.once.lock().expect("no panic while held");
    once.hand_over(entry.now(), may_hold)
}

enum HandOverResult {
    Adopted,
    /// Certainly not adopted.
    Refused,
    /// No answer; it may have been adopted.
    Unknown,
}

async fn send_ledger(entry: &Entry, member: &Member, hand_over: &HandOver) -> HandOverResult {
    let Ok(body) = rmp_serde::to_vec(hand_over) else {
        return HandOverResult::Refused;
    };
    let client = pooled_client();
    let mut may_be_adopted = false;
    for _ in 0..HAND_OVER_ATTEMPTS {
        let sent = client
            .post(format!("http://{}/peer/ledger", member.peer))
            .timeout(HAND_OVER_TIMEOUT)
            .insert_header((PEER_HEADER, peer_token(&entry.settings.fleet_key)))
            .send_body(body.clone())
            .await;
        match sent {
            Ok(res) if res.status().is_success() => return HandOverResult::Adopted,
            Ok(res) if res.status().is_client_error() && !may_be_adopted => {
                return HandOverResult::Refused
            }
            Err(err) if nothing_sent(&err) && !may_be_adopted => return HandOverResult::Refused,
            _ => may_be_adopted = true,
        }
        tokio::time::sleep(HAND_OVER_PAUSE).await;
    }
    HandOverResult::Unknown
}
