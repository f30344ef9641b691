//! Opens a connection to a target, directly or through a relay.
//!
//! A direct connect that fails, or takes longer than usual, is repeated through a relay, and the
//! first connection is used. Where direct connects are known to fail, the relay comes first.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_connect::{dial, DialError, Dialled, Transport};
use hollowsail_routing::{ConnectPlan, KnownWays};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use super::{relays, Endpoint, ISOLATED_MS};
use crate::mechanisms::Mechanism;
use crate::traffic::Traffic;

/// Time after which a direct connect that isn't answered is repeated through a relay, above the
/// round trip between the farthest regions.
const HEDGE_DELAY: Duration = Duration::from_millis(50);

/// Opens a connection to a target within a time.
pub(super) async fn open(cx: &Rc<Traffic>, endpoint: &Endpoint, limit: Duration) -> Dialled {
    let until = Instant::now() + limit;
    let through_relay = async {
        let relayed = relays::connect(cx, endpoint, until).await;
        relayed.map_err(|err| err.into_dial_error(endpoint.addr))
    };
    match plan(cx, endpoint) {
        ConnectPlan::DirectOnly => direct(cx, endpoint.addr, limit).await,
        ConnectPlan::DirectFirst => direct_first(cx, endpoint, limit, through_relay).await,
        ConnectPlan::RelayOnly => through_relay.await,
        ConnectPlan::RelayFirst => match through_relay.await {
            Ok(transport) => Ok(transport),
            Err(_) => {
                let left = until.saturating_duration_since(Instant::now());
                direct(cx, endpoint.addr, left).await
            }
        },
        ConnectPlan::Neither => Err(DialError::Unreachable {
            addr: endpoint.addr,
        }),
    }
}

fn plan(cx: &Traffic, endpoint: &Endpoint) -> ConnectPlan {
    if !cx.has(Mechanism::Relays) {
        return ConnectPlan::DirectOnly;
    }
    let now = cx.clock.now();
    let (reach, addr) = (&cx.reach, endpoint.addr);
    let no_relay_at = reach.no_relay_at.borrow().get(&endpoint.hall).copied();
    let known = KnownWays {
        is_cut_off: reach.is_cut_off(),
        is_direct_failing: reach.state.borrow().is_failing(now, addr),
        have_relays_failed: reach.have_relays_failed(now, addr),
        has_no_relay: no_relay_at.is_some_and(|at| at + ISOLATED_MS > now),
    };
    known.plan()
}

/// Connects directly, and through a relay if that fails or takes long.
async fn direct_first(
    cx: &Rc<Traffic>,
    endpoint: &Endpoint,
    limit: Duration,
    through_relay: impl Future<Output = Dialled>,
) -> Dialled {
    let addr = endpoint.addr;
    let mut direct = pin!(direct(cx, addr, limit));
    match timeout(HEDGE_DELAY, direct.as_mut()).await {
        Ok(Ok(transport)) => return Ok(transport),
        Ok(Err(err)) => return through_relay.await.map_err(|_| err),
        Err(_) => {}
    }
    let mut through_relay = pin!(through_relay);
    tokio::select! {
        biased;
        dialled = direct.as_mut() => match dialled {
            Ok(transport) => Ok(transport),
            Err(err) => through_relay.await.map_err(|_| err),
        },
        relayed = through_relay.as_mut() => match relayed {
            Ok(transport) => {
                cx.reach.record_failed(cx, addr);
                Ok(transport)
            }
            Err(_) => direct.await,
        },
    }
}

async fn direct(cx: &Rc<Traffic>, addr: SocketAddr, limit: Duration) -> Dialled {
    let stream = dial_direct(cx, addr, limit).await?;
    let observer = cx.reach.liveness.clone();
    let transport = Transport::counted(stream, cx.load.targets.clone());
    Ok(transport.observed_by(observer))
}

/// Connects to a target from this host, and counts the result.
pub(super) async fn dial_direct(
    cx: &Rc<Traffic>,
    addr: SocketAddr,
    limit: Duration,
) -> Result<TcpStream, DialError> {
    let dialled = dial(addr, limit).await;
    match &dialled {
        Ok(_) => cx.reach.record_reached(cx, addr),
        Err(_) => cx.reach.record_failed(cx, addr),
    }
    dialled
}
