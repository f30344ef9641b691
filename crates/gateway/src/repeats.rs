//! The budgets of repeated work, by service: the one place that grants a second send.
//!
//! Every send to a target takes a permit ([`hollowsail_routing::repeats`]). [`Repeats`] permits the
//! first send of each request or piece, and each repeat that is within this host's share; it logs and
//! counts every repeat that it grants or refuses.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard};

use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::pieces::Piece;
use hollowsail_platform::settings::Bounds;
use hollowsail_routing::repeats::{
    BudgetRules, RepeatBudget, RepeatReason, SendPermit, Share, Work,
};
use hollowsail_routing::Millis;
use tokio::sync::Notify;

use crate::lock::lock;
use crate::log::Log;
use crate::metrics;

/// How much later than it is sent work may reach its target, in milliseconds.
pub const ARRIVAL_MS: Millis = 1_000;

/// This process's share of the fixed allowance: control sets the units that it holds, traffic those that
/// are charged.
#[derive(Debug, Clone, Default)]
pub struct SharedShare(Arc<LockedShare>);

#[derive(Debug, Default)]
struct LockedShare {
    share: Mutex<Share>,
    /// Notified when a repeat is asked for and little of the share is left.
    pressed: Notify,
}

impl SharedShare {
    pub fn lock(&self) -> MutexGuard<'_, Share> {
        lock(&self.0.share)
    }

    /// Waits until little of the share is left.
    pub async fn until_pressed(&self) {
        self.0.pressed.notified().await;
    }
}

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
        write!(f, "service={} request={}", Field(&service), Field(&request))?;
        if let Some((stage, piece)) = self.piece {
            write!(f, " stage={stage} piece={piece}")?;
        }
        write!(f, " why={}", self.reason.name())
    }
}

/// Budgets of all services, and this process's share in them.
pub struct Repeats {
    /// By service name.
    budgets: RefCell<HashMap<String, RepeatBudget>>,
    /// What each service got since the last report.
    tallies: RefCell<BTreeMap<String, Tally>>,
    share: SharedShare,
}

/// Sends to a service in a window.
#[derive(Debug, Default)]
struct Tally {
    /// Requests of callers, which earn repeats.
    requests: u64,
    granted: u64,
    refused: u64,
}

impl Repeats {
    pub fn new(share: SharedShare) -> Self {
        Repeats {
            budgets: RefCell::default(),
            tallies: RefCell::default(),
            share,
        }
    }

    /// Permits the first send of a caller's request, which was sent after `sent_after`, and counts the
    /// request.
    pub fn permit_request(
        &self,
        now: Millis,
        sent_after: Millis,
        bounds: &Bounds,
        service: &str,
    ) -> SendPermit {
        self.tally(service, |tally| tally.requests += 1);
        self.with_budget(service, |budget| {
            budget.first_of_request(now, sent_after, rules(bounds))
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
        let mut shared = self.share.lock();
        let share = shared.at(now);
        let (permit, left, held) = self.with_budget(repeat.service, |budget| {
            let permit = budget.repeat(now, rules(bounds), share, repeat.reason, repeat.work);
            let permit = permit.map(|permit| permit.with_expiry(shared.until()));
            let held = budget.held();
            shared.raise_charged(budget.charged(), held);
            (permit, budget.left(now, rules(bounds), share), held)
        });
        if shared.is_pressed() {
            self.share.0.pressed.notify_one();
        }
        drop(shared);
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
        let unsettled = repeat.work.unsettled(now);
        let fields = format_args!(
            "{repeat} left={left:.2} share={share:.2} unsettled={unsettled} held={held}"
        );
        log.line(event, fields);
        permit
    }

    /// Charges the sends of a peer's piece that may still arrive, so that the peer needn't. False if this
    /// host's share doesn't cover that.
    pub fn cover(&self, now: Millis, bounds: &Bounds, service: &str, work: &Work) -> bool {
        if work.unsettled(now) == 0 {
            return true;
        }
        let mut shared = self.share.lock();
        let share = shared.at(now);
        self.with_budget(service, |budget| {
            let is_covered = budget.cover(now, rules(bounds), share, work);
            shared.raise_charged(budget.charged(), budget.held());
            is_covered
        })
    }

    /// Sets which units are charged, for control, which gives up others.
    pub fn update_charges(&self, now: Millis, bounds: &Bounds) {
        let mut budgets = self.budgets.borrow_mut();
        let charges = budgets.values_mut().map(|budget| {
            budget.update(now, rules(bounds));
            (budget.charged(), budget.held())
        });
        let most = charges.fold((0.0, 0), |most: (f64, usize), (charged, held)| {
            (most.0.max(charged), most.1.max(held))
        });
        self.share.lock().set_charged(most.0, most.1);
    }

    /// Logs what the services with repeats got since the last report, and begins anew.
    pub fn report(&self, now: Millis, bounds: &Bounds, log: &Log) {
        let share = self.share.lock().at(now);
        metrics::set_repeat_share(share);
        for (service, budget) in self.budgets.borrow().iter() {
            metrics::set_held_repeats(service, budget.held());
            metrics::set_charged_repeats(service, budget.charged());
            metrics::set_uncovered_repeats(service, (budget.charged() - share).max(0.0));
        }
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
                "service={} requests={requests} granted={granted} refused={refused} \
                 left={left:.2} held={held} charged={charged:.2} share={share:.2} \
                 uncovered={:.2}",
                Field(&service),
                (charged - share).max(0.0)
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
