//! Relays connections to targets for peers.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hollowsail_connect::{relay, Counted, DialError, ProcessState, RelayedPeer};
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_targets::Target;
use http::{header, HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::upgrade::OnUpgrade;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::messages::{
    RelayRequest, CONFIRMING_PROTOCOL, CONNECT_REFUSED, PROTOCOL, RETIRES, RETIRING_PROTOCOL,
    TARGET_REFUSED, TARGET_SILENT, UNABLE,
};
use super::open::dial_direct;
use crate::mechanisms::Mechanism;
use crate::peers;
use crate::traffic::{Stopping, Traffic};

pub use super::messages::RELAY_PATH;

/// Share of the descriptors that relayed connections may use; each takes two.
const DESCRIPTORS_SHARE: f64 = 0.1;
/// Longest connect to a target, above the round trip between the farthest regions. The peer may ask
/// other entries.
const MAX_CONNECT_TIME: Duration = Duration::from_millis(150);
/// How recently this entry has to have reached a target for a refused connect to be the target's
/// doing, in milliseconds.
const TRUSTED_MS: u64 = 1_000;

/// Counts a relayed connection until it is dropped.
struct Relayed(Rc<Cell<usize>>);

impl Relayed {
    fn begin(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Relayed(count.clone())
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Connects to the target that a peer asks for, and relays the connection if that succeeds.
pub async fn accept(
    cx: &Rc<Traffic>,
    mut req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let upgrade = hyper::upgrade::on(&mut req);
    let protocol = protocol_for(req.headers());
    let request: RelayRequest = peers::read(cx, req).await?;
    if request.to != cx.me.id {
        return Err(StatusCode::MISDIRECTED_REQUEST);
    }
    if !may_relay(cx) {
        return Err(UNABLE);
    }
    let relayed = Relayed::begin(&cx.reach.relayed);
    let target = cx.target(&request.target).ok_or(TARGET_SILENT)?;
    let stream = connect(cx, &target, &request).await?;
    let state = RelayedPeer {
        is_running: is_running(target.clone()),
        is_unwanted: until_unwanted(cx.clone(), target),
        may_retire: protocol == RETIRING_PROTOCOL,
    };
    actix_rt::spawn(async move {
        pass_on(upgrade, stream, state).await;
        drop(relayed);
    });
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(header::UPGRADE, HeaderValue::from_static(protocol));
    Ok(response)
}

/// The newest protocol that the requester understands.
fn protocol_for(headers: &HeaderMap) -> &'static str {
    match headers.get(header::UPGRADE) {
        Some(_) if headers.contains_key(RETIRES) => RETIRING_PROTOCOL,
        Some(offered) if offered == CONFIRMING_PROTOCOL => CONFIRMING_PROTOCOL,
        _ => PROTOCOL,
    }
}

fn may_relay(cx: &Traffic) -> bool {
    let limit = cx.settings().limits.descriptors as f64 * DESCRIPTORS_SHARE / 2.0;
    // Until then, a relayed request has as much time to end as a new one of this host.
    let is_stopping = cx.stopping.get() == Stopping::RefusingNew;
    let is_on = cx.has(Mechanism::Relays);
    is_on && !is_stopping && !cx.reach.is_cut_off() && (cx.reach.relayed() as f64) < limit
}

/// Connects to a target directly: a relay never asks another.
async fn connect(
    cx: &Rc<Traffic>,
    target: &Target,
    request: &RelayRequest,
) -> Result<TcpStream, StatusCode> {
    let limit = Duration::from_millis(request.timeout_ms).min(MAX_CONNECT_TIME);
    let dialled = dial_direct(cx, target.record.addr, limit).await;
    dialled.map_err(|err| match err {
        DialError::TimedOut { .. } | DialError::Unreachable { .. } => TARGET_SILENT,
        DialError::Refused { .. } if has_reached_others(cx) => TARGET_REFUSED,
        DialError::Refused { .. } => CONNECT_REFUSED,
    })
}

fn has_reached_others(cx: &Traffic) -> bool {
    let state = cx.reach.state.borrow();
    state.has_reached_within(cx.clock.now(), TRUSTED_MS)
}

/// True if the end of a target's connection wasn't due to the end of its process.
async fn is_running(target: Rc<Target>) -> bool {
    target.process_state().await == ProcessState::Running
}

/// Waits until a target isn't in use any more.
async fn until_unwanted(cx: Rc<Traffic>, target: Rc<Target>) {
    while cx.is_in_use(&target) {
        cx.targets_changed.notified().await;
    }
    let fields = format_args!("target={}", Field(&target.incarnation().id));
    cx.log.line(events::RELAY_RETIRED, fields);
}

async fn pass_on(
    upgrade: OnUpgrade,
    target: TcpStream,
    state: RelayedPeer<impl Future<Output = bool>, impl Future<Output = ()>>,
) {
    let upgraded = match upgrade.await {
        Ok(upgraded) => upgraded,
        Err(err) => return log::debug!("a peer's request for a relay ended: {err}"),
    };
    match upgraded.downcast::<TokioIo<Counted<TcpStream>>>() {
        Ok(parts) => {
            relay(
                parts.io.into_inner().into_inner(),
                parts.read_buf,
                target,
                state,
            )
            .await
        }
        Err(_) => log::error!("a relayed connection has an unexpected type"),
    }
}
