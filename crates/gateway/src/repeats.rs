//! The budgets of repeated work, by service: the one place that grants a second send.
//!
//! Every send to a target takes a permit ([`hollowsail_routing::repeats`]). [`Repeats`] permits the
//! first send of each request or piece, and each repeat that is within this host's share; it logs and
//! counts every repeat that it grants or refuses.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

use hollowsail_fleet::known_hosts::COUNTED_FOR_MS;
use hollowsail_fleet::{KnownHosts, Position};
use hollowsail_observe::events;
use hollowsail_platform::pieces::Piece;
use hollowsail_platform::settings::Bounds;
use hollowsail_routing::repeats::{
    BudgetRules, Claim, EarlierRuns, RepeatBudget, RepeatReason, SendPermit, Work,
};
use hollowsail_routing::Millis;

use crate::log::Log;
use crate::metrics;

/// How much later than it is sent work may reach its target, in milliseconds.
const ARRIVAL_MS: Millis = 1_000;

/// Work that is to be sent again.
#[derive(Debug, Clone, Copy)]
pub struct Repeat<'a> {
    pub service: &'a str,
    pub request: &'a str,
    /// Stage and piece; `None` for the request itself.
    pub piece: Option<(u16, u32)>,
    /// Its earlier sends.
    pub work: &'a Work,
    pub reason: RepeatReason,
}

impl<'a> Repeat<'a> {
    /// A piece that is to be sent to a worker of the service again.
    pub fn of_piece(
        service: &'a str,
        piece: &'a Piece,
        work: &'a Work,
        reason: RepeatReason,
    ) -> Self {
        Repeat {
            service,
            request: &piece.request_id,
            piece: Some((piece.stage, piece.piece)),
            work,
            reason,
        }
    }
}

impl fmt::Display for Repeat<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Repeat {
            service, request, ..
        } = self;
        write!(f, "service={service} request={request}")?;
        if let Some((stage, piece)) = self.piece {
            write!(f, " stage={stage} piece={piece}")?;
        }
        write!(f, " why={}", self.reason.name())
    }
}

/// Earlier runs in a log line, with a question mark if one may be missing.
struct DisplayRuns(Option<EarlierRuns>);

impl fmt::Display for DisplayRuns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            None => f.write_str("unknown"),
            Some(EarlierRuns {
                known,
                may_miss_one,
            }) => write!(f, "{known}{}", if may_miss_one { "?" } else { "" }),
        }
    }
}

/// Budgets of all services, and the hosts that share them.
#[derive(Default)]
pub struct Repeats {
    /// By service name.
    budgets: RefCell<HashMap<String, RepeatBudget>>,
    /// What each service got since the last report.
    tallies: RefCell<BTreeMap<String, Tally>>,
    hosts: RefCell<KnownHosts>,
    standing: Cell<Standing>,
    /// Since when the store doesn't answer this host; peers may forget it some time later.
    unreachable_since: Cell<Option<Millis>>,
}

/// Sends to a service in a window.
#[derive(Debug, Default)]
struct Tally {
    /// Requests of callers, which earn repeats.
    requests: u64,
    granted: u64,
    refused: u64,
}

/// What entitles this process to its host's share.
#[derive(Debug, Clone, Copy, Default)]
pub struct Standing {
    /// Earlier runs on this host that may have used its share lately; `None` before any list of them
    /// that can be relied on.
    pub earlier_runs: Option<EarlierRuns>,
    /// Its own record is in the store, by which later runs know of it.
    pub is_recorded: bool,
}

impl Repeats {
    /// Applies a list of the hosts that have a record.
    pub fn update_hosts<'a>(&self, now: Millis, listed: impl Iterator<Item = &'a str>) {
        self.hosts.borrow_mut().update(now, listed);
    }

    /// Applies what entitles this process to its host's share.
    pub fn update_standing(&self, standing: Standing) {
        self.standing.set(standing);
    }

    /// Applies whether the store answers this host.
    pub fn update_store(&self, now: Millis, is_reachable: bool) {
        let since = self.unreachable_since.get().unwrap_or(now);
        self.unreachable_since.set((!is_reachable).then_some(since));
    }

    /// Permits the first send of a caller's request, and counts the request.
    pub fn permit_request(&self, now: Millis, bounds: &Bounds, service: &str) -> SendPermit {
        self.tally(service, |tally| tally.requests += 1);
        self.with_budget(service, |budget| {
            budget.first_of_request(now, rules(bounds))
        })
    }

    /// Permits a repeat; `None` if this host's share is used up.
    pub fn grant(
        &self,
        now: Millis,
        bounds: &Bounds,
        log: &Log,
        repeat: &Repeat<'_>,
    ) -> Option<SendPermit> {
        let share = self.share(now, bounds);
        let (permit, left, held) = self.with_budget(repeat.service, |budget| {
            let permit = budget.repeat(now, rules(bounds), share, repeat.reason, repeat.work);
            (
                permit,
                budget.left(now, rules(bounds), share),
                budget.held(),
            )
        });
        let (event, result) = match &permit {
            Some(_) => (events::REPEATED, "granted"),
            None => (events::REPEAT_REFUSED, "refused"),
        };
        self.tally(repeat.service, |tally| match &permit {
            Some(_) => tally.granted += 1,
            None => tally.refused += 1,
        });
        let work = match repeat.piece {
            Some(_) => "piece",
            None => "request",
        };
        metrics::count_repeat(repeat.service, work, repeat.reason.name(), result);
        let hosts = self.hosts.borrow().count(now).unwrap_or(0);
        let unsettled = repeat.work.unsettled(now);
        let fields = format_args!(
            "{repeat} left={left:.2} share={share:.2} hosts={hosts} unsettled={unsettled} \
             held={held}"
        );
        log.line(event, fields);
        permit
    }

    /// Records that a peer was told that its piece failed, of which sends may still arrive.
    pub fn hold_for_peer(&self, now: Millis, service: &str, work: &Work) {
        if work.unsettled(now) > 0 {
            self.with_budget(service, |budget| budget.hold_for_others(now, work));
        }
    }

    /// Repeats that this process may charge to the fixed allowance in a window.
    fn share(&self, now: Millis, bounds: &Bounds) -> f64 {
        let standing = self.standing.get();
        let is_counted = match self.unreachable_since.get() {
            Some(since) => now < since + COUNTED_FOR_MS,
            None => true,
        };
        let is_entitled = is_counted && standing.is_recorded;
        let hosts = self.hosts.borrow().count(now).filter(|_| is_entitled);
        let (Some(earlier_runs), Some(hosts)) = (standing.earlier_runs, hosts) else {
            return 0.0;
        };
        let claim = Claim {
            running_ms: now,
            earlier_runs,
            hosts,
        };
        claim.share(bounds.retry_extra, rules(bounds))
    }

    /// Logs what the services with repeats got since the last report, and begins anew. `listed` is the
    /// position of the list of hosts, and its age.
    pub fn report(
        &self,
        now: Millis,
        bounds: &Bounds,
        log: &Log,
        listed: Option<(Position, Millis)>,
    ) {
        let Standing {
            earlier_runs,
            is_recorded,
        } = self.standing.get();
        let share = self.share(now, bounds);
        let hosts = self.hosts.borrow().count(now).unwrap_or(0);
        let (hosts_at, hosts_age_ms) = listed.unwrap_or_default();
        metrics::set_repeat_share(share, hosts);
        let mut budgets = self.budgets.borrow_mut();
        for (service, budget) in budgets.iter_mut() {
            budget.update(now, rules(bounds));
            metrics::set_held_repeats(service, budget.held());
            metrics::set_charged_repeats(service, budget.charged());
        }
        drop(budgets);
        let tallies = self.tallies.take();
        let with_repeats = tallies
            .into_iter()
            .filter(|(_, tally)| tally.granted + tally.refused > 0);
        for (service, tally) in with_repeats {
            let (left, held, charged) = self.with_budget(&service, |budget| {
                let left = budget.left(now, rules(bounds), share);
                (left, budget.held(), budget.charged())
            });
            let Tally {
                requests,
                granted,
                refused,
            } = tally;
            let fields = format_args!(
                "service={service} requests={requests} granted={granted} refused={refused} \
                 left={left:.2} held={held} charged={charged:.2} share={share:.2} hosts={hosts} \
                 hosts_at={hosts_at} hosts_age_ms={hosts_age_ms} earlier_runs={} recorded={is_recorded}",
                DisplayRuns(earlier_runs)
            );
            log.line(events::REPEAT_BUDGET, fields);
        }
    }

    fn tally(&self, service: &str, change: impl FnOnce(&mut Tally)) {
        let mut tallies = self.tallies.borrow_mut();
        match tallies.get_mut(service) {
            Some(tally) => change(tally),
            None => change(tallies.entry(service.to_string()).or_default()),
        }
    }

    fn with_budget<T>(&self, service: &str, change: impl FnOnce(&mut RepeatBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        match budgets.get_mut(service) {
            Some(budget) => change(budget),
            None => change(budgets.entry(service.to_string()).or_default()),
        }
    }
}

fn rules(bounds: &Bounds) -> BudgetRules {
    BudgetRules {
        ratio: bounds.retry_ratio,
        window_ms: (bounds.retry_window_s * 1_000.0) as Millis,
        arrival_ms: ARRIVAL_MS,
    }
}
