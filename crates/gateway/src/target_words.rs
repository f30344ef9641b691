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
//! ended, and is taken and told in the same way: else requests are turned away, one after
//! the other, at addresses whose engines ended while the store was silent.
//!
//! A target in need names how many requests a second it takes from all entries together.
//! No record says that, so whoever hears it has all others told in the same way, at once:
//! the owner of a desk sends for all. An entry that comes later is told what is in
//! force, and a desk's owner hears it again from those it places requests for.
//!
//! A target that turns work away may say for how long it wants none. That is meant for the
//! entry that asked, and stays there.
//!
//! [`Peers::owner_of`]: crate::peers::Peers::owner_of

use std::rc::Rc;
use std::time::Duration;

use hollowsail_fleet::Tell;
use hollowsail_observe::events;
use hollowsail_platform::heads::{NamedLimit, TargetHead, UnreadableWord, OTHER_INCARNATION};
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::Millis;
use hollowsail_targets::{LimitWord, Target};
use http::StatusCode;

use crate::metrics;
use crate::peers::{Link, Message, Owner, PeerId, PeerRecord, ToldLimit};
use crate::traffic::Traffic;

/// How long an entry waits for a target's record to say what its answer said, before it
/// has the others told: a record takes at most the pause of a watch (an eighth of the time
/// within which a leaving target has to be heeded, 250 to 625 ms) and two hops. While the
/// store answers nothing is told.
const RECORD_WITHIN: Duration = Duration::from_millis(700);

/// Takes what the head of an answer says of its target; it answers a request that was sent
/// at `asked`, or later.
pub fn take(
    cx: &Rc<Traffic>,
    target: &Target,
    status: StatusCode,
    head: &TargetHead,
    asked: Millis,
) {
    let start = target.incarnation();
    // Another start wrote it: this one has ended, and what else it says is of that one.
    if status == OTHER_INCARNATION {
        take_out(cx, start, "another_start_answers");
        return;
    }
    log_odd_words(cx, start, head);
    if head.is_leaving {
        take_out(cx, start, "answer");
    }
    let per_s = match head.limit {
        NamedLimit::Absent => Some(None),
        NamedLimit::PerSecond(per_s) => Some(Some(per_s)),
        NamedLimit::Unreadable => None,
    };
    if let Some(per_s) = per_s {
        let heard = cx.clock.now();
        let word = LimitWord {
            per_s,
            asked,
            heard,
        };
        if take_limit(cx, start, word, "answer") {
            have_limit_told_spaced(cx, start);
        }
    }
    let rest = head
        .retry_after
        .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(rest) = rest.filter(|rest| cx.target_rests(start, *rest)) {
        let fields = format_args!("target={} for_ms={}", start.id, rest.as_millis());
        cx.log.line(events::TARGET_RESTS, fields);
    }
}

/// Says which words of an answer can't be read, or aren't known: what was known before
/// stays. Each of a target is told once in a while.
fn log_odd_words(cx: &Traffic, start: &Incarnation, head: &TargetHead) {
    for UnreadableWord { word, text } in &head.unreadable {
        metrics::count_odd_word(word);
        if cx.is_odd_word_due(start, word) {
            let fields = format_args!("target={} word={word} text=\"{text}\"", start.id);
            cx.log.line(events::TARGET_WORD_UNREADABLE, fields);
        }
    }
    for word in &head.unknown {
        metrics::count_odd_word(word);
        if cx.is_odd_word_due(start, word) {
            let fields = format_args!("target={} word={word}", start.id);
            cx.log.line(events::TARGET_WORD_UNKNOWN, fields);
        }
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

/// A start names a limit, or none, by an answer of its own or by a peer's word. True when
/// its limit is another one now.
fn take_limit(cx: &Rc<Traffic>, start: &Incarnation, word: LimitWord, by: &str) -> bool {
    let is_news = cx.target_names_limit(start, word);
    if is_news {
        log_limit(cx, start, word, by);
    }
    is_news
}

/// Has all entries told what a start says of its limit, once a pause after the last time.
fn have_limit_told_spaced(cx: &Rc<Traffic>, start: &Incarnation) {
    match cx.limit_news.changed(cx.clock.now(), start) {
        Tell::Now => have_limit_told(cx, start),
        Tell::At(at) => {
            let (cx, start) = (cx.clone(), start.clone());
            actix_rt::spawn(async move {
                tokio::time::sleep_until(cx.clock.timer(at).into()).await;
                cx.limit_news.told(cx.clock.now(), &start);
                have_limit_told(&cx, &start);
            });
        }
        Tell::IsDue => {}
    }
}

fn have_limit_told(cx: &Rc<Traffic>, start: &Incarnation) {
    let Some(word) = cx.targets().limit_word(start) else {
        return;
    };
    match coordinator_of(cx, start) {
        Owner::Me => tell_limit_to_all(cx, start),
        Owner::Peer(link) => link.send(limit_message(cx, start, word, true)),
    }
}

/// Tells every other entry what a start says of its limit.
pub fn tell_limit_to_all(cx: &Rc<Traffic>, start: &Incarnation) {
    let Some(word) = cx.targets().limit_word(start) else {
        return;
    };
    for link in cx.peers.links_to_all(cx) {
        link.send(limit_message(cx, start, word, false));
    }
}

/// A peer says what a target says of its limit, and that this entry is to tell all others
/// or not.
pub fn told_limit(cx: &Rc<Traffic>, start: &Incarnation, told: ToldLimit, tell_others: bool) {
    let now = cx.clock.now();
    let word = LimitWord {
        per_s: told.per_s,
        asked: now.saturating_sub(told.asked_ms),
        heard: now.saturating_sub(told.heard_ms),
    };
    if take_limit(cx, start, word, "peer") && tell_others {
        have_limit_told_spaced(cx, start);
    }
}

/// Tells an entry that sends to a target for this one, now and then, what the target says
/// of its limit.
pub fn repeat_limit(cx: &Traffic, target: &Target, to: &Rc<Link>) {
    let word = cx.targets().limit_to_repeat(cx.clock.now(), target);
    if let Some(word) = word {
        to.send(limit_message(cx, target.incarnation(), word, false));
    }
}

/// Tells entries that have just come which limits are in force, as far as this one told for
/// their targets before they came: a new entry may be the next that tells for a target.
pub fn tell_new_peers(cx: &Rc<Traffic>, new_peers: &[&PeerRecord]) {
    let limited = cx.targets().limited();
    let ids: Vec<PeerId> = new_peers.iter().map(|peer| peer.id).collect();
    for (start, word) in limited {
        let name = coordination_name(&start);
        if !cx.peers.is_mine_without(cx, &name, &ids) {
            continue;
        }
        let others = new_peers.iter().filter(|peer| peer.id != cx.me.id);
        for peer in others {
            let link = cx.peers.link_to(cx, peer);
            link.send(limit_message(cx, &start, word, false));
        }
    }
}

fn limit_message(cx: &Traffic, start: &Incarnation, word: LimitWord, tell_others: bool) -> Message {
    let now = cx.clock.now();
    Message::TargetLimit {
        target: start.clone(),
        limit: ToldLimit {
            per_s: word.per_s,
            asked_ms: now.saturating_sub(word.asked),
            heard_ms: now.saturating_sub(word.heard),
        },
        tell_others,
    }
}

/// The one entry that tells all others what a start says of itself.
fn coordinator_of(cx: &Rc<Traffic>, start: &Incarnation) -> Owner {
    cx.peers.owner_of(cx, &coordination_name(start))
}

/// By which the one entry is found that tells what a start says of itself.
fn coordination_name(start: &Incarnation) -> String {
    format!("words/{}", start.id)
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
    if cx.view().targets.leaving.contains(&start) {
        return;
    }
    match coordinator_of(&cx, &start) {
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

fn log_limit(cx: &Traffic, start: &Incarnation, word: LimitWord, by: &str) {
    let now = cx.clock.now();
    let per_s = word
        .per_s
        .map_or("none".to_string(), |per_s| per_s.to_string());
    let (asked, heard) = (
        now.saturating_sub(word.asked),
        now.saturating_sub(word.heard),
    );
    let fields = format_args!(
        "target={} born={} per_s={per_s} asked_ms={asked} heard_ms={heard} by={by}",
        start.id, start.born,
    );
    cx.log.line(events::TARGET_LIMIT, fields);
}

fn log_leaving(cx: &Traffic, start: &Incarnation, by: &str) {
    let fields = format_args!("target={} born={} by={by}", start.id, start.born);
    cx.log.line(events::TARGET_LEAVES, fields);
}
