//! Has peers relay connections to targets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use futures_util::FutureExt;
use hollowsail_connect::{
    dial, DialError, ProcessState, RelayWay, RelayedStream, Transport, Unreached,
};
use hollowsail_fleet::relays::{order, Place, RelayCandidate};
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use http::{header, HeaderValue, StatusCode};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::messages::{
    RelayRequest, CONFIRMING_PROTOCOL, CONNECT_REFUSED, RELAY_PATH, RETIRES, RETIRING_PROTOCOL,
    TARGET_REFUSED, TARGET_SILENT,
};
use super::{probe, Endpoint};
use crate::metrics;
use crate::peer_call;
use crate::peers::{PeerId, PeerRecord};
use crate::traffic::Traffic;

/// Maximum number of peers that are asked to relay one connection, and of those asked at once.
const MAX_PEERS: usize = 8;
const MAX_ASKED_AT_ONCE: usize = 3;
/// Time after which the next peer is asked as well.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(60);
/// How long a peer that couldn't relay is asked last, in milliseconds.
const UNABLE_MS: u64 = 1_000;
/// The same for a peer whose build can't.
const OLDER_BUILD_MS: u64 = 10_000;
/// Time limit for a check whether peers reach a target.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(150);

/// Why no peer relays a connection.
#[derive(Debug, Snafu)]
pub(super) enum RelayError {
    /// The target refuses connections of a peer that reaches others.
    #[snafu(display("the target refuses connections"))]
    TargetRefused,
    /// Connects of peers were refused, which may be due to a cut.
    #[snafu(display("the target refuses connections of peers"))]
    ConnectRefused,
    /// A peer that relays connections got no answer from the target.
    #[snafu(display("the target doesn't answer peers"))]
    TargetSilent,
    /// No peer could relay.
    #[snafu(display("no peer relays connections now"))]
    NoRelay,
}

impl RelayError {
    pub(super) fn into_dial_error(self, addr: SocketAddr) -> DialError {
        match self {
            RelayError::TargetRefused | RelayError::ConnectRefused => DialError::Refused {
                addr,
                source: std::io::ErrorKind::ConnectionRefused.into(),
            },
            RelayError::TargetSilent | RelayError::NoRelay => DialError::Unreachable { addr },
        }
    }
}

/// Why one peer doesn't relay a connection.
enum PeerError {
    Target(RelayError),
    /// The peer is lost or can't relay; it is asked last for this long, in milliseconds.
    Unable {
        for_ms: u64,
    },
}

/// Connects to a target through a peer, until a moment. The next peer is asked when one fails or
/// takes long.
pub(super) async fn connect(
    cx: &Rc<Traffic>,
    endpoint: &Endpoint,
    until: Instant,
) -> Result<Transport, RelayError> {
    let result = ask_peers(cx, endpoint, until).await;
    let now = cx.clock.now();
    let outcome = match &result {
        Ok(_) => "connected",
        Err(RelayError::TargetRefused | RelayError::ConnectRefused) => "refused",
        Err(RelayError::TargetSilent) => "silent",
        Err(RelayError::NoRelay) => "no_relay",
    };
    metrics::count_relayed(outcome);
    let is_possible = !matches!(result, Err(RelayError::NoRelay));
    cx.reach.record_relay(now, &endpoint.hall, is_possible);
    match &result {
        Ok(_) => {}
        Err(RelayError::NoRelay) => log_no_relay(cx, endpoint),
        Err(_) => cx.reach.record_relays_failed(now, endpoint.addr),
    }
    result
}

async fn ask_peers(
    cx: &Rc<Traffic>,
    endpoint: &Endpoint,
    until: Instant,
) -> Result<Transport, RelayError> {
    let mut peers = choose_peers(cx, endpoint).into_iter();
    let mut asked = FuturesUnordered::new();
    let mut failure = RelayError::NoRelay;
    loop {
        if asked.len() < MAX_ASKED_AT_ONCE {
            asked.extend(peers.next().map(|peer| ask(cx, peer, endpoint, until)));
        }
        if asked.is_empty() {
            return Err(failure);
        }
        let patience = match peers.len() > 0 && asked.len() < MAX_ASKED_AT_ONCE {
            true => NEXT_PEER_DELAY,
            false => until.saturating_duration_since(Instant::now()),
        };
        match tokio::time::timeout(patience, asked.next()).await {
            Ok(Some(Ok(transport))) => return Ok(transport),
            Ok(Some(Err(RelayError::TargetRefused))) => return Err(RelayError::TargetRefused),
            Ok(Some(Err(RelayError::NoRelay)) | None) => {}
            Ok(Some(Err(err))) => failure = err,
            Err(_) if Instant::now() >= until => return Err(failure),
            Err(_) => {}
        }
    }
}

/// Logs which peers can't relay to the targets of a hall, and why.
fn log_no_relay(cx: &Traffic, endpoint: &Endpoint) {
    let now = cx.clock.now();
    let hall = &endpoint.hall;
    let mut log = cx.reach.no_relay_log.borrow_mut();
    if !log.0.is_due(now, hall.clone()) {
        return;
    }
    let peers = cx.peers.other_records(cx);
    let eligible = order_peers(cx, endpoint, &peers);
    let unable = cx.reach.unable_until.borrow();
    let count = |is_counted: &dyn Fn(PeerId) -> bool| {
        let ids = eligible.iter().map(|index| peers[*index].id);
        ids.filter(|id| is_counted(*id)).count()
    };
    let fields = format_args!(
        "target={} target_hall={} live={} eligible={} suspected={} unable={}",
        Field(&endpoint.incarnation.id),
        Field(&hall),
        peers.len(),
        eligible.len(),
        count(&|id| cx.peers.is_suspected(cx, id)),
        count(&|id| unable.contains_key(&id))
    );
    cx.log.line(events::NO_RELAY, fields);
}

/// The peers to ask for a connection to a target, in order. Those that couldn't relay lately, or are
/// suspected, come last: a host that was paused suspects peers that run.
fn choose_peers(cx: &Rc<Traffic>, endpoint: &Endpoint) -> Vec<PeerRecord> {
    let now = cx.clock.now();
    let peers = cx.peers.other_records(cx);
    let mut order = order_peers(cx, endpoint, &peers);
    let mut unable = cx.reach.unable_until.borrow_mut();
    unable.retain(|_, until| *until > now);
    order.sort_by_key(|index| {
        let id = peers[*index].id;
        cx.peers.is_suspected(cx, id) || unable.contains_key(&id)
    });
    let order = order.into_iter().take(MAX_PEERS);
    order.map(|index| peers[index].clone()).collect()
}

/// Indices of the peers in whose region the data of a target may be, best first.
fn order_peers(cx: &Traffic, endpoint: &Endpoint, peers: &[PeerRecord]) -> Vec<usize> {
    let settings = cx.settings();
    // Without regions in the settings, requests that are restricted to some aren't accepted.
    let only_region = settings.regions.is_empty().then_some("");
    let place = |hall| Place {
        hall,
        region: only_region.or_else(|| settings.regions.get(hall).map(String::as_str)),
    };
    let candidates: Vec<RelayCandidate<'_>> = peers
        .iter()
        .map(|peer| RelayCandidate {
            host: &peer.host,
            place: place(&peer.hall),
        })
        .collect();
    let key = format!("{}/{}", cx.me.host, endpoint.incarnation.id);
    order(&candidates, place(&cx.me.hall), place(&endpoint.hall), &key)
}

/// Asks one peer; one that can't relay is asked last for a while.
async fn ask(
    cx: &Rc<Traffic>,
    peer: PeerRecord,
    endpoint: &Endpoint,
    until: Instant,
) -> Result<Transport, RelayError> {
    let left = until.saturating_duration_since(Instant::now());
    let asked = tokio::time::timeout(left, connect_through(&peer, endpoint, left)).await;
    let for_ms = match asked {
        Ok(Ok(transport)) => return Ok(transport),
        Ok(Err(PeerError::Target(err))) => return Err(err),
        Ok(Err(PeerError::Unable { for_ms })) => for_ms,
        Err(_) => UNABLE_MS,
    };
    let until = cx.clock.now() + for_ms;
    cx.reach.unable_until.borrow_mut().insert(peer.id, until);
    Err(RelayError::NoRelay)
}

async fn connect_through(
    peer: &PeerRecord,
    endpoint: &Endpoint,
    timeout: Duration,
) -> Result<Transport, PeerError> {
    let unable = PeerError::Unable { for_ms: UNABLE_MS };
    let request = RelayRequest {
        to: peer.id,
        target: endpoint.incarnation.clone(),
        timeout_ms: timeout.as_millis() as u64,
    };
    let mut req = peer_call::request(RELAY_PATH, &request);
    let headers = req.headers_mut();
    headers.insert(header::CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(
        header::UPGRADE,
        HeaderValue::from_static(CONFIRMING_PROTOCOL),
    );
    headers.insert(RETIRES, HeaderValue::from_static("1"));
    let Ok(stream) = dial(peer.addr, timeout).await else {
        return Err(unable);
    };
    let Ok((mut sender, connection)) = handshake(TokioIo::new(stream)).await else {
        return Err(unable);
    };
    actix_rt::spawn(connection.with_upgrades().map(drop));
    let Ok(response) = sender.send_request(req).await else {
        return Err(unable);
    };
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => {}
        TARGET_REFUSED => return Err(PeerError::Target(RelayError::TargetRefused)),
        CONNECT_REFUSED => return Err(PeerError::Target(RelayError::ConnectRefused)),
        TARGET_SILENT => return Err(PeerError::Target(RelayError::TargetSilent)),
        StatusCode::NOT_FOUND => {
            return Err(PeerError::Unable {
                for_ms: OLDER_BUILD_MS,
            })
        }
        _ => return Err(unable),
    }
    let protocol = response.headers().get(header::UPGRADE);
    let may_retire = protocol.is_some_and(|protocol| protocol == RETIRING_PROTOCOL);
    let way = RelayWay {
        relay: peer.id.0,
        confirms_end: may_retire
            || protocol.is_some_and(|protocol| protocol == CONFIRMING_PROTOCOL),
    };
    let upgraded = hyper::upgrade::on(response).await;
    let parts = upgraded.map(|upgraded| upgraded.downcast::<TokioIo<TcpStream>>());
    match parts {
        Ok(Ok(parts)) => {
            let stream = RelayedStream::new(parts.io.into_inner(), &parts.read_buf, may_retire);
            Ok(Transport::relayed(stream, way))
        }
        _ => Err(unable),
    }
}

/// Whether a target runs that this host didn't reach directly, by what peers reach. Where none can
/// tell, one that refuses has ended if this host reached it until now, and reaches another.
pub(super) async fn confirm_state(
    cx: &Rc<Traffic>,
    endpoint: &Endpoint,
    unreached: Unreached,
) -> ProcessState {
    match ask_peers(cx, endpoint, Instant::now() + CONFIRM_TIMEOUT).await {
        Ok(_) => ProcessState::Running,
        Err(RelayError::TargetRefused) => ProcessState::Ended,
        Err(RelayError::ConnectRefused | RelayError::NoRelay)
            if unreached == Unreached::Refused
                && !cx.reach.is_failing(cx, endpoint.addr)
                && probe::reaches_another(cx, endpoint.addr).await =>
        {
            ProcessState::Ended
        }
        Err(_) => ProcessState::Unknown,
    }
}
