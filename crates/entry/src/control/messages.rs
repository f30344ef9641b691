//! Messages to the control actor and their handlers.
//!
//! Traffic threads, the peers' and the operators' listeners and the planned stop
//! reach the control state only through these.

use std::sync::Arc;

use actix::{Context, Handler, Message, MessageResult, ResponseFuture};
use hollowsail_fleet::{Connectivity, Exchange, Incarnation, Member, Stopping};
use serde::{Deserialize, Serialize};

use crate::attempt_report::AttemptReport;
use crate::configuration::Configuration;
use crate::control::Control;
use crate::events;

/// An exchange received from a peer; answered with this entry's.
#[derive(Message)]
#[rtype(result = "MessageResponse")]
pub struct ReceivedExchange(pub Exchange);

/// This entry's reply to an exchange.
pub struct MessageResponse(pub Exchange);

impl Handler<ReceivedExchange> for Control {
    type Result = MessageResult<ReceivedExchange>;

    fn handle(&mut self, message: ReceivedExchange, cx: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let wants_all = message.0.wants_all;
        self.fleet.receive(now, message.0);
        self.publish();
        self.fetch_newer_from_peer(cx);
        MessageResult(MessageResponse(self.fleet.reply(wants_all)))
    }
}

impl Handler<AttemptReport> for Control {
    type Result = ();

    fn handle(&mut self, report: AttemptReport, _: &mut Context<Self>) {
        self.record_attempt(&report);
    }
}

/// Puts a configuration that this entry accepted in force; answers false when
/// the revision isn't newer than the one in force.
#[derive(Message)]
#[rtype(result = "bool")]
pub struct Adopt(pub Arc<Configuration>);

impl Handler<Adopt> for Control {
    type Result = bool;

    fn handle(&mut self, message: Adopt, cx: &mut Context<Self>) -> bool {
        let adopted = self.adopt(message.0, "apply");
        self.broadcast_update(cx);
        adopted
    }
}

/// An operator's request to drain the host with this name.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Drain(pub String);

impl Handler<Drain> for Control {
    type Result = ();

    fn handle(&mut self, message: Drain, cx: &mut Context<Self>) {
        self.mark_draining(&message.0, "operator");
        self.broadcast_update(cx);
    }
}

/// Begins a planned stop: announces this entry as leaving.
#[derive(Message)]
#[rtype(result = "()")]
pub struct BeginStop;

impl Handler<BeginStop> for Control {
    type Result = ();

    fn handle(&mut self, _: BeginStop, cx: &mut Context<Self>) {
        self.entry.log(events::STOP_BEGUN, format_args!(""));
        self.fleet.set_stopping(Stopping::Leaving, None);
        self.publish();
        self.broadcast_update(cx);
    }
}

/// Announces that this entry has stopped, and the successor that took over its
/// ledger, if any. Answered with the number of peers that replied.
#[derive(Message)]
#[rtype(result = "usize")]
pub struct AnnounceLeft(pub Option<Incarnation>);

impl Handler<AnnounceLeft> for Control {
    type Result = ResponseFuture<usize>;

    fn handle(&mut self, message: AnnounceLeft, _: &mut Context<Self>) -> Self::Result {
        self.fleet.set_stopping(Stopping::Left, message.0);
        self.publish();
        Box::pin(self.broadcast_to_all())
    }
}

/// Requests the operators' status report.
#[derive(Message)]
#[rtype(result = "StatusReply")]
pub struct Status;

/// State of this entry, and of the members and targets as this entry sees them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusReport {
    pub entry: String,
    pub revision: u64,
    /// Milliseconds since that revision came into force here.
    pub revision_age_ms: Option<u64>,
    pub apply_id: Option<String>,
    pub standing: String,
    /// Milliseconds since the store last answered; `None` if it never did.
    pub store_age_ms: Option<u64>,
    pub ledger_open: usize,
    pub ledger_records: usize,
    pub members: Vec<MemberStatus>,
    pub targets: Vec<TargetStatus>,
}

/// One entry, as the reporting entry sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    pub name: String,
    pub hall: String,
    pub incarnation: String,
    pub health: String,
    pub stopping: String,
    pub revision: u64,
    /// Milliseconds since the reporting entry last received an exchange from it;
    /// `None` if it never did. The other fields may be as old as that.
    pub heard_ms_ago: Option<u64>,
}

impl MemberStatus {
    fn new(member: &Member, received_ms_ago: Option<u64>) -> Self {
        MemberStatus {
            name: member.name.clone(),
            hall: member.hall.clone(),
            incarnation: format!("{:x}", member.incarnation),
            health: format!("{:?}", member.health),
            stopping: format!("{:?}", member.stopping),
            revision: member.revision,
            heard_ms_ago: received_ms_ago,
        }
    }
}

/// One target, as the reporting entry sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetStatus {
    pub name: String,
    pub in_flight: u32,
    /// Ratio of recent to typical latency; 1 is normal.
    pub slowness: f64,
    pub ejected: bool,
    pub takes_work: bool,
}

/// Newtype for the handler's result.
pub struct StatusReply(pub StatusReport);

impl Handler<Status> for Control {
    type Result = MessageResult<Status>;

    fn handle(&mut self, _: Status, _: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let (open, records) = {
            let once = self.entry.once.lock().expect("no panic while held");
            (once.open_record_count(), once.record_count())
        };
        let view = self.entry.view();
        let connectivity = match view.connectivity {
            Connectivity::Starting => "starting",
            Connectivity::InTouch => "in touch",
            Connectivity::Isolated => "isolated",
        };
        let own = self.fleet.own();
        let others = self.fleet.others().into_iter().map(|member| {
            let last_received = self.fleet.last_received(member.incarnation);
            MemberStatus::new(member, last_received.map(|time| now - time))
        });
        let members = std::iter::once(MemberStatus::new(own, Some(0)))
            .chain(others)
            .collect();
        MessageResult(StatusReply(StatusReport {
            entry: self.entry.settings.name.clone(),
            revision: view.revision(),
            revision_age_ms: self.in_force_since.map(|since| now - since),
            apply_id: self.configuration.as_ref().map(|c| c.head.apply_id.clone()),
            standing: connectivity.into(),
            store_age_ms: self.config_sync.last_store_answer.map(|time| now - time),
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
