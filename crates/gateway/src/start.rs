//! Starts the threads and listeners of the gateway.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;

use actix_rt::Arbiter;
use arc_swap::ArcSwap;
use hollowsail_observe::events;
use hollowsail_observe::text::Field;
use hollowsail_platform::settings::{Listen, Settings};
use snafu::{ResultExt, Snafu};
use tokio::sync::oneshot;

use crate::callers::listen::bind;
use crate::clock::Clock;
use crate::control::Control;
use crate::crashes::Crashes;
use crate::list_proofs::ListProofs;
use crate::log::Log;
use crate::mechanisms::Mechanisms;
use crate::peers::{capacity_of, PeerId, PeerRecord};
use crate::request;
use crate::rollouts::{self, Rollouts};
use crate::stop;
use crate::traffic::{FromControl, ToControl, Traffic};
use crate::{callers, event_loop_lag, host_load, metrics, peers, reach, readiness};

/// Reason why the gateway did not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address of the settings cannot be bound.
    #[snafu(display("cannot listen at {addr}: {source}; check the addresses in the settings"))]
    Listen {
        addr: SocketAddr,
        source: std::io::Error,
    },
    /// The traffic thread cannot register the listeners.
    #[snafu(display("cannot start the traffic thread: {source}; check the descriptor limit"))]
    Traffic { source: std::io::Error },
    /// The traffic thread ended before it listened.
    #[snafu(display("the traffic thread ended while starting; see the log"))]
    ThreadEnded,
}

/// Bound listeners.
struct Listeners {
    callers: TcpListener,
    readiness: TcpListener,
    peers: TcpListener,
    /// Their addresses, with the actual ports where the settings say 0.
    addrs: Listen,
}

impl Listeners {
    fn bind(addrs: &Listen) -> Result<Self, StartError> {
        let listen = |addr: SocketAddr| {
            let listener = bind(addr).context(ListenSnafu { addr })?;
            let addr = listener.local_addr().context(ListenSnafu { addr })?;
            Ok((listener, addr))
        };
        let (callers, callers_addr) = listen(addrs.callers)?;
        let (readiness, readiness_addr) = listen(addrs.readiness)?;
        let (peers, peers_addr) = listen(addrs.peers)?;
        Ok(Listeners {
            callers,
            readiness,
            peers,
            addrs: Listen {
                callers: callers_addr,
                readiness: readiness_addr,
                peers: peers_addr,
                metrics: None,
            },
        })
    }
}

/// A running gateway.
pub struct Running {
    /// Addresses of its listeners.
    pub addrs: Listen,
    settings: Arc<ArcSwap<Settings>>,
    stop: oneshot::Sender<oneshot::Sender<()>>,
    control: Rc<Control>,
    log: Log,
}

impl Running {
    /// Applies reloaded settings. Addresses, names and the store keep their initial values.
    pub fn reload(&self, settings: Settings) {
        self.log.line(
            events::RELOADED,
            format_args!("bounds=\"{:?}\"", settings.bounds),
        );
        self.settings.store(Arc::new(settings));
    }

    /// Runs a planned stop; the process may exit when it returns.
    pub async fn stop(self) {
        let (done, ended) = oneshot::channel();
        let control = self.control.clone();
        actix_rt::spawn(async move { control.deregister().await });
        if self.stop.send(done).is_ok() && ended.await.is_err() {
            log::warn!("the traffic thread ended before the planned stop finished");
        }
        self.control.retire_units().await;
        self.log.line(events::LEFT, format_args!(""));
    }
}

/// Starts the gateway: traffic on a thread of its own, control on the current one.
pub async fn start(settings: Settings, mechanisms: Mechanisms) -> Result<Running, StartError> {
    let clock = Clock::start();
    let listeners = Listeners::bind(&settings.listen)?;
    let addrs = listeners.addrs.clone();
    let host = settings.host.clone();
    let me = own_record(&settings, addrs.peers);
    let shared = FromControl::default();
    let (stop, stopping) = oneshot::channel();
    let (crashes, refusals) = Crashes::new();
    let (phases, phase_receiver) = rollouts::phase_channel();
    let (proofs, proof_receiver) = ListProofs::new();
    let hall = settings.hall.clone();
    let metrics_addr = settings.metrics_addr();
    let settings = Arc::new(ArcSwap::from_pointee(settings));
    let traffic = Traffic::prepare(
        settings.clone(),
        me.clone(),
        mechanisms,
        clock,
        shared.clone(),
        ToControl { proofs, phases },
        crashes,
    );
    start_traffic(traffic, listeners, stopping).await?;
    let addrs = Listen {
        metrics: metrics::serve(metrics_addr),
        ..addrs
    };
    let log = Log::new(&host);
    log.line(
        events::STARTED,
        format_args!(
            "callers={} readiness={} peers={} metrics={:?} hall={} run={:016x}",
            addrs.callers,
            addrs.readiness,
            addrs.peers,
            addrs.metrics,
            Field(&hall),
            me.id.0
        ),
    );
    let control = Control::new(settings.clone(), me, clock, shared);
    control.spawn(refusals, phase_receiver, proof_receiver);
    Ok(Running {
        addrs,
        settings,
        stop,
        control,
        log,
    })
}

/// The record of this run for the other entries.
fn own_record(settings: &Settings, peers: SocketAddr) -> PeerRecord {
    PeerRecord {
        id: PeerId(rand::random()),
        host: settings.host.clone(),
        addr: peers,
        hall: settings.hall.clone(),
        capacity: capacity_of(&settings.limits),
    }
}

type Stopping = oneshot::Receiver<oneshot::Sender<()>>;

async fn start_traffic(
    traffic: impl FnOnce() -> Rc<Traffic> + Send + 'static,
    listeners: Listeners,
    stopping: Stopping,
) -> Result<(), StartError> {
    let (started, is_started) = oneshot::channel();
    Arbiter::new().spawn_fn(move || {
        let serving = serve(&traffic(), listeners, stopping);
        if started.send(serving).is_err() {
            log::warn!("the start was cancelled while the traffic thread was starting");
        }
    });
    is_started
        .await
        .map_err(|_| StartError::ThreadEnded)?
        .context(TrafficSnafu)
}

/// Starts the tasks of the traffic thread.
fn serve(cx: &Rc<Traffic>, listeners: Listeners, stopping: Stopping) -> std::io::Result<()> {
    let into_tokio = tokio::net::TcpListener::from_std;
    readiness::start(cx, into_tokio(listeners.readiness)?);
    peers::start(cx, into_tokio(listeners.peers)?);
    let accepting = callers::start(cx, into_tokio(listeners.callers)?);
    actix_rt::spawn(cx.clone().follow_views());
    actix_rt::spawn(cx.clone().report_repeats());
    actix_rt::spawn(event_loop_lag::watch(cx.clone()));
    actix_rt::spawn(host_load::watch(cx.clone()));
    actix_rt::spawn(reach::watch(cx.clone()));
    actix_rt::spawn(Rollouts::follow(cx.clone()));
    actix_rt::spawn(request::copy_records_when_contested(cx.clone()));
    let cx = cx.clone();
    actix_rt::spawn(async move {
        if let Ok(done) = stopping.await {
            stop::run(&cx, accepting).await;
            // The receiver may be gone.
            let _sent = done.send(());
        }
    });
    Ok(())
}
