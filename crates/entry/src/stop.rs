//! A planned stop that cuts no request.
//!
//! Say leaving and fail the health check; go on serving while the balancer
//! lags; open no more records; finish what is in flight; hand the ledger to a
//! peer; tell the others where it went; only then close the listeners.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use hollowsail_clients::http::{nothing_sent, pooled_client};
use hollowsail_fleet::{Incarnation, Member};
use hollowsail_ledger::HandOver;

use crate::auth::{peer_token, PEER_HEADER};
use crate::context::Entry;
use crate::control::{BeginStop, Control, LeaveFor};
use crate::events;

/// Longest wait for requests in flight: the longest deadline and some.
const DRAIN_LIMIT: Duration = Duration::from_secs(130);
/// Between two looks at what is in flight.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);
/// Times one successor is asked again after an answer was lost.
const HAND_OVER_TRIES: u32 = 20;
/// Between two tries.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(250);
/// Longest wait for a successor's answer.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a planned stop to its end; the listeners may be closed after.
pub async fn run(entry: Arc<Entry>, control: Addr<Control>) {
    let _ = control.send(BeginStop).await;
    tokio::time::sleep(Duration::from_millis(entry.settings.limits.stop_grace_ms)).await;
    entry.once.lock().expect("no panic while held").stop();
    drain(&entry).await;
    let successor = hand_over(&entry).await;
    let told = control.send(LeaveFor(successor)).await.unwrap_or(0);
    entry.log(events::LEFT, format_args!("peers_told={told}"));
}

async fn drain(entry: &Entry) {
    let busy = || {
        let open = entry
            .once
            .lock()
            .expect("no panic while held")
            .open_records();
        entry.in_flight.load(Ordering::Relaxed) as usize + open
    };
    let wait = async {
        while busy() > 0 {
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
    };
    let _ = tokio::time::timeout(DRAIN_LIMIT, wait).await;
    entry.log(events::STOP_DRAINED, format_args!("left={}", busy()));
}

/// Gives the ledger to one peer. A peer whose answer is lost may have taken
/// it, so it is asked again and nobody else: two successors could each run a
/// ticket once.
async fn hand_over(entry: &Arc<Entry>) -> Option<Incarnation> {
    for member in successors(entry) {
        let Some(hand_over) = prepare(entry, &member) else {
            entry.log(events::HAND_OVER_FAILED, format_args!("why=\"still open\""));
            return None;
        };
        match give(entry, &member, &hand_over).await {
            Given::Taken => {
                entry.log(events::HANDED_OVER, format_args!("to={}", member.name));
                return Some(member.incarnation);
            }
            Given::Refused => {}
            Given::Unknown => break,
        }
    }
    entry.log(
        events::HAND_OVER_FAILED,
        format_args!("why=\"no successor\""),
    );
    None
}

/// Live peers, those in this hall first: what may be held here may be held
/// there.
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

fn prepare(entry: &Entry, member: &Member) -> Option<HandOver> {
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

enum Given {
    Taken,
    /// Certainly not taken.
    Refused,
    /// Perhaps taken, and no answer came.
    Unknown,
}

async fn give(entry: &Entry, member: &Member, hand_over: &HandOver) -> Given {
    let Ok(body) = rmp_serde::to_vec(hand_over) else {
        return Given::Refused;
    };
    let client = pooled_client();
    let mut may_be_taken = false;
    for _ in 0..HAND_OVER_TRIES {
        let sent = client
            .post(format!("http://{}/peer/ledger", member.peer))
            .timeout(HAND_OVER_TIMEOUT)
            .insert_header((PEER_HEADER, peer_token(&entry.settings.fleet_key)))
            .send_body(body.clone())
            .await;
        match sent {
            Ok(res) if res.status().is_success() => return Given::Taken,
            Ok(res) if res.status().is_client_error() && !may_be_taken => return Given::Refused,
            Err(err) if nothing_sent(&err) && !may_be_taken => return Given::Refused,
            _ => may_be_taken = true,
        }
        tokio::time::sleep(HAND_OVER_PAUSE).await;
    }
    Given::Unknown
}
