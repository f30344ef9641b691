//! Gossip-based membership with failure detection.
//!
//! Every tick the entry starts an exchange with one random present member. A failed exchange
//! makes that member suspect, and dead after `suspect_ms` unless it refutes the suspicion by
//! raising its version. Records sent least often go out first, which bounds the message size.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::Rng;

use crate::host_view::HostView;
use crate::member::{Health, Member, Stopping};
use crate::rendezvous;
use crate::wire::{Exchange, MAX_NEW_RECORDS, MAX_REPEATED_RECORDS};
use crate::{Incarnation, Millis};

/// Times that each entry sends a changed record with priority; enough to reach nearly all of
/// several hundred entries. The others receive it as a repeated record.
const NEW_RECORD_SENDS: u32 = 12;

/// Timing of the membership protocol.
#[derive(Debug, Clone, Copy)]
pub struct FleetTiming {
    /// Interval between two exchanges started by one entry.
    pub tick_ms: Millis,
    /// Time from suspicion until a member is declared dead.
    pub suspect_ms: Millis,
    /// Time from death or departure until the record is removed; exceeds the lifetime of
    /// tickets, so that the issuer of a valid ticket can be looked up.
    pub forget_ms: Millis,
    /// Ticks between attempts to contact a seed or a dead member.
    pub rejoin_ticks: u64,
}

impl Default for FleetTiming {
    fn default() -> Self {
        FleetTiming {
            tick_ms: 500,
            suspect_ms: 3_000,
            forget_ms: 900_000,
            rejoin_ticks: 10,
        }
    }
}

/// Action for the caller to perform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Exchange with the peer at this address.
    Exchange(SocketAddr),
}

#[derive(Debug)]
struct Record {
    member: Member,
    /// When `health` or `stopping` last changed in this view.
    changed_at: Millis,
    /// When this entry last received a message from the member itself.
    received_at: Option<Millis>,
    /// Times that the record was sent since it last changed.
    sends: u32,
}

/// This entry's view of the fleet.
pub struct Fleet {
    own: Member,
    seeds: Vec<SocketAddr>,
    timing: FleetTiming,
    records: HashMap<Incarnation, Record>,
    pub hosts: HostView,
    ticks: u64,
    /// A peer has sent all its records.
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
            records: HashMap::new(),
            hosts: HostView::default(),
            ticks: 0,
            joined: false,
            last_contact: None,
        }
    }

    /// True once a peer has sent all its records.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// This entry's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// When an exchange last succeeded, in either direction.
    pub fn last_contact(&self) -> Option<Millis> {
        self.last_contact
    }

    /// Records of the other members, ordered by incarnation.
    pub fn others(&self) -> Vec<&Member> {
        let mut members: Vec<_> = self.records.values().map(|record| &record.member).collect();
        members.sort_by_key(|member| member.incarnation);
        members
    }

    /// When this entry last received a message from the member itself.
    pub fn last_received(&self, incarnation: Incarnation) -> Option<Millis> {
        self.records.get(&incarnation)?.received_at
    }

    /// Publishes the revision that this entry has in force.
    pub fn set_revision(&mut self, revision: u64) {
        self.own.revision = self.own.revision.max(revision);
    }

    /// Publishes the hash of the host list that this entry has read.
    pub fn set_list_hash(&mut self, hash: u64) {
        self.own.list_hash = hash;
    }

    /// True when a present member has read a different host list: one of the two is older.
    pub fn list_differs(&self) -> bool {
        self.records
            .values()
            .map(|record| &record.member)
            .filter(|member| member.is_present() && member.list_hash != 0)
            .any(|member| member.list_hash != self.own.list_hash)
    }

    /// Highest revision that a present member reports, and the address of that member.
    pub fn newest_revision(&self) -> Option<(u64, SocketAddr)> {
        self.records
            .values()
            .filter(|record| record.member.is_present())
            .map(|record| (record.member.revision, record.member.peer))
            .max()
    }

    /// Publishes a step of this entry's planned stop.
    pub fn set_stopping(&mut self, stopping: Stopping, successor: Option<Incarnation>) {
        self.own.stopping = self.own.stopping.max(stopping);
        self.own.successor = self.own.successor.or(successor);
    }

    /// True when this entry is one of the `count` entries in its hall that query the platform
    /// for `subject` on behalf of all.
    pub fn is_delegate(&self, subject: &str, count: usize) -> bool {
        let candidates = self
            .records
            .values()
            .map(|record| &record.member)
            .chain([&self.own])
            .filter(|member| member.hall == self.own.hall && member.takes_work())
            .map(|member| member.incarnation);
        rendezvous::choose(subject, candidates, count).contains(&self.own.incarnation)
    }

    /// Expires suspicions and chooses the peers to exchange with in this tick.
    pub fn tick(&mut self, now: Millis, rng: &mut SmallRng) -> Vec<Output> {
        self.ticks += 1;
        self.expire(now);
        let mut outputs: Vec<_> = self
            .present_peers()
            .choose(rng)
            .into_iter()
            .map(Output::Exchange)
            .collect();
        let has_no_peer = outputs.is_empty();
        if has_no_peer || self.ticks.is_multiple_of(self.timing.rejoin_ticks) {
            outputs.extend(self.rejoin_peer(rng).map(Output::Exchange));
        }
        outputs
    }

    /// Random present peers, for spreading an update before the next tick.
    pub fn random_peers(&self, count: usize, rng: &mut SmallRng) -> Vec<SocketAddr> {
        self.present_peers().choose_multiple(rng, count)
    }

    /// Addresses of all members that still answer peers.
    pub fn present_peers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.records
            .values()
            .filter(|record| record.member.is_present())
            .map(|record| record.member.peer)
    }

    /// A seed or a dead member. Contacting one merges a partitioned fleet again.
    fn rejoin_peer(&self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let dead = self
            .records
            .values()
            .filter(|record| record.member.health == Health::Dead)
            .filter(|record| record.member.stopping != Stopping::Left)
            .map(|record| record.member.peer);
        self.seeds.iter().copied().chain(dead).choose(rng)
    }

    fn expire(&mut self, now: Millis) {
        let timing = self.timing;
        for record in self.records.values_mut() {
            let age = now.saturating_sub(record.changed_at);
            if record.member.health == Health::Suspect && age >= timing.suspect_ms {
                record.member.health = Health::Dead;
                record.changed_at = now;
                record.sends = 0;
            }
        }
        self.records.retain(|_, record| {
            record.member.is_present() || now.saturating_sub(record.changed_at) < timing.forget_ms
        });
    }

    /// The message to send as a request.
    pub fn message(&mut self) -> Exchange {
        Exchange {
            from: self.own.clone(),
            wants_all: !self.joined,
            holds_all: false,
            members: self.records_to_send(),
            leaving: self.hosts.next_to_send(),
        }
    }

    /// The message to send as a reply. A joining peer receives every record, because it must
    /// resolve the issuers of tickets that left before.
    pub fn reply(&mut self, is_joining: bool) -> Exchange {
        let mut message = self.message();
        if is_joining {
            message.holds_all = true;
            message.members = self.others().into_iter().cloned().collect();
            message.leaving = self.hosts.all_leaving();
        }
        message
    }

    /// New records first, then a few old ones in turn for peers that missed them.
    fn records_to_send(&mut self) -> Vec<Member> {
        let mut order: Vec<_> = self.records.values_mut().collect();
        order.sort_by_key(|record| (record.sends, record.member.incarnation));
        let new = order.iter().filter(|r| r.sends < NEW_RECORD_SENDS).count();
        order
            .into_iter()
            .take(new.clamp(MAX_REPEATED_RECORDS, MAX_NEW_RECORDS))
            .map(|record| {
                record.sends += 1;
                record.member.clone()
            })
            .collect()
    }

    /// Merges a peer's message, which also proves that the sender is alive.
    pub fn receive(&mut self, now: Millis, message: Exchange) {
        self.last_contact = Some(now);
        self.joined |= message.holds_all;
        self.end_predecessors(now, &message.from);
        self.merge_record(now, &message.from);
        if let Some(record) = self.records.get_mut(&message.from.incarnation) {
            record.member.list_hash = message.from.list_hash;
            record.received_at = Some(now);
        }
        for member in &message.members {
            self.merge_record(now, member);
        }
        for host in message.leaving {
            self.hosts.learn(host);
        }
    }

    /// Marks the member at `address` suspect after a failed exchange.
    pub fn fail(&mut self, now: Millis, address: SocketAddr) {
        for record in self.records.values_mut() {
            let member = &mut record.member;
            if member.peer == address && member.health == Health::Alive && member.is_present() {
                member.health = Health::Suspect;
                record.changed_at = now;
                record.sends = 0;
            }
        }
    }

    /// Marks earlier processes at the sender's address dead.
    fn end_predecessors(&mut self, now: Millis, sender: &Member) {
        for record in self.records.values_mut() {
            let member = &mut record.member;
            let same_address = member.peer == sender.peer;
            if same_address && member.incarnation != sender.incarnation && member.is_present() {
                member.health = Health::Dead;
                record.changed_at = now;
                record.sends = 0;
            }
        }
    }

    fn merge_record(&mut self, now: Millis, member: &Member) {
        if member.incarnation == self.own.incarnation {
            return self.refute(member);
        }
        match self.records.get_mut(&member.incarnation) {
            Some(record) => {
                let before = (record.member.health, record.member.stopping);
                if record.member.merge(member) {
                    record.sends = 0;
                }
                if before != (record.member.health, record.member.stopping) {
                    record.changed_at = now;
                }
            }
            None if member.is_present() || member.stopping == Stopping::Left => {
                self.records.insert(
                    member.incarnation,
                    Record {
                        member: member.clone(),
                        changed_at: now,
                        received_at: None,
                        sends: 0,
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
