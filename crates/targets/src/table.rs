//! The targets that may get new work.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use hollowsail_platform::deployment::{Deployment, ServiceKey};
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

/// Usable targets by service, and all that still have requests.
#[derive(Default)]
pub struct TargetTable {
    by_service: Vec<Vec<Rc<Target>>>,
    by_incarnation: HashMap<Incarnation, Rc<Target>>,
    words: Words,
}

impl TargetTable {
    /// Takes the targets that are usable now by their records, and the starts whose
    /// records say that they leave. Starts that stay keep their connections and health;
    /// what was known of others goes, but for what they said of themselves.
    pub fn take(
        &mut self,
        now: Millis,
        deployment: &Deployment,
        usable: &[UsableTarget],
        leaving: &[Incarnation],
    ) {
        for start in leaving {
            self.words.says_leaving(now, start);
        }
        let is_usable = |id: &str| usable.iter().any(|t| t.record.incarnation.id == id);
        self.words.forget(now, is_usable);
        let mut kept = HashMap::with_capacity(usable.len());
        let mut by_service = vec![Vec::new(); deployment.services.len()];
        for UsableTarget { record, cold_until } in usable {
            if self.words.leaves(&record.incarnation) {
                continue;
            }
            let Some(key) = deployment.service_named(&record.service) else {
                continue;
            };
            let target = self.take_or_make(record, deployment, key);
            let per_s = deployment.service(key).cold_per_s;
            target.cold.set(
                cold_until
                    .zip(per_s)
                    .map(|(until, per_s)| Cold { until, per_s }),
            );
            target.limit.set(self.words.limit(&record.incarnation));
            by_service[usize::from(key.0)].push(target.clone());
            kept.insert(record.incarnation.clone(), target);
        }
        self.by_service = by_service;
        self.by_incarnation = kept;
    }

    fn take_or_make(
        &self,
        record: &Arc<TargetRecord>,
        deployment: &Deployment,
        key: ServiceKey,
    ) -> Rc<Target> {
        match self.by_incarnation.get(&record.incarnation) {
            Some(known) if is_same_place(&known.record, record) => known.clone(),
            _ => Target::new(record.clone(), deployment.service(key)),
        }
    }

    /// A start says that it leaves, whatever its record says. True when that is news.
    pub fn says_leaving(&mut self, now: Millis, start: &Incarnation) -> bool {
        let is_news = self.words.says_leaving(now, start);
        if is_news {
            let words = &self.words;
            for targets in &mut self.by_service {
                targets.retain(|target| !words.leaves(target.incarnation()));
            }
            self.by_incarnation.retain(|start, _| !words.leaves(start));
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
            let target = self.by_incarnation.get(start);
            let limit = self.words.limit(start);
            target
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
        self.by_incarnation.get(incarnation).cloned()
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
