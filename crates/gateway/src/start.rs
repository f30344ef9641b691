//! Starts the daemon's threads and listeners.

use std::rc::Rc;
use std::sync::Arc;

use actix_rt::Arbiter;
use hollowsail_observe::events;
use hollowsail_platform::settings::Settings;
use snafu::{ResultExt, Snafu};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::control::Control;
use crate::log::Log;
use crate::peers::{PeerId, PeerRecord};
use crate::stop;
use crate::traffic::Traffic;
use crate::view::Published;
use crate::{callers, peers, readiness};

/// Why the daemon didn't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address of the settings can't be listened at.
    #[snafu(display("cannot listen: {source}; check the addresses in the settings"))]
    Listen { source: std::io::Error },
    /// The traffic thread ended before it listened.
    #[snafu(display("the traffic thread ended at its start; see the log above"))]
    ThreadEnded,
}

/// A daemon that serves.
pub struct Running {
    stop: oneshot::Sender<oneshot::Sender<()>>,
    control: Rc<Control>,
    log: Log,
}

impl Running {
    /// Makes a planned stop; returns when the process may end.
    pub async fn stop(self) {
        let (done, ended) = oneshot::channel();
        actix_rt::spawn(async move { self.control.leave().await });
        if self.stop.send(done).is_ok() && ended.await.is_err() {
            log::warn!("the traffic thread ended before its stop did");
        }
        self.log.line(events::LEFT, format_args!(""));
    }
}

/// Starts serving: traffic on a thread of its own, control on this one.
pub async fn start(settings: Settings) -> Result<Running, StartError> {
    let settings = Arc::new(settings);
    let me = own_record(&settings);
    let clock = Clock::start();
    let published = Arc::new(Published::default());
    let (started, is_started) = oneshot::channel();
    let (stop, stopping) = oneshot::channel();
    let arbiter = Arbiter::new();
    let for_traffic = (settings.clone(), me.clone(), published.clone());
    arbiter.spawn_fn(move || {
        let (settings, me, published) = for_traffic;
        let cx = Traffic::new(settings, me, clock, published);
        let listening = listen(&cx, stopping);
        if started.send(listening).is_err() {
            log::warn!("nobody waits for the traffic thread any more");
        }
    });
    is_started
        .await
        .map_err(|_| StartError::ThreadEnded)?
        .context(ListenSnafu)?;
    let log = Log::new(&settings.host);
    log.line(
        events::STARTED,
        format_args!(
            "callers={} readiness={} hall={}",
            settings.listen.callers, settings.listen.readiness, settings.hall
        ),
    );
    let control = Control::new(&settings, me, clock, published);
    control.spawn();
    Ok(Running { stop, control, log })
}

/// What this run tells the other entries of itself.
fn own_record(settings: &Settings) -> PeerRecord {
    PeerRecord {
        id: PeerId(rand::random()),
        host: settings.host.clone(),
        addr: settings.listen.peers,
        hall: settings.hall.clone(),
    }
}

/// Starts the listeners of the traffic thread.
fn listen(
    cx: &Rc<Traffic>,
    stopping: oneshot::Receiver<oneshot::Sender<()>>,
) -> std::io::Result<()> {
    readiness::start(cx, cx.settings.listen.readiness)?;
    let accepting = callers::start(cx, cx.settings.listen.callers)?;
    peers::start(cx, cx.settings.listen.peers)?;
    actix_rt::spawn(cx.clone().follow_views());
    let cx = cx.clone();
    actix_rt::spawn(async move {
        if let Ok(done) = stopping.await {
            stop::run(&cx, accepting).await;
            // The receiver may have stopped waiting.
            let _waits = done.send(());
        }
    });
    Ok(())
}
