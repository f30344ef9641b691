//! Requests to targets.
//!
//! All requests to targets pass through here, so that a target's reports in an answer
//! ([`crate::target_reports`]) take effect before the answer is used. New work takes a permit for
//! each request or piece, so that none is sent again without one ([`crate::repeats`]), and is
//! followed until it can't arrive any more: also after nobody waits for its answer.

use std::rc::Rc;

use bytes::Bytes;
use hollowsail_connect::{Connection, End, Exchange, OnEnd, Reuse, SendError};
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::headers::{self, InvalidValue, TargetHeaders};
use hollowsail_routing::repeats::{SendPermits, TrackedSend};
use hollowsail_routing::Millis;
use hollowsail_targets::Target;
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::Full;

use crate::kept_body::{KeptBody, KeptBodyError};
use crate::kept_bytes::AnswerAccount;
use crate::metrics;
use crate::target_reports;
use crate::traffic::Traffic;

/// New work that is being sent. Dropping it abandons the work unless it is settled.
struct Sending<'a> {
    cx: &'a Rc<Traffic>,
    target: &'a Target,
    sends: Rc<[TrackedSend]>,
    sent_at: Millis,
    is_relayed: bool,
}

impl<'a> Sending<'a> {
    fn begin(
        cx: &'a Rc<Traffic>,
        target: &'a Target,
        permits: &SendPermits,
        is_relayed: bool,
    ) -> Self {
        let sent_at = cx.clock.now();
        let sends: Rc<[TrackedSend]> = permits.sends().cloned().collect();
        let each = sends.iter();
        each.for_each(|send| send.begin(sent_at, is_relayed));
        target.stall.borrow_mut().record_sent(sent_at);
        Sending {
            cx,
            target,
            sends,
            sent_at,
            is_relayed,
        }
    }

    /// Follows the sends to the end of their connection.
    fn on_end(&self) -> OnEnd {
        let (cx, sends) = (Rc::downgrade(self.cx), self.sends.clone());
        let record = self.target.record.clone();
        Rc::new(move |end| {
            let Some(cx) = cx.upgrade() else { return };
            let now = cx.clock.now();
            let abandoned_at = sends.iter().find_map(|send| send.abandoned_at(now));
            match end {
                End::ByPeer => sends.iter().for_each(TrackedSend::settle),
                End::Unknown => sends.iter().for_each(|send| send.lose(now)),
            }
            let Some(abandoned_at) = abandoned_at else {
                return;
            };
            let end = match end {
                End::ByPeer => "by_target",
                End::Unknown => "unknown",
            };
            metrics::count_abandoned(&record.service, end);
            let fields = format_args!(
                "service={} target={} end={end} after_ms={}",
                Field(&record.service),
                Field(&record.incarnation.id),
                now - abandoned_at
            );
            cx.log.line(events::ABANDONED_SEND_ENDED, fields);
        })
    }

    fn answered(&self) {
        let now = self.cx.clock.now();
        self.sends.iter().for_each(TrackedSend::settle);
        let mut stall = self.target.stall.borrow_mut();
        stall.record_answered(now, self.sent_at, self.is_relayed);
    }

    /// Nothing was sent.
    fn withdraw(&self) {
        let now = self.cx.clock.now();
        self.sends.iter().for_each(|send| send.withdraw(now));
    }
}

impl Drop for Sending<'_> {
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        self.sends.iter().for_each(|send| send.abandon(now));
        // All are on one connection.
        let abandoned = self.sends.first();
        if let Some(send) = abandoned.filter(|send| send.abandoned_at(now).is_some()) {
            if self.is_relayed || !self.cx.reach.may_hold(self.sent_at) {
                self.target.stall.borrow_mut().record_abandoned(now, send);
            }
        }
    }
}

/// The headers of a target's answer, and the exchange that carries its body.
pub struct Answer {
    pub head: TargetHeaders,
    /// It names another request: a faulty target has answered that one twice.
    pub is_foreign: bool,
    exchange: Exchange,
    account: Rc<AnswerAccount>,
}

impl Answer {
    /// Splits the answer into its headers and its body. The connection of a foreign answer isn't
    /// used again, since the answer to this request is still to come.
    pub fn into_body(self) -> (Parts, KeptBody) {
        let (parts, body) = self.exchange.into_body(!self.is_foreign);
        (parts, KeptBody::new(body, self.account))
    }
}

/// A complete answer of a target.
pub struct CompleteAnswer {
    pub status: StatusCode,
    pub head: TargetHeaders,
    /// See [`Answer::is_foreign`].
    pub is_foreign: bool,
    /// `None` when it is longer than the caller accepts; an error when it was interrupted.
    pub body: Result<Option<Bytes>, KeptBodyError>,
}

/// Why new work got no answer.
pub struct Unanswered {
    pub error: SendError,
    /// Given back if the target got nothing, unless they may not be used any more.
    pub permits: Option<SendPermits>,
}

/// Sends new work and waits for the headers of its answer, on `connection` if the request waited
/// for one ([`crate::connections`]). The request is made once there is a connection, so that the time
/// that it leaves is current; nothing is sent if it can't be made. Withdraws it if the target leaves,
/// or `may_send` is false, before it is sent. The caller bounds the time; dropping the future closes
/// the connection.
pub async fn send(
    cx: &Rc<Traffic>,
    target: &Target,
    connection: Option<Connection>,
    make_req: impl FnOnce() -> Result<Request<Full<Bytes>>, InvalidValue>,
    reuse: Reuse,
    permits: SendPermits,
    may_send: impl Fn() -> bool,
) -> Result<Answer, Unanswered> {
    let is_valid = |permits: &SendPermits| permits.are_valid(cx.clock.now());
    let (connection, permits) = match connection {
        Some(connection) => (connection, permits),
        None => connect(target, reuse, permits).await?,
    };
    let req = match make_req() {
        Ok(req) => req,
        Err(fault) => {
            return Err(Unanswered {
                permits: Some(permits),
                error: SendError::Unsendable {
                    addr: target.record.addr,
                    reason: fault.to_string(),
                },
            })
        }
    };
    let is_wanted = || cx.is_in_use(target) && is_valid(&permits) && may_send();
    let sending = Sending::begin(cx, target, &permits, connection.is_relayed());
    let on_end = Some(sending.on_end());
    let sent = send_if(cx, target, connection, req, reuse, is_wanted, on_end).await;
    match sent {
        Ok(answer) => {
            sending.answered();
            Ok(answer)
        }
        Err(error) if error.nothing_sent() => {
            sending.withdraw();
            let permits = Some(permits).filter(is_valid);
            Err(Unanswered { permits, error })
        }
        Err(error) => {
            if error.is_malformed() {
                sending.answered();
            }
            Err(Unanswered {
                permits: None,
                error,
            })
        }
    }
}

/// Takes a connection for new work; gives the permits back with it, or in the error.
async fn connect(
    target: &Target,
    reuse: Reuse,
    permits: SendPermits,
) -> Result<(Connection, SendPermits), Unanswered> {
    match target.pool.connect(reuse, None).await {
        Ok(connection) => Ok((connection, permits)),
        Err(error) => Err(Unanswered {
            error,
            permits: Some(permits),
        }),
    }
}

async fn send_if(
    cx: &Rc<Traffic>,
    target: &Target,
    connection: Connection,
    req: Request<Full<Bytes>>,
    reuse: Reuse,
    is_wanted: impl Fn() -> bool,
    on_end: Option<OnEnd>,
) -> Result<Answer, SendError> {
    let request_id = headers::request_id(req.headers()).map(str::to_string);
    let sent_at = cx.clock.now();
    let account = cx.kept.answer(target.record.addr);
    let sending = connection
        .counted_by(account.on_received())
        .send_if(req, reuse, is_wanted, on_end);
    let exchange = tokio::select! {
        exchange = sending => exchange?,
        () = account.ended() => {
            let addr = target.record.addr;
            return Err(SendError::GaveWay { addr });
        }
    };
    let response = exchange.response();
    let head = TargetHeaders::read(response.status(), response.headers());
    let named = head.request_id.as_ref().zip(request_id.as_ref());
    let is_foreign = named.is_some_and(|(answered, sent)| answered != sent);
    // An answer to an earlier request may arrive on the connection; its report is older.
    let is_ours = !is_foreign && (head.not_run || head.request_id == request_id);
    let sent_at = if is_ours { sent_at } else { 0 };
    target_reports::record_reports(cx, target, response.status(), &head, sent_at);
    Ok(Answer {
        head,
        is_foreign,
        exchange,
        account,
    })
}

/// Sends new work on any connection and reads up to `max_bytes` of its answer. Ends when the work
/// was sent directly and this host loses its links to all targets. The caller bounds the time;
/// dropping the future closes the connection.
pub async fn call(
    cx: &Rc<Traffic>,
    target: &Target,
    make_req: impl FnOnce() -> Result<Request<Full<Bytes>>, InvalidValue>,
    max_bytes: usize,
    permits: SendPermits,
) -> Result<CompleteAnswer, Unanswered> {
    let (connection, permits) = connect(target, Reuse::Any, permits).await?;
    let is_direct = !connection.is_relayed();
    let answered = async {
        let connection = Some(connection);
        let may_send = || true;
        let answer = send(
            cx,
            target,
            connection,
            make_req,
            Reuse::Any,
            permits,
            may_send,
        )
        .await?;
        Ok(read(answer, max_bytes).await)
    };
    tokio::select! {
        biased;
        answered = answered => answered,
        () = cx.reach.wait_cut_off(), if is_direct => {
            let addr = target.record.addr;
            Err(Unanswered { error: SendError::LinkLost { addr }, permits: None })
        }
    }
}

/// The same for a request that ends earlier work, which a target that leaves gets, too.
pub async fn call_to_clean_up(
    cx: &Rc<Traffic>,
    target: &Target,
    req: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<CompleteAnswer, SendError> {
    let connection = target.pool.connect(Reuse::Any, None).await?;
    let answer = send_if(cx, target, connection, req, Reuse::Any, || true, None).await?;
    Ok(read(answer, max_bytes).await)
}

async fn read(answer: Answer, max_bytes: usize) -> CompleteAnswer {
    let (head, is_foreign) = (answer.head.clone(), answer.is_foreign);
    let (parts, body) = answer.into_body();
    CompleteAnswer {
        status: parts.status,
        head,
        is_foreign,
        body: body.collect(max_bytes).await,
    }
}
