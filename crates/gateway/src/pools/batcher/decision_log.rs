//! Logs what a queue decides on requests for capacity, while it refuses some: the totals of the
//! queue each second, and its use by flow less often.

use std::fmt::Write;

use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_routing::Millis;
use hollowsail_stages::{BatchQueue, RefusalCause, RoomDecision};

use crate::metrics;
use crate::traffic::Traffic;

/// Interval between log lines on the totals of a queue, in milliseconds.
const TOTALS_INTERVAL_MS: Millis = 1_000;
/// Interval between log lines on the use of a queue by flow, in milliseconds.
const FLOWS_INTERVAL_MS: Millis = 5_000;
/// Flows in a log line, those that offer most first.
const MAX_LOGGED_FLOWS: usize = 12;

/// Decisions that aren't logged yet.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    /// Since the last line on totals.
    decisions: Decisions,
    totals_written: Millis,
    /// Refusals since the last line on flows.
    refusals: u32,
    flows_written: Millis,
}

/// Requests by decision.
#[derive(Debug, Clone, Copy, Default)]
struct Decisions {
    admitted: u32,
    full: u32,
    over_share: u32,
    too_early: u32,
}

impl Decisions {
    fn refused(&self) -> u32 {
        self.full + self.over_share + self.too_early
    }
}

impl DecisionLog {
    pub fn count(&mut self, decision: &RoomDecision) {
        let count = match decision {
            RoomDecision::Reserved(_) => &mut self.decisions.admitted,
            RoomDecision::Refused(refusal) => {
                self.refusals += 1;
                match refusal.cause {
                    RefusalCause::Full => &mut self.decisions.full,
                    RefusalCause::OverShare => &mut self.decisions.over_share,
                    RefusalCause::TooEarly => &mut self.decisions.too_early,
                }
            }
        };
        *count += 1;
    }

    /// True if there are refusals to log.
    pub fn has_refusals(&self) -> bool {
        self.refusals + self.decisions.refused() > 0
    }

    /// Writes the lines that are due.
    pub fn write_due<T>(&mut self, cx: &Traffic, name: &str, queue: &BatchQueue<T>, now: Millis) {
        if now >= self.totals_written + TOTALS_INTERVAL_MS {
            self.totals_written = now;
            let decisions = std::mem::take(&mut self.decisions);
            write_totals(cx, name, queue, decisions, now);
        }
        if self.refusals > 0 && now >= self.flows_written + FLOWS_INTERVAL_MS {
            self.flows_written = now;
            write_flows(cx, name, queue, std::mem::take(&mut self.refusals), now);
        }
    }
}

fn write_totals<T>(
    cx: &Traffic,
    name: &str,
    queue: &BatchQueue<T>,
    decisions: Decisions,
    now: Millis,
) {
    let totals = queue.room_totals(now);
    metrics::set_room_totals(name, &totals);
    if decisions.refused() == 0 {
        return;
    }
    cx.log.line(
        events::ROOM_TOTALS,
        format_args!(
            "queue={} admitted={} full={} over_share={} too_early={} flows={} capacity={:.0} \
             calibration={:.2} offered={:.0} entitled={:.0} waiting={:.0} reserved={:.0} \
             held={:.0} returned={} lapsed={} claimed={:.0} claimed_per_s={:.0} workers={} \
             busy={} no_memory={} backing_off={} slow={} (requests; pieces; pieces per second)",
            Field(&name),
            decisions.admitted,
            decisions.full,
            decisions.over_share,
            decisions.too_early,
            totals.flows,
            totals.capacity_per_s,
            totals.calibration,
            totals.offered_per_s,
            totals.entitled_per_s,
            totals.waiting,
            totals.reserved,
            totals.held,
            totals.returned,
            totals.lapsed,
            totals.claimed,
            totals.claimed_per_s,
            totals.workers.all,
            totals.workers.busy,
            totals.workers.without_memory,
            totals.workers.backing_off,
            totals.workers.slow
        ),
    );
}

fn write_flows<T>(cx: &Traffic, name: &str, queue: &BatchQueue<T>, refusals: u32, now: Millis) {
    let mut flows = queue.room_by_flow(now);
    flows.sort_by(|a, b| b.offered_per_s.total_cmp(&a.offered_per_s));
    let mut text = String::new();
    for room in flows.iter().take(MAX_LOGGED_FLOWS) {
        let organisation = cx
            .reservations
            .organisation_name(cx, room.flow.organisation);
        // Writing to a string can't fail.
        let _written = write!(
            text,
            "{}{}/{organisation}:{:.0}/{:.0}/{}",
            if text.is_empty() { "" } else { "," },
            room.flow.urgency,
            room.offered_per_s,
            room.entitled_per_s,
            room.reserved
        );
    }
    cx.log.line(
        events::ROOM_BY_FLOW,
        format_args!(
            "queue={} refused={refusals} flows=\"{text}\" \
             (urgency/organisation:offered/entitled/reserved, pieces per second)",
            Field(&name)
        ),
    );
}
