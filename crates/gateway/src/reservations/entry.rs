//! The entry's side: asks the owners before anything of a request runs.
//!
//! [`reserve`] asks the owners of all contended queues of a request in parallel. A
//! [`ReservedRoom`] stands for what they reserved, and cancels what wasn't used when it is
//! dropped.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hollowsail_fleet::rendezvous;
use hollowsail_observe::ErrorKind;
use hollowsail_platform::deployment::ServiceKey;
use hollowsail_routing::Millis;
use hollowsail_stages::RefusalCause;

use super::messages::{
    ReservationMessage, ReservationReply, Reserve, RoomRefused, StageReservation,
};
use super::times;
use crate::answer::Refusal;
use crate::batched_calls::NoReply;
use crate::mechanisms::Mechanism;
use crate::metrics;
use crate::peers::Owner;
use crate::pools;
use crate::request::{self, Admitted};
use crate::target_group::TargetGroup;
use crate::traffic::Traffic;

/// Number of times that an owner is asked: views of the fleet may differ for a moment.
const MAX_ASKS: u32 = 2;
/// Step of Retry-After in milliseconds: the header has two decimals of a second. It is rounded
/// up, because a caller that returns too early is refused again.
const RETRY_AFTER_STEP_MS: Millis = 10;
/// Weight of every organisation; the platform's configuration has none yet.
const DEFAULT_WEIGHT: f64 = 1.0;

/// What the owners of queues reserved for one request.
pub struct ReservedRoom {
    cx: Rc<Traffic>,
    request_id: String,
    /// Stages that need no forecast.
    stages: RefCell<HashSet<usize>>,
    /// Reservations to cancel unless their stages begin.
    held: RefCell<Vec<HeldQueue>>,
}

/// A reservation that the owner of a queue holds, or may hold when its reply is missing.
struct HeldQueue {
    queue: String,
    owner: Owner,
    /// Stages that haven't begun.
    stages: Vec<usize>,
}

impl ReservedRoom {
    /// No reservations.
    pub fn none(cx: &Rc<Traffic>, admitted: &Admitted) -> Self {
        ReservedRoom {
            cx: cx.clone(),
            request_id: admitted.caller.request_id.clone(),
            stages: RefCell::default(),
            held: RefCell::default(),
        }
    }

    /// True when capacity is reserved for the stage.
    pub fn has(&self, stage: usize) -> bool {
        self.stages.borrow().contains(&stage)
    }

    /// True when capacity is reserved for every stage with pieces.
    pub fn is_complete(&self, pieces: &[u32]) -> bool {
        let mut with_pieces = pieces.iter().enumerate().filter(|(_, pieces)| **pieces > 0);
        !self.stages.borrow().is_empty() && with_pieces.all(|(stage, _)| self.has(stage))
    }

    /// The pieces of a stage are sent to the queue, which counts them from now on.
    pub fn begin(&self, stage: usize) {
        let mut held = self.held.borrow_mut();
        for queue in held.iter_mut() {
            queue.stages.retain(|held| *held != stage);
        }
        held.retain(|queue| !queue.stages.is_empty());
    }

    fn hold(&self, queue: &str, owner: Owner, stages: &[StageReservation]) {
        self.held.borrow_mut().push(HeldQueue {
            queue: queue.to_string(),
            owner,
            stages: stages
                .iter()
                .map(|stage| usize::from(stage.stage))
                .collect(),
        });
    }

    fn forget(&self, queue: &str) {
        self.held.borrow_mut().retain(|held| held.queue != queue);
    }

    /// Asks the owner of a queue. `Err` has the refusal.
    async fn ask(&self, reserve: Reserve) -> Result<(), (String, RoomRefused)> {
        for _ in 0..MAX_ASKS {
            match self.ask_owner(&reserve).await {
                Ok(ReservationReply::Reserved) => {
                    let stages = reserve.stages.iter();
                    let reserved = stages.map(|stage| usize::from(stage.stage));
                    self.stages.borrow_mut().extend(reserved);
                    return Ok(());
                }
                Ok(ReservationReply::Refused(refused)) => {
                    self.forget(&reserve.queue);
                    return Err((reserve.queue, refused));
                }
                Ok(ReservationReply::NotOwner) => {
                    self.forget(&reserve.queue);
                }
                Err(NoReply::Unsupported) => {
                    metrics::count_room_fallback(&reserve.queue, "unsupported");
                    self.forget(&reserve.queue);
                    return Ok(());
                }
                // The owner may have reserved: cancelled with the rest.
                Err(NoReply::Silent) => {
                    metrics::count_room_fallback(&reserve.queue, "silent");
                    return Ok(());
                }
            }
        }
        metrics::count_room_fallback(&reserve.queue, "not_owner");
        Ok(())
    }

    async fn ask_owner(&self, reserve: &Reserve) -> Result<ReservationReply, NoReply> {
        let cx = &self.cx;
        match pools::owner_of(cx, &reserve.queue) {
            Owner::Me => {
                let reply = super::owner::reserve(cx, cx.me.id, reserve);
                self.hold(&reserve.queue, Owner::Me, &reserve.stages);
                Ok(reply)
            }
            Owner::Peer(link) => {
                let client = link.reservations.clone();
                self.hold(&reserve.queue, Owner::Peer(link), &reserve.stages);
                client
                    .request(ReservationMessage::Reserve(reserve.clone()))
                    .await
            }
        }
    }
}

impl Drop for ReservedRoom {
    fn drop(&mut self) {
        for held in self.held.take() {
            let request_id = self.request_id.clone();
            match held.owner {
                Owner::Me => {
                    let from = self.cx.me.id;
                    super::owner::cancel(&self.cx, from, &held.queue, &request_id);
                }
                Owner::Peer(link) => link.reservations.send(ReservationMessage::Cancel {
                    queue: held.queue,
                    request_id,
                }),
            }
        }
    }
}

/// Reserves capacity in all contended queues that a request uses. Refuses it when an owner
/// does; queues without a reply are left to the forecast.
pub async fn reserve(cx: &Rc<Traffic>, admitted: &Admitted) -> Result<ReservedRoom, Refusal> {
    let room = ReservedRoom::none(cx, admitted);
    let contended = contended_stages(cx, admitted);
    if contended.is_empty() {
        return Ok(room);
    }
    cx.peers.wait_until_settled(cx).await;
    let requests = requests(cx, admitted, &contended);
    let answers = join_all(requests.into_iter().map(|reserve| room.ask(reserve))).await;
    let refusals = answers.into_iter().filter_map(Result::err);
    match refusals.max_by_key(|(_, refused)| refused.retry_after_ms) {
        Some((queue, refused)) => Err(refusal(admitted, &queue, refused)),
        None => Ok(room),
    }
}

/// Stages with pieces at a contended service.
fn contended_stages(cx: &Rc<Traffic>, admitted: &Admitted) -> Vec<usize> {
    if !cx.has(Mechanism::Reservations) {
        return Vec::new();
    }
    let is_contended = |service: ServiceKey| {
        cx.reservations
            .is_contended(cx, &admitted.deployment, service)
    };
    let stages = admitted.route().stages.iter().enumerate();
    let contended = stages.filter(|(index, stage)| {
        admitted.pieces_of(*index) > 0
            && admitted
                .deployment
                .service(stage.service)
                .stage_pool
                .is_some()
            && is_contended(stage.service)
    });
    contended.map(|(index, _)| index).collect()
}

/// One request for each queue.
fn requests(cx: &Rc<Traffic>, admitted: &Admitted, contended: &[usize]) -> Vec<Reserve> {
    let stages = &admitted.route().stages;
    let request_id = &admitted.caller.request_id;
    let ready = times::ready_in_ms(&admitted.deployment, stages, &admitted.caller.pieces);
    let graph = request::stage_graph(cx, admitted);
    let now = cx.clock.now();
    let mut by_queue: BTreeMap<String, Vec<StageReservation>> = BTreeMap::new();
    for &index in contended {
        let stage = &stages[index];
        let service = &admitted.deployment.service(stage.service).name;
        let queue = pools::queue_for(cx, service, request_id);
        let pieces = admitted.pieces_of(index);
        by_queue.entry(queue).or_default().push(StageReservation {
            stage: index as u16,
            pieces,
            result_bytes: stage.result_bytes,
            ready_in_ms: ready[index],
            due_in_ms: request::stage_due(cx, admitted, &graph, index).saturating_sub(now),
        });
    }
    let new_request = |(queue, mut stages): (String, Vec<StageReservation>)| {
        // The owner counts arriving pieces for the stages in this order.
        stages.sort_by_key(|stage| stage.ready_in_ms);
        Reserve {
            queue,
            request_id: request_id.clone(),
            digest: admitted.digest(),
            urgency: admitted.urgency,
            organisation: admitted
                .organisation_name()
                .map_or(NO_ORGANISATION, organisation_hash),
            weight: DEFAULT_WEIGHT,
            max_return_ms: request::max_return(admitted).as_millis() as Millis,
            stages,
        }
    };
    by_queue.into_iter().map(new_request).collect()
}

/// Stands for callers without an organisation.
pub const NO_ORGANISATION: u64 = 0;

/// Identifies an organisation in all entries of a build.
pub fn organisation_hash(name: &str) -> u64 {
    rendezvous::score(name, ())
}

fn refusal(admitted: &Admitted, queue: &str, refused: RoomRefused) -> Refusal {
    let service = TargetGroup::parse(queue).map_or(queue, |(service, _)| service);
    let cause = match refused.cause {
        RefusalCause::Full => "its capacity is in use or reserved".to_string(),
        RefusalCause::OverShare => match admitted.organisation_name() {
            Some(name) => format!("over the share of organisation {name}"),
            None => "over the share of callers without an organisation".to_string(),
        },
        RefusalCause::TooEarly => "sent again before its Retry-After".to_string(),
    };
    let detail = format!("no room in service {service}: {cause} (queue {queue})");
    let steps = refused.retry_after_ms.div_ceil(RETRY_AFTER_STEP_MS);
    let retry_after = Duration::from_millis(steps.saturating_mul(RETRY_AFTER_STEP_MS));
    Refusal::new(ErrorKind::CannotFinish, detail).with_retry_after(retry_after)
}
