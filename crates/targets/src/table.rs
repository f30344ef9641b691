//! The targets that may get new work.

use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use hollowsail_platform::deployment::{Deployment, Service, ServiceKey};
use hollowsail_platform::targets::{Incarnation, TargetRecord};
use hollowsail_routing::{Cold, HealthRules, Millis, TargetHealth};

use crate::limit_word::LimitWord;
use crate::target::Target;
use crate::words::Words;

/// A target that may get new work.
#[derive(Debug, Clone)]
pub struct UsableTarget {
    pub record: Arc<TargetRecord>,
    /// Until when it is cold, if its record tells of a cold spell.
    pub cold_until: Option<Millis>,
}

/// True when a record still tells of the same place: connections, and what is known
/// of the target, stay. How long it is cold may change.
fn is_same_place(known: &TargetRecord, told: &TargetRecord) -> bool {
    known.addr == told.addr
        && known.slots == told.slots
        && known.service == told.service
        && known.hall == told.hall
}

/// What the targets of a service depend on, by the configuration.
#[derive(Debug, Clone, PartialEq)]
struct ServiceRules {
    name: String,
    max_connections: u32,
    cold_per_s: Option<f64>,
}

impl ServiceRules {
    fn of(service: &Service) -> Self {
        ServiceRules {
            name: service.name.clone(),
            max_connections: service.max_connections,
            cold_per_s: service.cold_per_s,
        }
    }
}

/// Usable targets by service.
#[derive(Default)]
pub struct TargetTable {
    /// Those of each service, in the order of their ids.
    by_service: Vec<Vec<Rc<Target>>>,
    by_id: HashMap<String, Rc<Target>>,
    words: Words,
    /// What was taken last, in the order of ids.
    taken: Vec<UsableTarget>,
    rules: Vec<ServiceRules>,
}

/// A difference between what was taken last and what is told now.
enum Change<'a> {
    Gone(&'a UsableTarget),
    Told(&'a UsableTarget),
}

/// How `told` differs from `known`, both in the order of ids. Records that are the same one
/// in both are passed over without a look at them.
fn differences<'a>(known: &'a [UsableTarget], told: &'a [UsableTarget]) -> Vec<Change<'a>> {
    let mut changes = Vec::new();
    let (mut known, mut told) = (known.iter().peekable(), told.iter().peekable());
    loop {
        let order = match (known.peek(), told.peek()) {
            (None, None) => return changes,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(known), Some(told)) if Arc::ptr_eq(&known.record, &told.record) => {
                Ordering::Equal
            }
            (Some(known), Some(told)) => known.id().cmp(told.id()),
        };
        match order {
            Ordering::Less => changes.extend(known.next().map(Change::Gone)),
            Ordering::Greater => changes.extend(told.next().map(Change::Told)),
            Ordering::Equal => {
                let (known, told) = (known.next(), told.next());
                let is_same = known.zip(told).is_some_and(|(known, told)| {
                    Arc::ptr_eq(&known.record, &told.record) && known.cold_until == told.cold_until
                });
                changes.extend(told.filter(|_| !is_same).map(Change::Told));
            }
        }
    }
}

impl UsableTarget {
    fn id(&self) -> &str {
        &self.record.incarnation.id
    }
}

impl TargetTable {
    /// Takes the targets that are usable now by their records, in the order of their ids,
    /// and the starts whose records say that they leave. Starts that stay keep their
    /// connections and health; what was known of others goes, but for what they said of
    /// themselves. Returns the services whose targets changed.
    pub fn take(
        &mut self,
        now: Millis,
        deployment: &Deployment,
        usable: &[UsableTarget],
        leaving: &[Incarnation],
    ) -> BTreeSet<ServiceKey> {
        let mut changed = BTreeSet::new();
        for start in leaving {
            let known = self.get(start);
            if self.says_leaving(now, start) {
                changed.extend(
                    known.and_then(|known| deployment.service_named(&known.record.service)),
                );
            }
        }
        let rules: Vec<ServiceRules> = deployment.services.iter().map(ServiceRules::of).collect();
        if self.rules != rules {
            self.rules = rules;
            changed.extend(self.begin_again());
        }
        let taken = std::mem::take(&mut self.taken);
        for change in differences(&taken, usable) {
            let services = match change {
                Change::Gone(gone) => [self.remove(gone.id()), None],
                Change::Told(told) => self.put(told, deployment),
            };
            changed.extend(services.into_iter().flatten());
        }
        self.taken = usable.to_vec();
        let by_id = &self.by_id;
        self.words.forget(now, |id| by_id.contains_key(id));
        changed
    }

    /// The services are others: every target is put in its place anew. Gives the services.
    fn begin_again(&mut self) -> Vec<ServiceKey> {
        self.taken.clear();
        self.by_service = vec![Vec::new(); self.rules.len()];
        (0..self.rules.len() as u16).map(ServiceKey).collect()
    }

    /// Puts a target in its place. Gives the service that it was of, and that it is of now,
    /// unless it gets no new work.
    fn put(&mut self, told: &UsableTarget, deployment: &Deployment) -> [Option<ServiceKey>; 2] {
        let UsableTarget { record, cold_until } = told;
        let known = self.by_id.get(told.id()).cloned();
        let out = self.remove(told.id());
        let key = deployment.service_named(&record.service);
        let Some(key) = key.filter(|_| !self.words.leaves(&record.incarnation)) else {
            return [out, None];
        };
        let service = deployment.service(key);
        let stays = known.filter(|known| {
            known.incarnation() == &record.incarnation && is_same_place(&known.record, record)
        });
        let target = stays.unwrap_or_else(|| Target::new(record.clone(), service));
        let cold = cold_until.zip(service.cold_per_s);
        target
            .cold
            .set(cold.map(|(until, per_s)| Cold { until, per_s }));
        target.limit.set(self.words.limit(&record.incarnation));
        let targets = &mut self.by_service[usize::from(key.0)];
        let at = targets.partition_point(|known| known.incarnation().id.as_str() < told.id());
        targets.insert(at, target.clone());
        self.by_id.insert(told.id().to_string(), target);
        [out, Some(key)]
    }

    /// Takes a target out. Gives its service, if it was there.
    fn remove(&mut self, id: &str) -> Option<ServiceKey> {
        let target = self.by_id.remove(id)?;
        let of_service = |rules: &ServiceRules| rules.name == target.record.service;
        let key = self.rules.iter().position(of_service)?;
        let targets = &mut self.by_service[key];
        let at = targets.partition_point(|known| known.incarnation().id.as_str() < id);
        let is_there = targets.get(at).is_some_and(|t| Rc::ptr_eq(t, &target));
        if is_there {
            targets.remove(at);
        }
        Some(ServiceKey(key as u16))
    }

    /// A start says that it leaves, whatever its record says. True when that is news.
    pub fn says_leaving(&mut self, now: Millis, start: &Incarnation) -> bool {
        let is_news = self.words.says_leaving(now, start);
        let known = self.by_id.get(&start.id);
        if known.is_some_and(|known| self.words.leaves(known.incarnation())) {
            self.remove(&start.id);
        }
        is_news
    }

    /// A start wants nothing from this entry for a time. True when that is longer than it
    /// said before.
    pub fn asks_rest(&mut self, now: Millis, start: &Incarnation, rest_ms: Millis) -> bool {
        self.words.asks_rest(now, start, rest_ms)
    }

    /// A start names a limit, or none. True when its limit is another one now.
    pub fn names_limit(&mut self, now: Millis, start: &Incarnation, word: LimitWord) -> bool {
        let is_news = self.words.names_limit(now, start, word);
        if is_news {
            let limit = self.words.limit(start);
            self.get(start)
                .into_iter()
                .for_each(|target| target.limit.set(limit));
        }
        is_news
    }

    /// What a target said last of its limit, when whoever sends to it for all entries is to
    /// hear that again now.
    pub fn limit_to_repeat(&self, now: Millis, target: &Target) -> Option<LimitWord> {
        let word = self.words.limit_word(target.incarnation())?;
        (word.is_repeated(now) && target.tells_limit_now(now)).then_some(word)
    }

    /// What a start said last of its limit, if it named one lately.
    pub fn limit_word(&self, start: &Incarnation) -> Option<LimitWord> {
        self.words.limit_word(start)
    }

    /// The starts that name a limit, with what they said.
    pub fn limited(&self) -> Vec<(Incarnation, LimitWord)> {
        self.words.limited().collect()
    }

    /// True the first time that this entry is to tell all others that a start leaves.
    pub fn pass_on(&mut self, start: &Incarnation) -> bool {
        self.words.pass_on(start)
    }

    /// Until when a start wants nothing from this entry, if it does now.
    pub fn rests_until(&self, now: Millis, start: &Incarnation) -> Option<Millis> {
        self.words.rests_until(now, start)
    }

    /// True when some target may want nothing from this entry now.
    pub fn anyone_rests(&self, now: Millis) -> bool {
        self.words.anyone_rests(now)
    }

    /// A usable target by its incarnation.
    pub fn get(&self, incarnation: &Incarnation) -> Option<Rc<Target>> {
        let known = self.by_id.get(&incarnation.id);
        known
            .filter(|known| known.incarnation() == incarnation)
            .cloned()
    }

    /// Usable targets of a service.
    pub fn of(&self, service: ServiceKey) -> &[Rc<Target>] {
        self.by_service
            .get(usize::from(service.0))
            .map_or(&[], Vec::as_slice)
    }

    /// Puts targets of a service out that deserve it, at most half of them.
    /// Returns those newly put out.
    pub fn eject_worst(&self, service: ServiceKey, now: Millis) -> Vec<Rc<Target>> {
        let targets = self.of(service);
        let mut healths: Vec<TargetHealth> = targets
            .iter()
            .map(|target| target.health.borrow().clone())
            .collect();
        let rules = HealthRules::default();
        let ejected = hollowsail_routing::health::eject_worst(now, &rules, &mut healths);
        for (target, health) in targets.iter().zip(healths) {
            *target.health.borrow_mut() = health;
        }
        ejected.into_iter().map(|at| targets[at].clone()).collect()
    }
}
