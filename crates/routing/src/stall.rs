//! Whether a target stands still, by the sends to it that were given up.
//!
//! A process that runs closes the connections of requests that nobody waits for any more. One that
//! stands still keeps them, and everything else that it is sent, so it gets no more than a probe
//! now and then until it has closed them or answered something. A send that may be held by a link
//! of this host says nothing of the target, and an answer says nothing of the send.

use crate::repeats::TrackedSend;
use crate::Millis;

/// How long a target may take to close the connection of a request that was given up, in
/// milliseconds, above the round trip between the farthest regions.
const CLOSE_MS: Millis = 50;
/// Time from then until the first probe, in milliseconds; doubles with each one.
const PROBE_MS: Millis = 500;
/// The same while a connection is open that the target closes when it goes on.
const WATCHED_PROBE_MS: Millis = 4_000;
/// Maximum time between probes, in milliseconds.
const MAX_PROBE_MS: Millis = 8_000;

/// Sends to one target that were given up, unless a link of this host may hold them.
#[derive(Debug, Clone, Default)]
pub struct Stall {
    abandoned: Vec<TrackedSend>,
    probes: u32,
    /// Time of the last probe.
    probed_at: Millis,
    /// Time of the last answer.
    answered_at: Millis,
}

impl Stall {
    /// Records that a send was given up.
    pub fn record_abandoned(&mut self, now: Millis, send: &TrackedSend) {
        self.abandoned.retain(|send| !send.is_settled(now));
        if self.abandoned.is_empty() {
            self.probes = 0;
        }
        self.abandoned.push(send.clone());
    }

    /// Records that a request is sent; while the target stands still it is a probe.
    pub fn record_sent(&mut self, now: Millis) {
        if self.since(now).is_some() {
            self.probes += 1;
            self.probed_at = now;
        }
    }

    /// Records that this host has lost its links: what it sent directly may be held there.
    pub fn record_links_lost(&mut self) {
        self.abandoned.retain(TrackedSend::is_relayed);
    }

    /// Records that the target answered a request that was sent at `sent_at`, directly or through
    /// another host. What was sent directly has arrived only if the answer came directly, too.
    pub fn record_answered(&mut self, now: Millis, sent_at: Millis, is_relayed: bool) {
        if !is_relayed {
            let abandoned = self.abandoned.iter();
            abandoned.for_each(|send| send.target_answered(sent_at));
        }
        // What was given up before, and may wait at a relay, says nothing of the target any more.
        let is_later = |send: &TrackedSend| send.abandoned_at(now).is_some_and(|at| at >= sent_at);
        self.abandoned.retain(is_later);
        self.probes = 0;
        self.answered_at = now;
    }

    /// When the target last answered; 0 before its first answer.
    pub fn answered_at(&self) -> Millis {
        self.answered_at
    }

    /// Until when the target should get nothing; `None` while it runs or may be probed.
    pub fn until(&self, now: Millis) -> Option<Millis> {
        let since = self.since(now)?;
        let is_watched = self.abandoned.iter().any(TrackedSend::is_watched);
        let first = match is_watched {
            true => WATCHED_PROBE_MS,
            false => PROBE_MS,
        };
        let interval = (first << self.probes.min(u8::BITS)).min(MAX_PROBE_MS);
        let until = since.max(self.probed_at) + interval;
        (until > now).then_some(until)
    }

    /// Since when it stands still.
    fn since(&self, now: Millis) -> Option<Millis> {
        let abandoned = self.abandoned.iter();
        let oldest = abandoned.filter_map(|send| send.abandoned_at(now)).min()?;
        let since = oldest + CLOSE_MS;
        (since <= now).then_some(since)
    }
}
