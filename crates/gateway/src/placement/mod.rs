//! Which engine gets a generation: the desk of its group of engines says.
//!
//! Every group of engines has one owner among the entries, as queues of stages
//! do, and its [`Desk`] knows what all entries have there. An entry asks
//! it over the peers' links; where no answer comes in time it chooses by itself,
//! with what it knows. A [`Placed`] tells the desk how the generation went.
//!
//! Where a target of a plain service names a limit, the service has a desk, too: what all
//! entries together send there is known to one alone.

mod desk;
mod placed;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{Demand, DemandKey, PlacementKey};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::peers::{Link, Message, Owner, PeerId, PlaceAnswer, PlacementId, PlacementStep};
use crate::target_group::TargetGroup;
use crate::traffic::Traffic;

use desk::{Answer, Desk, Reply};
use placed::Account;
pub use placed::Placed;

/// Engines in a group at most. A part is kept by one engine of its group, so fewer groups
/// read fewer parts again; one owner's processor bears hundreds of generations a second. No
/// larger pool was measured.
const GROUP_ENGINES: usize = 512;
/// Longest wait for a desk's answer; a hop takes about two milliseconds, and
/// choosing alone costs less than waiting much longer.
const ANSWER_WITHIN: Duration = Duration::from_millis(40);

/// A placement at a desk here.
type DeskEntry = (Rc<Desk>, PlacementKey);

/// What came of asking for a place.
pub enum PlaceEnd {
    There(Incarnation, Placed),
    /// All that may serve have had what they take, for longer than the request may wait.
    Full {
        return_in: Duration,
    },
    /// The desk knows none.
    Nowhere,
    /// No desk answers.
    Silent,
}

/// A demand in the queue of a desk here, until it is dropped.
struct Queued {
    desk: Rc<Desk>,
    key: DemandKey,
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.desk.leave_queue(self.key);
    }
}

/// The desks that this entry owns or owned.
#[derive(Default)]
pub struct Placements {
    desks: RefCell<HashMap<String, Rc<Desk>>>,
    /// Placements that peers have at desks here.
    of_peers: RefCell<HashMap<(PeerId, PlacementId), DeskEntry>>,
    /// Demands of peers that wait at desks here.
    of_peers_queued: RefCell<HashMap<(PeerId, PlacementId), Queued>>,
    /// Placements asked of peers so far, for their numbers.
    asked: Cell<u64>,
}

impl Placements {
    /// Places a request on a target of a service.
    pub async fn place(
        &self,
        cx: &Rc<Traffic>,
        service: &str,
        demand: Demand<Incarnation>,
    ) -> PlaceEnd {
        let targets = cx.target_count(service);
        let name = TargetGroup::for_key(targets, GROUP_ENGINES, &demand.part).name(service);
        match cx.peers.owner_of(cx, &name) {
            Owner::Me => match self.desk(cx, &name) {
                Some(desk) => place_here(cx, desk, demand).await,
                None => PlaceEnd::Nowhere,
            },
            Owner::Peer(link) => self.place_at_peer(link, name, demand).await,
        }
    }

    async fn place_at_peer(
        &self,
        link: Rc<Link>,
        desk: String,
        demand: Demand<Incarnation>,
    ) -> PlaceEnd {
        let id = self.next_id();
        let waits = Duration::from_millis(demand.waits_ms);
        // Told as given up if the answer comes too late.
        let placed = Placed::new(Account::Peer(link.clone(), id));
        let mut ask = link.place(id, desk, demand);
        let mut answer = timeout(ANSWER_WITHIN, ask.next()).await;
        if let Ok(Some(PlaceAnswer::Waits)) = answer {
            answer = timeout(waits + ANSWER_WITHIN, ask.next()).await;
        }
        match answer {
            Ok(Some(PlaceAnswer::There(engine))) => PlaceEnd::There(engine, placed),
            Ok(Some(PlaceAnswer::Full { return_ms })) => full(return_ms),
            Ok(Some(PlaceAnswer::Nowhere)) => PlaceEnd::Nowhere,
            Ok(Some(PlaceAnswer::Waits) | None) | Err(_) => PlaceEnd::Silent,
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
        demand: Demand<Incarnation>,
    ) {
        let Some(desk) = self.desk(cx, desk) else {
            link.send(Message::Placed(id, PlaceAnswer::Nowhere));
            return;
        };
        let answer = desk.ask(cx, &demand);
        if let Answer::MayWait(until) = answer {
            let reply = Reply::Peer(link.clone(), id);
            let key = desk.wait(cx, demand, until, reply);
            let queued = Queued {
                desk: desk.clone(),
                key,
            };
            let mut waiting = self.of_peers_queued.borrow_mut();
            waiting.insert((link.peer.id, id), queued);
        }
        self.answer_peer(&desk, link, id, &answer);
    }

    /// Tells a peer what its demand got at a desk here.
    fn answer_peer(&self, desk: &Rc<Desk>, link: &Rc<Link>, id: PlacementId, answer: &Answer) {
        let of = (link.peer.id, id);
        if let Answer::There(key, _) = answer {
            let mut of_peers = self.of_peers.borrow_mut();
            of_peers.insert(of, (desk.clone(), *key));
        }
        if !matches!(answer, Answer::MayWait(_)) {
            self.of_peers_queued.borrow_mut().remove(&of);
        }
        link.send(Message::Placed(id, answer.for_peer()));
    }

    /// A peer tells how a placement goes.
    pub fn take_step(&self, cx: &Traffic, from: PeerId, id: PlacementId, step: PlacementStep) {
        self.of_peers_queued.borrow_mut().remove(&(from, id));
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
        let mut queued = self.of_peers_queued.borrow_mut();
        queued.retain(|(of, _), _| *of != peer);
        drop(queued);
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
    pub fn take_targets(&self, cx: &Rc<Traffic>) {
        for desk in self.desks.borrow().values() {
            desk.take_targets(cx);
        }
    }

    /// The same for one service.
    pub fn take_targets_of(&self, cx: &Rc<Traffic>, service: &str) {
        let desks = self.desks.borrow();
        let desks = desks.iter().filter(|(name, _)| {
            TargetGroup::parse(name).is_some_and(|(known, _)| known == service)
        });
        desks.for_each(|(_, desk)| desk.take_targets(cx));
    }
}

/// Places a request at a desk here.
async fn place_here(cx: &Rc<Traffic>, desk: Rc<Desk>, demand: Demand<Incarnation>) -> PlaceEnd {
    let mut answer = desk.ask(cx, &demand);
    if let Answer::MayWait(until) = answer {
        let (tx, rx) = oneshot::channel();
        let key = desk.wait(cx, demand, until, Reply::Here(tx));
        let _queued = Queued {
            desk: desk.clone(),
            key,
        };
        answer = rx.await.unwrap_or(Answer::Nowhere);
    }
    match answer {
        Answer::There(key, engine) => {
            let account = Account::Here(cx.clone(), desk, key);
            PlaceEnd::There(engine, Placed::new(account))
        }
        Answer::Full { return_ms } => full(return_ms),
        Answer::MayWait(_) | Answer::Nowhere => PlaceEnd::Nowhere,
    }
}

fn full(return_ms: u64) -> PlaceEnd {
    PlaceEnd::Full {
        return_in: Duration::from_millis(return_ms),
    }
}
