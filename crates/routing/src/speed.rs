//! Speed of a target: how long its work takes in relation to the usual duration.
//!
//! Two sources are combined. A report of the target counts fully when it is new and not at all
//! after [`REPORT_TTL_MS`]. Answers move a lasting estimate: one close to it adjusts it, and
//! others replace it once they have deviated for longer than [`NOISE_MS`]. Noise therefore
//! affects choices while it lasts, through reports, and not afterwards.

use crate::Millis;

/// Age from which on a report doesn't count, in milliseconds: speeds change within seconds.
pub const REPORT_TTL_MS: Millis = 500;
/// Longest duration of noise, in milliseconds.
const NOISE_MS: Millis = 500;
/// Answers that have to deviate before the lasting estimate changes.
const MIN_DEVIATING_ANSWERS: u32 = 3;
/// Ratio to the lasting estimate within which an answer doesn't deviate from it.
const TOLERANCE: f64 = 1.3;
/// Weight of an answer that doesn't deviate.
const ANSWER_WEIGHT: f64 = 0.2;
/// Time without answers from which on the lasting estimate returns towards usual, in
/// milliseconds: a slow target that gets no work must be tried again.
const IDLE_MS: Millis = 2_000;
/// Time in which the distance from usual halves then, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;
/// Bound of the slowness in both directions; keeps one report from blocking a target.
const MAX_SLOWNESS: f64 = 20.0;

/// Answers that deviate from the lasting estimate in one direction.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Deviation {
    since: Millis,
    answers: u32,
    log_sum: f64,
}

/// Estimated speed of one target. Slowness is 1 where work takes as long as usual, 2 where it
/// takes twice as long.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetSpeed {
    /// Logarithm of the lasting slowness.
    lasting: f64,
    /// Time of the last answer.
    answered_at: Millis,
    deviation: Option<Deviation>,
    /// Logarithm of the last reported slowness, and when it was received.
    report: Option<(f64, Millis)>,
}

impl TargetSpeed {
    /// Sets the lasting slowness to one known elsewhere, as at the previous owner of a queue.
    pub fn carry_over(&mut self, slowness: f64, now: Millis) {
        self.lasting = log_of(slowness);
        self.answered_at = now;
    }

    /// Records an answer that took `actual_ms` where `expected_ms` is usual.
    pub fn record_answer(&mut self, actual_ms: f64, expected_ms: f64, now: Millis) {
        let log = log_of(actual_ms.max(1.0) / expected_ms.max(1.0));
        self.lasting = self.lasting_at(now);
        self.answered_at = now;
        let difference = log - self.lasting;
        if difference.abs() <= TOLERANCE.ln() {
            self.lasting += ANSWER_WEIGHT * difference;
            self.deviation = None;
            return;
        }
        let before = self.deviation.filter(|deviation| {
            let mean = deviation.log_sum / f64::from(deviation.answers);
            (mean > self.lasting) == (difference > 0.0)
        });
        let deviation = Deviation {
            since: before.map_or(now, |before| before.since),
            answers: before.map_or(0, |before| before.answers) + 1,
            log_sum: before.map_or(0.0, |before| before.log_sum) + log,
        };
        let lasts = now.saturating_sub(deviation.since) >= NOISE_MS;
        self.deviation = Some(deviation);
        if lasts && deviation.answers >= MIN_DEVIATING_ANSWERS {
            self.lasting = deviation.log_sum / f64::from(deviation.answers);
            self.deviation = None;
        }
    }

    /// Records a report received at `received_at`: `percent` is 100 where work takes as long
    /// as usual.
    pub fn record_report(&mut self, percent: u32, received_at: Millis) {
        let is_newer = self.report.is_none_or(|(_, known)| received_at >= known);
        if is_newer {
            self.report = Some((log_of(f64::from(percent) / 100.0), received_at));
        }
    }

    /// True when the target has reported its speed at any time.
    pub fn has_report(&self) -> bool {
        self.report.is_some()
    }

    /// Expected duration of work in relation to the usual one.
    pub fn slowness(&self, now: Millis) -> f64 {
        let lasting = self.lasting_at(now);
        let log = self.report.map_or(lasting, |(reported, received_at)| {
            lasting + report_weight(now, received_at) * (reported - lasting)
        });
        log.exp()
    }

    fn lasting_at(&self, now: Millis) -> f64 {
        let idle_ms = now.saturating_sub(self.answered_at + IDLE_MS) as f64;
        self.lasting * 0.5_f64.powf(idle_ms / HALF_LIFE_MS)
    }
}

/// Weight of a report by its age, from 1 to 0.
pub fn report_weight(now: Millis, received_at: Millis) -> f64 {
    let age_ms = now.saturating_sub(received_at);
    1.0 - age_ms.min(REPORT_TTL_MS) as f64 / REPORT_TTL_MS as f64
}

/// Logarithm of a slowness; one that isn't a number, from a peer, counts as usual.
fn log_of(slowness: f64) -> f64 {
    if slowness.is_nan() {
        return 0.0;
    }
    let bounded = slowness.clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS);
    bounded.ln()
}
