//! What targets say of themselves in their answers, and who else is told.
//!
//! A target that leaves says so to the store and in all its answers. The store tells every
//! entry, unless it is away; so whatever an answer says holds from its head on, at this
//! entry at once. Where the target's record hasn't said the same a little later, the one
//! entry that tells for this target ([`Peers::owner_of`]) hears of it and tells all others:
//! whoever names engines or makes calls for others has to know, too, and a target that was
//! sent nothing meanwhile tells nobody.
//!
//! An answer of another start at a target's address says that the one which was asked has
//! ended, and is taken and told in the same way: 108 of 1,100 requests of a day were turned
//! away, one after the other, at addresses whose engines had ended while the store was
//! silent.
//!
//! A target that turns work away may say for how long it wants none. That is meant for the
//! entry that asked, and stays there.
//!
//! [`Peers::owner_of`]: crate::peers::Peers::owner_of

use std::rc::Rc;
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_platform::heads::{NamedLimit, TargetHead, UnreadableWord, OTHER_INCARNATION};
use hollowsail_platform::targets::Incarnation;
use hollowsail_targets::Target;
use http::StatusCode;

use crate::peers::{Message, Owner};
use crate::traffic::Traffic;

/// How long an entry waits for a target's record to say what its answer said, before it
/// has the others told: a record takes at most the pause of a watch (an eighth of the time
/// within which a leaving target has to be heeded, 250 to 625 ms) and two hops. While the
/// store answers nothing is told.
const RECORD_WITHIN: Duration = Duration::from_millis(700);

/// Takes what the head of an answer says of its target.
pub fn take(cx: &Rc<Traffic>, target: &Target, status: StatusCode, head: &TargetHead) {
    let start = target.incarnation();
    // Another start wrote it: this one has ended, and what else it says is of that one.
    if status == OTHER_INCARNATION {
        take_out(cx, start, "another_start_answers");
        return;
    }
    log_unreadable(cx, start, head);
    if head.is_leaving {
        take_out(cx, start, "answer");
    }
    if let NamedLimit::PerSecond(per_s) = head.limit {
        let fields = format_args!("target={} per_s={per_s} by=answer", start.id);
        cx.log.line(events::TARGET_LIMIT, fields);
    }
    let rest = head
        .retry_after
        .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(rest) = rest.filter(|rest| cx.target_rests(start, *rest)) {
        let fields = format_args!("target={} for_ms={}", start.id, rest.as_millis());
        cx.log.line(events::TARGET_RESTS, fields);
    }
}

/// Says which words of an answer can't be read: what was known before stays.
fn log_unreadable(cx: &Traffic, start: &Incarnation, head: &TargetHead) {
    for UnreadableWord { word, text } in &head.unreadable {
        let fields = format_args!("target={} word={word} text=\"{text}\"", start.id);
        cx.log.line(events::TARGET_WORD_UNREADABLE, fields);
    }
}

/// A start says that it leaves, or has ended: it gets nothing new, here at once and
/// elsewhere soon.
fn take_out(cx: &Rc<Traffic>, start: &Incarnation, by: &str) {
    if cx.target_leaves(start) {
        log_leaving(cx, start, by);
        actix_rt::spawn(have_told(cx.clone(), start.clone()));
    }
}

/// A peer says that a target leaves, and that this entry is to tell all others or not.
pub fn told_leaving(cx: &Rc<Traffic>, start: &Incarnation, tell_others: bool) {
    if cx.target_leaves(start) {
        log_leaving(cx, start, "peer");
    }
    if tell_others {
        tell_all(cx, start);
    }
}

/// Has all entries told that a target leaves, unless its record does so.
async fn have_told(cx: Rc<Traffic>, start: Incarnation) {
    tokio::time::sleep(RECORD_WITHIN).await;
    if cx.view().leaving.contains(&start) {
        return;
    }
    match cx.peers.owner_of(&cx, &format!("leaving/{}", start.id)) {
        Owner::Me => tell_all(&cx, &start),
        Owner::Peer(link) => link.send(Message::TargetLeaves {
            target: start,
            tell_others: true,
        }),
    }
}

/// Tells every other entry that a target leaves, once.
fn tell_all(cx: &Rc<Traffic>, start: &Incarnation) {
    if !cx.pass_leaving_on(start) {
        return;
    }
    for link in cx.peers.links_to_all(cx) {
        link.send(Message::TargetLeaves {
            target: start.clone(),
            tell_others: false,
        });
    }
}

fn log_leaving(cx: &Traffic, start: &Incarnation, by: &str) {
    let fields = format_args!("target={} born={} by={by}", start.id, start.born);
    cx.log.line(events::TARGET_LEAVES, fields);
}
