//! What targets report of themselves, however it was received.
//!
//! | report | accepted from | takes precedence over | valid until |
//! |---|---|---|---|
//! | draining | the target's record, its own answer, a peer that received either | every record of the same or an earlier incarnation, also a later record that says ready | the incarnation ends |
//! | crashed | an answer of another incarnation at its address, a peer that received one | the same | the same |
//! | backing off | an answer that rejects work; for this entry alone | a shorter backoff | the backoff is over |
//! | limits for all entries together, on requests and on refusals | the target's own answer, a peer that received one | see [`LimitReport`] | the incarnation ends, or an answer reports no limit |
//!
//! Reports are kept by target id and incarnation, not by record: a record may expire while the
//! store is unavailable and reappear unchanged.

use std::collections::HashMap;

use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::Millis;

use crate::limit_report::{LimitKind, LimitReport, LimitReports};

/// How long reports of an unlisted target are kept, in milliseconds. Exceeds both the time
/// that a draining target still serves and a store outage.
const RETENTION_MS: Millis = 3_600_000;

/// The reports of a target's latest incarnation that sent any.
#[derive(Debug, Clone)]
struct TargetReport {
    /// Time of start, which identifies the incarnation; later ones have larger numbers.
    started: u64,
    is_draining: bool,
    /// No work is sent to it before this time.
    backoff_until: Millis,
    /// Time of the last report.
    updated: Millis,
    /// This entry has broadcast that it is draining.
    is_broadcast: bool,
    /// By kind; empty until the first limit is reported.
    limits: [LimitReports; LimitKind::ALL.len()],
}

/// Reports by target id.
#[derive(Debug, Clone, Default)]
pub struct TargetReports {
    reports: HashMap<String, TargetReport>,
    /// End of the latest backoff of any target.
    last_backoff_end: Millis,
}

impl TargetReports {
    /// Records that an incarnation is draining. Returns true when that wasn't known.
    pub fn record_draining(&mut self, now: Millis, incarnation: &Incarnation) -> bool {
        self.update(now, incarnation, |report| {
            !std::mem::replace(&mut report.is_draining, true)
        })
    }

    /// Records that an incarnation requested a backoff from this entry. Returns true when it
    /// ends later than the one known before.
    pub fn record_backoff(
        &mut self,
        now: Millis,
        incarnation: &Incarnation,
        backoff_ms: Millis,
    ) -> bool {
        let until = now.saturating_add(backoff_ms);
        self.last_backoff_end = self.last_backoff_end.max(until);
        self.update(now, incarnation, |report| {
            let is_longer = until > report.backoff_until;
            report.backoff_until = report.backoff_until.max(until);
            is_longer
        })
    }

    /// Records the limit that an incarnation reported, or that it reported none. Returns true
    /// when the limit in force changed.
    pub fn record_limit(
        &mut self,
        now: Millis,
        incarnation: &Incarnation,
        limit: LimitReport,
    ) -> bool {
        // Most answers come from targets that never reported a limit: nothing is stored.
        let known = self.limit_report(incarnation, limit.kind);
        let is_redundant = limit.per_s.is_none() && known.is_none();
        let add = |known: &mut TargetReport| known.limits[limit.kind as usize].add(limit);
        !is_redundant && self.update(now, incarnation, add)
    }

    /// The limit report in force for an incarnation, if it reported a limit recently.
    pub fn limit_report(&self, incarnation: &Incarnation, kind: LimitKind) -> Option<LimitReport> {
        let report = self.reports.get(&incarnation.id)?;
        let report = (report.started == incarnation.started).then_some(report)?;
        report.limits[kind as usize].current()
    }

    /// The limit in force for an incarnation, in requests per second of all entries together.
    pub fn limit(&self, incarnation: &Incarnation, kind: LimitKind) -> Option<f64> {
        self.limit_report(incarnation, kind)?.per_s
    }

    /// The incarnations with a limit in force, with its report.
    pub fn limited(&self) -> impl Iterator<Item = (Incarnation, LimitReport)> + '_ {
        self.reports.iter().flat_map(|(id, report)| {
            let current = report.limits.iter().filter_map(LimitReports::current);
            let in_force = current.filter(|limit| limit.per_s.is_some());
            in_force.map(|limit| {
                let incarnation = Incarnation {
                    id: id.clone(),
                    started: report.started,
                };
                (incarnation, limit)
            })
        })
    }

    /// Updates the report of an incarnation; ignored when a later incarnation has reported.
    fn update(
        &mut self,
        now: Millis,
        incarnation: &Incarnation,
        update: impl FnOnce(&mut TargetReport) -> bool,
    ) -> bool {
        let empty = TargetReport {
            started: incarnation.started,
            is_draining: false,
            backoff_until: 0,
            updated: now,
            is_broadcast: false,
            limits: Default::default(),
        };
        let report = self.reports.entry(incarnation.id.clone());
        let report = report.or_insert_with(|| empty.clone());
        if incarnation.started < report.started {
            return false;
        }
        if incarnation.started > report.started {
            *report = empty;
        }
        report.updated = now;
        update(report)
    }

    /// True when an incarnation gets no new work any more: it is draining, or a later one has
    /// reported.
    pub fn is_draining(&self, incarnation: &Incarnation) -> bool {
        let report = self.reports.get(&incarnation.id);
        report.is_some_and(|report| match report.started == incarnation.started {
            true => report.is_draining,
            false => incarnation.started < report.started,
        })
    }

    /// The draining incarnations, those with the latest reports first.
    pub fn draining(&self) -> Vec<Incarnation> {
        let reports = self.reports.iter();
        let mut draining: Vec<(&String, &TargetReport)> =
            reports.filter(|(_, report)| report.is_draining).collect();
        draining.sort_by_key(|(_, report)| std::cmp::Reverse(report.updated));
        let incarnation = |(id, report): (&String, &TargetReport)| Incarnation {
            id: id.clone(),
            started: report.started,
        };
        draining.into_iter().map(incarnation).collect()
    }

    /// Marks a draining incarnation as broadcast to the other entries. Returns true the first
    /// time, and false for one that isn't draining.
    pub fn mark_broadcast(&mut self, incarnation: &Incarnation) -> bool {
        let report = self.reports.get_mut(&incarnation.id);
        let report =
            report.filter(|report| report.started == incarnation.started && report.is_draining);
        report.is_some_and(|report| !std::mem::replace(&mut report.is_broadcast, true))
    }

    /// False when no target is backing off; true doesn't prove that one is.
    pub fn any_backing_off(&self, now: Millis) -> bool {
        now < self.last_backoff_end
    }

    /// End of an incarnation's backoff from this entry; `None` when there is none now.
    pub fn backoff_until(&self, now: Millis, incarnation: &Incarnation) -> Option<Millis> {
        if !self.any_backing_off(now) {
            return None;
        }
        let report = self.reports.get(&incarnation.id)?;
        let is_backing_off = report.started == incarnation.started && now < report.backoff_until;
        is_backing_off.then_some(report.backoff_until)
    }

    /// Drops old reports of targets that aren't listed any more, and expired limit reports.
    pub fn expire(&mut self, now: Millis, is_listed: impl Fn(&str) -> bool) {
        for report in self.reports.values_mut() {
            report.limits.iter_mut().for_each(|limit| limit.expire(now));
        }
        self.reports.retain(|id, report| {
            now < report.updated.saturating_add(RETENTION_MS) || is_listed(id)
        });
    }

    /// Number of targets with reports.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
