//! The table of targets that may receive new work.
//!
//! It takes the listed targets and the reports of their incarnations, and holds the usable
//! targets by service. Only targets whose listing changed since the last call are updated.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use hollowsail_connect::Dialer;
use hollowsail_platform::deployment::{Deployment, Service, ServiceKey};
use hollowsail_platform::targets::{Incarnation, TargetRecord};
use hollowsail_routing::{HealthRules, Millis, TargetHealth, WarmUp};

use crate::limit_report::{LimitKind, LimitReport};
use crate::reports::TargetReports;
use crate::target::Target;

/// A target that may receive new work.
#[derive(Debug, Clone)]
pub struct UsableTarget {
    pub record: Arc<TargetRecord>,
    /// End of its warm-up, if its record has one.
    pub warm_up_until: Option<Millis>,
}

/// True when both records describe the same endpoint, so that connections and state are kept.
/// The warm-up may differ.
fn is_same_endpoint(known: &TargetRecord, listed: &TargetRecord) -> bool {
    known.addr == listed.addr
        && known.slots == listed.slots
        && known.service == listed.service
        && known.hall == listed.hall
        && known.version == listed.version
}

/// The settings of a service that affect its targets.
#[derive(Debug, Clone, PartialEq)]
struct ServiceRules {
    name: String,
    max_connections: u32,
    warm_up_per_s: Option<f64>,
}

impl ServiceRules {
    fn of(service: &Service) -> Self {
        ServiceRules {
            name: service.name.clone(),
            max_connections: service.max_connections,
            warm_up_per_s: service.warm_up_per_s,
        }
    }
}

/// Returns what opens the connections to a target.
pub type DialerFor = Box<dyn Fn(&TargetRecord) -> Dialer>;

/// Usable targets by service.
pub struct TargetTable {
    dialer_for: DialerFor,
    /// Targets of each service, in the order of their ids.
    by_service: Vec<Vec<Rc<Target>>>,
    by_id: HashMap<String, Rc<Target>>,
    reports: TargetReports,
    /// The targets listed last, in the order of ids.
    listed: Vec<UsableTarget>,
    rules: Vec<ServiceRules>,
}

/// A difference between the targets listed last and those listed now.
enum Change<'a> {
    Removed(&'a UsableTarget),
    Listed(&'a UsableTarget),
}

/// How `listed` differs from `known`, both in the order of ids. Records shared by both are
/// skipped without comparing their contents.
fn differences<'a>(known: &'a [UsableTarget], listed: &'a [UsableTarget]) -> Vec<Change<'a>> {
    let mut changes = Vec::new();
    let (mut known, mut listed) = (known.iter().peekable(), listed.iter().peekable());
    loop {
        let order = match (known.peek(), listed.peek()) {
            (None, None) => return changes,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(known), Some(listed)) if Arc::ptr_eq(&known.record, &listed.record) => {
                Ordering::Equal
            }
            (Some(known), Some(listed)) => known.id().cmp(listed.id()),
        };
        match order {
            Ordering::Less => changes.extend(known.next().map(Change::Removed)),
            Ordering::Greater => changes.extend(listed.next().map(Change::Listed)),
            Ordering::Equal => {
                let (known, listed) = (known.next(), listed.next());
                let is_same = known.zip(listed).is_some_and(|(known, listed)| {
                    Arc::ptr_eq(&known.record, &listed.record)
                        && known.warm_up_until == listed.warm_up_until
                });
                changes.extend(listed.filter(|_| !is_same).map(Change::Listed));
            }
        }
    }
}

impl UsableTarget {
    fn id(&self) -> &str {
        &self.record.incarnation.id
    }
}

impl Default for TargetTable {
    /// An empty table, whose targets are connected to directly.
    fn default() -> Self {
        TargetTable::new(Box::new(|record| Dialer::direct(record.addr)))
    }
}

impl TargetTable {
    /// An empty table.
    pub fn new(dialer_for: DialerFor) -> Self {
        TargetTable {
            dialer_for,
            by_service: Vec::new(),
            by_id: HashMap::new(),
            reports: TargetReports::default(),
            listed: Vec::new(),
            rules: Vec::new(),
        }
    }

    /// All usable targets.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Target>> {
        self.by_service.iter().flatten()
    }

    /// Takes the targets whose records make them usable now, in the order of their ids, and
    /// the incarnations whose records say draining. Incarnations that remain keep their
    /// connections and health; of the others only their reports are kept. Returns the
    /// services whose targets changed.
    pub fn update(
        &mut self,
        now: Millis,
        deployment: &Deployment,
        usable: &[UsableTarget],
        draining: &[Incarnation],
    ) -> BTreeSet<ServiceKey> {
        let mut changed = BTreeSet::new();
        for incarnation in draining {
            let known = self.get(incarnation);
            if self.record_draining(now, incarnation) {
                changed.extend(
                    known.and_then(|known| deployment.service_named(&known.record.service)),
                );
            }
        }
        let rules: Vec<ServiceRules> = deployment.services.iter().map(ServiceRules::of).collect();
        if self.rules != rules {
            self.rules = rules;
            changed.extend(self.reset_services());
        }
        let listed = std::mem::take(&mut self.listed);
        for change in differences(&listed, usable) {
            let services = match change {
                Change::Removed(removed) => [self.remove(removed.id()), None],
                Change::Listed(listed) => self.insert(listed, deployment),
            };
            changed.extend(services.into_iter().flatten());
        }
        self.listed = usable.to_vec();
        let by_id = &self.by_id;
        self.reports.expire(now, |id| by_id.contains_key(id));
        changed
    }

    /// Empties the table after a change of the services, so that every target is inserted
    /// again. Returns the services.
    fn reset_services(&mut self) -> Vec<ServiceKey> {
        self.listed.clear();
        self.by_service = vec![Vec::new(); self.rules.len()];
        (0..self.rules.len() as u16).map(ServiceKey).collect()
    }

    /// Inserts or updates a target. Returns the service that it belonged to, and the one that
    /// it belongs to now unless it gets no new work.
    fn insert(
        &mut self,
        listed: &UsableTarget,
        deployment: &Deployment,
    ) -> [Option<ServiceKey>; 2] {
        let UsableTarget {
            record,
            warm_up_until,
        } = listed;
        let known = self.by_id.get(listed.id()).cloned();
        let previous = self.remove(listed.id());
        let key = deployment.service_named(&record.service);
        let Some(key) = key.filter(|_| !self.reports.is_draining(&record.incarnation)) else {
            return [previous, None];
        };
        let service = deployment.service(key);
        let unchanged = known.filter(|known| {
            known.incarnation() == &record.incarnation && is_same_endpoint(&known.record, record)
        });
        let target = unchanged
            .unwrap_or_else(|| Target::new(record.clone(), service, (self.dialer_for)(record)));
        let warm_up = warm_up_until.zip(service.warm_up_per_s);
        target
            .warm_up
            .set(warm_up.map(|(until, per_s)| WarmUp { until, per_s }));
        for kind in LimitKind::ALL {
            target.set_limit(kind, self.reports.limit(&record.incarnation, kind));
        }
        let targets = &mut self.by_service[usize::from(key.0)];
        let index = targets.partition_point(|known| known.incarnation().id.as_str() < listed.id());
        targets.insert(index, target.clone());
        self.by_id.insert(listed.id().to_string(), target);
        [previous, Some(key)]
    }

    /// Removes a target. Returns its service, if it was in the table.
    fn remove(&mut self, id: &str) -> Option<ServiceKey> {
        let target = self.by_id.remove(id)?;
        let is_its_service = |rules: &ServiceRules| rules.name == target.record.service;
        let key = self.rules.iter().position(is_its_service)?;
        let targets = &mut self.by_service[key];
        let index = targets.partition_point(|known| known.incarnation().id.as_str() < id);
        let is_present = targets.get(index).is_some_and(|t| Rc::ptr_eq(t, &target));
        if is_present {
            targets.remove(index);
        }
        Some(ServiceKey(key as u16))
    }

    /// Records that an incarnation is draining, even if its record says ready. Returns true
    /// when that wasn't known.
    pub fn record_draining(&mut self, now: Millis, incarnation: &Incarnation) -> bool {
        let is_new = self.reports.record_draining(now, incarnation);
        let known = self.by_id.get(&incarnation.id);
        if known.is_some_and(|known| self.reports.is_draining(known.incarnation())) {
            self.remove(&incarnation.id);
        }
        is_new
    }

    /// Records that an incarnation requested a backoff from this entry. Returns true when it
    /// ends later than the one known before.
    pub fn record_backoff(
        &mut self,
        now: Millis,
        incarnation: &Incarnation,
        backoff_ms: Millis,
    ) -> bool {
        self.reports.record_backoff(now, incarnation, backoff_ms)
    }

    /// Records the limit that an incarnation reported, or that it reported none. Returns true
    /// when the limit in force changed.
    pub fn record_limit(
        &mut self,
        now: Millis,
        incarnation: &Incarnation,
        report: LimitReport,
    ) -> bool {
        let is_changed = self.reports.record_limit(now, incarnation, report);
        if is_changed {
            let limit = self.reports.limit(incarnation, report.kind);
            self.get(incarnation)
                .into_iter()
                .for_each(|target| target.set_limit(report.kind, limit));
        }
        is_changed
    }

    /// The limit reports in force for a target, when they are due to be sent again to the entry
    /// that dispatches to it for all entries.
    pub fn limits_to_repeat(&self, now: Millis, target: &Target) -> Vec<LimitReport> {
        let reports = LimitKind::ALL
            .into_iter()
            .filter_map(|kind| self.reports.limit_report(target.incarnation(), kind))
            .filter(|report| report.is_repeated(now));
        let reports: Vec<LimitReport> = reports.collect();
        match !reports.is_empty() && target.take_limit_repeat(now) {
            true => reports,
            false => Vec::new(),
        }
    }

    /// The limit report in force for an incarnation, if it reported a limit recently.
    pub fn limit_report(&self, incarnation: &Incarnation, kind: LimitKind) -> Option<LimitReport> {
        self.reports.limit_report(incarnation, kind)
    }

    /// The incarnations with a limit in force, with its report.
    pub fn limited(&self) -> Vec<(Incarnation, LimitReport)> {
        self.reports.limited().collect()
    }

    /// The incarnations that are known to be draining, those with the latest reports first.
    pub fn draining(&self) -> Vec<Incarnation> {
        self.reports.draining()
    }

    /// Marks a draining incarnation as broadcast to the other entries. Returns true the first
    /// time, and false for one that isn't draining.
    pub fn mark_broadcast(&mut self, incarnation: &Incarnation) -> bool {
        self.reports.mark_broadcast(incarnation)
    }

    /// End of an incarnation's backoff from this entry; `None` when there is none now.
    pub fn backoff_until(&self, now: Millis, incarnation: &Incarnation) -> Option<Millis> {
        self.reports.backoff_until(now, incarnation)
    }

    /// False when no target is backing off; true doesn't prove that one is.
    pub fn any_backing_off(&self, now: Millis) -> bool {
        self.reports.any_backing_off(now)
    }

    /// A usable target by its incarnation.
    pub fn get(&self, incarnation: &Incarnation) -> Option<Rc<Target>> {
        let known = self.by_id.get(&incarnation.id);
        known
            .filter(|known| known.incarnation() == incarnation)
            .cloned()
    }

    /// Usable targets of a service.
    pub fn targets_of(&self, service: ServiceKey) -> &[Rc<Target>] {
        self.by_service
            .get(usize::from(service.0))
            .map_or(&[], Vec::as_slice)
    }

    /// Ejects the targets of a service in the worst health, at most half of them.
    /// Returns those newly ejected.
    pub fn eject_worst(&self, service: ServiceKey, now: Millis) -> Vec<Rc<Target>> {
        let targets = self.targets_of(service);
        let mut healths: Vec<TargetHealth> = targets
            .iter()
            .map(|target| target.health.borrow().clone())
            .collect();
        let rules = HealthRules::default();
        let ejected = hollowsail_routing::health::eject_worst(now, &rules, &mut healths);
        for (target, health) in targets.iter().zip(healths) {
            *target.health.borrow_mut() = health;
        }
        ejected
            .into_iter()
            .map(|index| targets[index].clone())
            .collect()
    }
}
