//! The latest rate limit that a target reported, merged from the answers to all entries.
//!
//! Answers overtake each other, and a report relayed by a peer arrives later than a direct
//! one. Each report therefore carries the interval within which it was written. Of all
//! reports that may be the newest, the strictest applies; a more permissive one applies only
//! once it answers a request that was sent after all stricter ones had been received.

use hollowsail_routing::Millis;

/// How long the end of a limit is kept, in milliseconds: an earlier answer may be on its way,
/// or be relayed by a peer, for this long.
const LIMIT_END_RETENTION_MS: Millis = 60_000;
/// How long the end of a limit is sent again to the entries that dispatch for others, in
/// milliseconds.
const LIMIT_END_REPEAT_MS: Millis = 5_000;
/// Maximum number of different limits kept of those that may be the newest. A target that
/// reports another limit in each answer has as many as there are answers under way.
const MAX_REPORTS: usize = 16;

/// What a target's limit bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LimitKind {
    /// Requests that it accepts.
    Requests,
    /// Requests that it refuses for want of room; it fails when it has to refuse more.
    Refusals,
}

impl LimitKind {
    pub const ALL: [LimitKind; 2] = [LimitKind::Requests, LimitKind::Refusals];
}

/// The limit that one answer reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitReport {
    pub kind: LimitKind,
    /// Requests per second from all entries together; `None` for no limit.
    pub per_s: Option<f64>,
    /// When the answered request was sent: the report was written no earlier.
    pub sent_at: Millis,
    /// When the answer was received: the report was written no later.
    pub received_at: Millis,
}

impl LimitReport {
    /// Requests per second that it allows; infinite without a limit.
    fn rate(&self) -> f64 {
        self.per_s.unwrap_or(f64::INFINITY)
    }

    /// True when it was certainly written after `other`.
    fn is_newer_than(&self, other: &LimitReport) -> bool {
        self.sent_at >= other.received_at
    }

    /// True while it is sent again to entries that may not have received it.
    pub(crate) fn is_repeated(&self, now: Millis) -> bool {
        self.per_s.is_some() || now < self.received_at + LIMIT_END_REPEAT_MS
    }
}

/// The reports of one incarnation that may be the newest, one for each limit, strictest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct LimitReports {
    reports: Vec<LimitReport>,
}

impl LimitReports {
    /// Adds a report. Returns true when the limit in force changed.
    pub fn add(&mut self, report: LimitReport) -> bool {
        let before = self.limit();
        if self
            .reports
            .iter()
            .any(|known| known.is_newer_than(&report))
        {
            return false;
        }
        self.reports.retain(|known| !report.is_newer_than(known));
        let mut same = self.reports.iter_mut();
        match same.find(|known| known.per_s == report.per_s) {
            Some(known) => {
                known.sent_at = known.sent_at.max(report.sent_at);
                // The end of a limit is repeated and kept from its first report on.
                if known.per_s.is_some() {
                    known.received_at = known.received_at.max(report.received_at);
                }
            }
            None => self.reports.push(report),
        }
        self.reports.sort_by(|a, b| a.rate().total_cmp(&b.rate()));
        self.reports.truncate(MAX_REPORTS);
        self.limit() != before
    }

    /// The report in force; `None` before the first.
    pub fn current(&self) -> Option<LimitReport> {
        self.reports.first().copied()
    }

    /// The limit in force, in requests per second.
    pub fn limit(&self) -> Option<f64> {
        self.current()?.per_s
    }

    /// Drops the end of a limit after its retention time.
    pub fn expire(&mut self, now: Millis) {
        let is_expired = |report: &LimitReport| {
            report.per_s.is_none() && now >= report.received_at + LIMIT_END_RETENTION_MS
        };
        if self.current().as_ref().is_some_and(is_expired) {
            self.reports.clear();
        }
    }
}
