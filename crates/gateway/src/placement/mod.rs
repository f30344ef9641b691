//! Which engine gets a generation: the desk of its group of engines says.
//!
//! Every group of engines has one owner among the entries, as queues of stages
//! do, and its [`Desk`] knows what all entries have there. An entry asks
//! it over the peers' links; where no answer comes in time it chooses by itself,
//! with what it knows. A [`Placed`] tells the desk how the generation went.

mod desk;
mod placed;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{Demand, PlacementKey};
use tokio::time::timeout;

use crate::peers::{Link, Message, Owner, PeerId, PlacementId, PlacementStep};
use crate::target_group::TargetGroup;
use crate::traffic::Traffic;

use desk::Desk;
use placed::Account;
pub use placed::Placed;

/// Engines in a group at most. A part is kept by one engine of its group, so fewer groups
/// read fewer parts again: at 140 engines, days with trouble earned 0.476 of their worth with
/// one group and 0.461 with groups of 32 (means of five days). The owner of the one desk
/// needs less than 0.1 of a core for 300 generations a second; no larger pool was measured.
const GROUP_ENGINES: usize = 512;
/// Longest wait for a desk's answer; a hop takes about two milliseconds, and
/// choosing alone costs less than waiting much longer.
const ANSWER_WITHIN: Duration = Duration::from_millis(40);

/// A placement at a desk here.
type DeskEntry = (Rc<Desk>, PlacementKey);

/// The desks that this entry owns or owned.
#[derive(Default)]
pub struct Placements {
    desks: RefCell<HashMap<String, Rc<Desk>>>,
    /// Placements that peers have at desks here.
    of_peers: RefCell<HashMap<(PeerId, PlacementId), DeskEntry>>,
    /// Placements asked of peers so far, for their numbers.
    asked: Cell<u64>,
}

impl Placements {
    /// Places a generation on an engine of a service. `None` when no desk
    /// answers in time, or it knows no engine.
    pub async fn place(
        &self,
        cx: &Rc<Traffic>,
        service: &str,
        demand: Demand<Incarnation>,
    ) -> Option<(Incarnation, Placed)> {
        let targets = cx.target_count(service);
        let name = TargetGroup::for_key(targets, GROUP_ENGINES, &demand.part).name(service);
        match cx.peers.owner_of(cx, &name) {
            Owner::Me => {
                let desk = self.desk(cx, &name)?;
                let (key, engine) = desk.place(cx, &demand)?;
                Some((engine, Placed::new(Account::Here(cx.clone(), desk, key))))
            }
            Owner::Peer(link) => {
                let id = self.next_id();
                // Told as given up if the answer comes too late.
                let placed = Placed::new(Account::Peer(link.clone(), id));
                let asked = link.place(id, name, demand);
                let engine = timeout(ANSWER_WITHIN, asked).await.ok()?.ok()??;
                Some((engine, placed))
            }
        }
    }

    fn next_id(&self) -> PlacementId {
        self.asked.set(self.asked.get() + 1);
        PlacementId(self.asked.get())
    }

    /// The desk of that name; `None` when no desk can have it.
    fn desk(&self, cx: &Rc<Traffic>, name: &str) -> Option<Rc<Desk>> {
        if let Some(known) = self.desks.borrow().get(name) {
            return Some(known.clone());
        }
        TargetGroup::parse(name)?;
        let desk = Rc::new(Desk::new(name));
        desk.take_targets(cx);
        self.desks
            .borrow_mut()
            .insert(name.to_string(), desk.clone());
        Some(desk)
    }

    /// A peer asks for a place.
    pub fn take_ask(
        &self,
        cx: &Rc<Traffic>,
        link: &Rc<Link>,
        id: PlacementId,
        desk: &str,
        demand: &Demand<Incarnation>,
    ) {
        let placed = self
            .desk(cx, desk)
            .and_then(|desk| Some((desk.place(cx, demand)?, desk)));
        let engine = placed.map(|((key, engine), desk)| {
            let mut of_peers = self.of_peers.borrow_mut();
            of_peers.insert((link.peer.id, id), (desk, key));
            engine
        });
        link.send(Message::Placed(id, engine));
    }

    /// A peer tells how a placement goes.
    pub fn take_step(&self, cx: &Traffic, from: PeerId, id: PlacementId, step: PlacementStep) {
        let mut of_peers = self.of_peers.borrow_mut();
        let placement = match step {
            PlacementStep::PromptRead => of_peers.get(&(from, id)).cloned(),
            _ => of_peers.remove(&(from, id)),
        };
        if let Some((desk, key)) = placement {
            desk.step(cx, key, step);
        }
    }

    /// A peer is lost: its placements are taken to have ended.
    pub fn requester_lost(&self, cx: &Traffic, peer: PeerId) {
        let mut of_peers = self.of_peers.borrow_mut();
        of_peers.retain(|(of, _), (desk, key)| {
            let stays = *of != peer;
            if !stays {
                desk.step(cx, *key, PlacementStep::Whole);
            }
            stays
        });
    }

    /// Takes the targets of a new view over.
    pub fn take_targets(&self, cx: &Traffic) {
        for desk in self.desks.borrow().values() {
            desk.take_targets(cx);
        }
    }
}
