//! Messages to the control thread, and their handlers.

use std::sync::Arc;

use actix::{Context, Handler, Message, MessageResult, ResponseFuture};
use hollowsail_fleet::{Exchange, Incarnation, Member, Standing, Stopping};
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::control::Control;
use crate::events;
use crate::fact::Fact;

/// A peer's half of an exchange; answered with ours.
#[derive(Message)]
#[rtype(result = "MessageResponse")]
pub struct Incoming(pub Exchange);

/// Our half of an exchange.
pub struct MessageResponse(pub Exchange);

impl Handler<Incoming> for Control {
    type Result = MessageResult<Incoming>;

    fn handle(&mut self, message: Incoming, cx: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let newcomer = message.0.wants_all;
        self.fleet.receive(now, message.0);
        self.publish();
        self.look_for_newer(cx);
        MessageResult(MessageResponse(self.fleet.reply(newcomer)))
    }
}

impl Handler<Fact> for Control {
    type Result = ();

    fn handle(&mut self, fact: Fact, _: &mut Context<Self>) {
        self.take_fact(&fact);
    }
}

/// Puts a configuration in force that this entry has accepted.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Adopt(pub Arc<Configuration>);

impl Handler<Adopt> for Control {
    type Result = bool;

    fn handle(&mut self, message: Adopt, cx: &mut Context<Self>) -> bool {
        let adopted = self.adopt(message.0, "apply");
        self.spread_news(cx);
        adopted
    }
}

/// An operator says that a host is leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Drain(pub String);

impl Handler<Drain> for Control {
    type Result = ();

    fn handle(&mut self, message: Drain, cx: &mut Context<Self>) {
        self.learn_leaving(&message.0, "operator");
        self.spread_news(cx);
    }
}

/// A planned stop of this entry begins.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BeginStop;

impl Handler<BeginStop> for Control {
    type Result = ();

    fn handle(&mut self, _: BeginStop, cx: &mut Context<Self>) {
        self.entry.log(events::STOP_BEGUN, format_args!(""));
        self.fleet.set_stopping(Stopping::Leaving, None);
        self.publish();
        self.spread_news(cx);
    }
}

/// This entry has stopped; a successor answers for its tickets, if any. The
/// answer is the number of peers that know.
#[derive(Message)]
#[rtype(result = "usize")]
pub struct LeaveFor(pub Option<Incarnation>);

impl Handler<LeaveFor> for Control {
    type Result = ResponseFuture<usize>;

    fn handle(&mut self, message: LeaveFor, _: &mut Context<Self>) -> Self::Result {
        self.fleet.set_stopping(Stopping::Left, message.0);
        self.publish();
        Box::pin(self.spread_to_all())
    }
}

/// Asks for what operators want to know.
#[derive(Message)]
#[rtype(result = "StatusReply")]
pub struct Status;

/// What this entry knows of itself and the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusReport {
    pub entry: String,
    pub revision: u64,
    /// Milliseconds since that revision came in force here.
    pub revision_age_ms: Option<u64>,
    pub apply_id: Option<String>,
    pub standing: String,
    /// Milliseconds since the store last answered; `None`: never.
    pub store_age_ms: Option<u64>,
    pub ledger_open: usize,
    pub ledger_records: usize,
    pub members: Vec<MemberStatus>,
    pub targets: Vec<TargetStatus>,
}

/// One entry, as the answering one sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub hall: String,
    pub incarnation: String,
    pub health: String,
    pub stopping: String,
    pub revision: u64,
    /// Milliseconds since it spoke to the answering entry itself; `None`: not
    /// yet. What is shown of it may be as old as that.
    pub heard_ms_ago: Option<u64>,
}

impl MemberStatus {
    fn new(member: &Member, heard_ms_ago: Option<u64>) -> Self {
        MemberStatus {
            name: member.name.clone(),
            hall: member.hall.clone(),
            incarnation: format!("{:x}", member.incarnation),
            health: format!("{:?}", member.health),
            stopping: format!("{:?}", member.stopping),
            revision: member.revision,
            heard_ms_ago,
        }
    }
}

/// One target, as the answering entry sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetStatus {
    pub name: String,
    pub in_flight: u32,
    /// Recent times over typical ones; 1 is as usual.
    pub slowness: f64,
    pub ejected: bool,
    pub takes_work: bool,
}

/// Envelope, since actix wants a type of its own for the answer.
pub struct StatusReply(pub StatusReport);

impl Handler<Status> for Control {
    type Result = MessageResult<Status>;

    fn handle(&mut self, _: Status, _: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let (open, records) = {
            let once = self.entry.once.lock().expect("no panic while held");
            (once.open_records(), once.records())
        };
        let view = self.entry.view();
        let standing = match view.standing {
            Standing::Starting => "starting",
            Standing::InTouch => "in touch",
            Standing::Isolated => "isolated",
        };
        let own = self.fleet.own();
        let others = self.fleet.others().into_iter().map(|member| {
            let heard = self.fleet.last_heard(member.incarnation);
            MemberStatus::new(member, heard.map(|at| now - at))
        });
        let members = std::iter::once(MemberStatus::new(own, Some(0)))
            .chain(others)
            .collect();
        MessageResult(StatusReply(StatusReport {
            entry: self.entry.settings.name.clone(),
            revision: view.revision(),
            revision_age_ms: self.in_force_since.map(|at| now - at),
            apply_id: self.configuration.as_ref().map(|c| c.head.apply_id.clone()),
            standing: standing.into(),
            store_age_ms: self.spread.last_store.map(|at| now - at),
            ledger_open: open,
            ledger_records: records,
            members,
            targets: target_statuses(&view),
        }))
    }
}

fn target_statuses(view: &crate::view::View) -> Vec<TargetStatus> {
    let Some(deployment) = view.deployment() else {
        return Vec::new();
    };
    deployment
        .targets
        .iter()
        .zip(&view.targets)
        .map(|(target, state)| TargetStatus {
            name: target.name.clone(),
            in_flight: state.in_flight.load(std::sync::atomic::Ordering::Relaxed),
            slowness: state.slowness,
            ejected: state.ejected,
            takes_work: state.takes_work,
        })
        .collect()
}
