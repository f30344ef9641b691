//! Membership: who is there, who is suspected, who has left.
//!
//! Every tick the entry asks one random present member for an exchange. A
//! failed exchange makes that member suspect; the suspicion spreads like any
//! record, and the member refutes it by raising its version as soon as it
//! hears of it through anybody. A suspicion that stands for `suspect_ms` makes
//! it dead. Records go out least-often-passed-on first, so news travels before
//! old knowledge, and a message stays small whatever the size of the fleet.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::Rng;

use crate::leaving::HostView;
use crate::member::{Health, Member, Stopping};
use crate::rendezvous;
use crate::wire::{Exchange, MAX_NEWS, MAX_REPEATED};
use crate::{Incarnation, Millis};

/// Times a changed record is passed on as news. With every entry passing news
/// on so often, all of some hundreds hear of it with near certainty; the few
/// that do not hear it from repeated records.
const NEWS_TIMES: u32 = 12;

/// Times of the membership protocol, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct FleetTiming {
    /// Between two exchanges started by one entry.
    pub tick_ms: Millis,
    /// From suspicion to death.
    pub suspect_ms: Millis,
    /// From death or leaving until the record is forgotten; longer than
    /// tickets live, so that a ticket always finds its issuer's fate.
    pub forget_ms: Millis,
    /// Ticks between attempts to reach a seed or a dead member again.
    pub reach_out_ticks: u64,
}

impl Default for FleetTiming {
    fn default() -> Self {
        FleetTiming {
            tick_ms: 500,
            suspect_ms: 3_000,
            forget_ms: 900_000,
            reach_out_ticks: 10,
        }
    }
}

/// What the caller should do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Exchange with the peer at this address.
    Exchange(SocketAddr),
}

#[derive(Debug)]
struct Known {
    member: Member,
    /// When its health or stop last changed here.
    since: Millis,
    /// When it last spoke to this entry itself.
    heard: Option<Millis>,
    /// Times this record was passed on in its present form.
    passed_on: u32,
}

/// This entry's view of the fleet.
pub struct Fleet {
    own: Member,
    seeds: Vec<SocketAddr>,
    timing: FleetTiming,
    known: HashMap<Incarnation, Known>,
    pub hosts: HostView,
    ticks: u64,
    /// Some peer has told this entry all it knows.
    joined: bool,
    last_contact: Option<Millis>,
}

impl Fleet {
    pub fn new(own: Member, seeds: Vec<SocketAddr>, timing: FleetTiming) -> Self {
        let seeds = seeds.into_iter().filter(|seed| *seed != own.peer).collect();
        Fleet {
            own,
            seeds,
            timing,
            known: HashMap::new(),
            hosts: HostView::default(),
            ticks: 0,
            joined: false,
            last_contact: None,
        }
    }

    /// True once this entry knows what its peers know.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// This entry's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// When an exchange last succeeded, either way.
    pub fn last_contact(&self) -> Option<Millis> {
        self.last_contact
    }

    /// Records of the others, in order of incarnation.
    pub fn others(&self) -> Vec<&Member> {
        let mut members: Vec<_> = self.known.values().map(|known| &known.member).collect();
        members.sort_by_key(|member| member.incarnation);
        members
    }

    /// When a member last spoke to this entry itself.
    pub fn last_heard(&self, incarnation: Incarnation) -> Option<Millis> {
        self.known.get(&incarnation)?.heard
    }

    /// Publishes the revision that this entry has in force.
    pub fn set_revision(&mut self, revision: u64) {
        self.own.revision = self.own.revision.max(revision);
    }

    /// Publishes the hash of the host list that this entry has read.
    pub fn set_list_hash(&mut self, hash: u64) {
        self.own.list_hash = hash;
    }

    /// True when some present member has read another host list than this
    /// entry: one of the two is older.
    pub fn list_differs(&self) -> bool {
        self.known
            .values()
            .map(|known| &known.member)
            .filter(|member| member.is_present() && member.list_hash != 0)
            .any(|member| member.list_hash != self.own.list_hash)
    }

    /// Highest revision any present member reports, and where.
    pub fn newest_revision(&self) -> Option<(u64, SocketAddr)> {
        self.known
            .values()
            .filter(|known| known.member.is_present())
            .map(|known| (known.member.revision, known.member.peer))
            .max()
    }

    /// Publishes a step of this entry's planned stop.
    pub fn set_stopping(&mut self, stopping: Stopping, successor: Option<Incarnation>) {
        self.own.stopping = self.own.stopping.max(stopping);
        self.own.successor = self.own.successor.or(successor);
    }

    /// True when this entry is one of the `count` in its hall that ask the
    /// platform for `what` on behalf of all.
    pub fn asks_for_all(&self, what: &str, count: usize) -> bool {
        let candidates = self
            .known
            .values()
            .map(|known| &known.member)
            .chain([&self.own])
            .filter(|member| member.hall == self.own.hall && member.takes_work())
            .map(|member| member.incarnation);
        rendezvous::choose(what, candidates, count).contains(&self.own.incarnation)
    }

    /// One tick: ages suspicions and chooses whom to exchange with.
    pub fn tick(&mut self, now: Millis, rng: &mut SmallRng) -> Vec<Output> {
        self.ticks += 1;
        self.age(now);
        let mut outputs: Vec<_> = self
            .present_peers()
            .choose(rng)
            .into_iter()
            .map(Output::Exchange)
            .collect();
        let lonely = outputs.is_empty();
        if lonely || self.ticks.is_multiple_of(self.timing.reach_out_ticks) {
            outputs.extend(self.reach_out(rng).map(Output::Exchange));
        }
        outputs
    }

    /// Random present peers, for spreading news faster than the tick.
    pub fn random_peers(&self, count: usize, rng: &mut SmallRng) -> Vec<SocketAddr> {
        self.present_peers().choose_multiple(rng, count)
    }

    /// Addresses of all members that still answer peers.
    pub fn present_peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.known
            .values()
            .filter(|known| known.member.is_present())
            .map(|known| known.member.peer)
    }

    /// A seed or a dead member: how parts of a fleet find each other again.
    fn reach_out(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let dead = self
            .known
            .values()
            .filter(|known| known.member.health == Health::Dead)
            .filter(|known| known.member.stopping != Stopping::Left)
            .map(|known| known.member.peer);
        self.seeds.iter().copied().chain(dead).choose(rng)
    }

    fn age(&mut self, now: Millis) {
        let timing = self.timing;
        for known in self.known.values_mut() {
            let age = now.saturating_sub(known.since);
            if known.member.health == Health::Suspect && age >= timing.suspect_ms {
                known.member.health = Health::Dead;
                known.since = now;
                known.passed_on = 0;
            }
        }
        self.known.retain(|_, known| {
            known.member.is_present() || now.saturating_sub(known.since) < timing.forget_ms
        });
    }

    /// The message to send as a request.
    pub fn message(&mut self) -> Exchange {
        Exchange {
            from: self.own.clone(),
            wants_all: !self.joined,
            holds_all: false,
            members: self.records_to_spread(),
            leaving: self.hosts.to_spread(),
        }
    }

    /// The message to send as a reply; a newcomer gets every record, for it
    /// has to know who answers for the tickets of those that left before.
    pub fn reply(&mut self, newcomer: bool) -> Exchange {
        let mut message = self.message();
        if newcomer {
            message.holds_all = true;
            message.members = self.others().into_iter().cloned().collect();
            message.leaving = self.hosts.all_leaving();
        }
        message
    }

    /// News first; then a few old records in turn, for whoever missed them.
    fn records_to_spread(&mut self) -> Vec<Member> {
        let mut order: Vec<_> = self.known.values_mut().collect();
        order.sort_by_key(|known| (known.passed_on, known.member.incarnation));
        let news = order.iter().filter(|k| k.passed_on < NEWS_TIMES).count();
        order
            .into_iter()
            .take(news.clamp(MAX_REPEATED, MAX_NEWS))
            .map(|known| {
                known.passed_on += 1;
                known.member.clone()
            })
            .collect()
    }

    /// Takes a peer's message. Its sender is alive: it has just spoken.
    pub fn receive(&mut self, now: Millis, message: Exchange) {
        self.last_contact = Some(now);
        self.joined |= message.holds_all;
        self.replace_earlier_run(now, &message.from);
        self.take_record(now, &message.from);
        if let Some(known) = self.known.get_mut(&message.from.incarnation) {
            known.member.list_hash = message.from.list_hash;
            known.heard = Some(now);
        }
        for member in &message.members {
            self.take_record(now, member);
        }
        for host in message.leaving {
            self.hosts.learn(host);
        }
    }

    /// An exchange with the peer at `address` failed.
    pub fn fail(&mut self, now: Millis, address: SocketAddr) {
        for known in self.known.values_mut() {
            let member = &mut known.member;
            if member.peer == address && member.health == Health::Alive && member.is_present() {
                member.health = Health::Suspect;
                known.since = now;
                known.passed_on = 0;
            }
        }
    }

    /// A new process at an address ends every earlier one there.
    fn replace_earlier_run(&mut self, now: Millis, newcomer: &Member) {
        for known in self.known.values_mut() {
            let member = &mut known.member;
            let same_place = member.peer == newcomer.peer;
            if same_place && member.incarnation != newcomer.incarnation && member.is_present() {
                member.health = Health::Dead;
                known.since = now;
                known.passed_on = 0;
            }
        }
    }

    fn take_record(&mut self, now: Millis, member: &Member) {
        if member.incarnation == self.own.incarnation {
            return self.refute(member);
        }
        match self.known.get_mut(&member.incarnation) {
            Some(known) => {
                let before = (known.member.health, known.member.stopping);
                if known.member.merge(member) {
                    known.passed_on = 0;
                }
                if before != (known.member.health, known.member.stopping) {
                    known.since = now;
                }
            }
            None if member.is_present() || member.stopping == Stopping::Left => {
                self.known.insert(
                    member.incarnation,
                    Known {
                        member: member.clone(),
                        since: now,
                        heard: None,
                        passed_on: 0,
                    },
                );
            }
            None => {}
        }
    }

    fn refute(&mut self, claimed: &Member) {
        if claimed.health != Health::Alive && claimed.version >= self.own.version {
            self.own.version = claimed.version + 1;
        }
    }
}
