//! Start and stop of an entry: listeners, traffic threads and the control thread.

use hollowsail_observe::text::Field;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, Arbiter};
use actix_web::dev::{Server, ServerHandle};
use actix_web::{web, App, HttpServer};
use hollowsail_config::settings::Settings;
use hollowsail_fleet::{Connectivity, Fleet, FleetTiming, Health, Member, Stopping};
use hollowsail_routing::Switches;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use snafu::{ResultExt, Snafu};

use crate::configuration::Configuration;
use crate::context::Entry;
use crate::control::{Adopt, Control};
use crate::events;
use crate::metrics;
use crate::tls;
use crate::view::View;
use crate::worker::Worker;
use crate::{callers, operators, peers, stop};

/// Idle timeout of connections.
const KEEP_ALIVE: Duration = Duration::from_secs(15);
/// Timeout for open connections when the listeners close, in seconds; requests have
/// ended by then.
const SHUTDOWN_SECONDS: u64 = 5;

/// Failure to start an entry.
#[derive(Debug, Snafu)]
pub enum StartError {
    #[snafu(display("cannot listen on {address}: {source}; check [listen] in the settings"))]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("{source}"))]
    Tls { source: tls::TlsError },
    #[snafu(display("cannot start a listener: {source}; check the limit of open files"))]
    Serve { source: std::io::Error },
    #[snafu(display("cannot get random bytes from the operating system: {reason}"))]
    Randomness { reason: String },
}

/// A running entry and the addresses of its listeners.
pub struct RunningEntry {
    pub entry: Arc<Entry>,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operators: SocketAddr,
    servers: Vec<ServerHandle>,
    /// The control thread.
    pub control: Addr<Control>,
    control_thread: Arbiter,
}

/// Options of a start other than the settings, for tests and measurements.
#[derive(Debug, Clone, Default)]
pub struct StartOptions {
    pub timing: FleetTiming,
    pub switches: Switches,
    /// Configuration to put in force at the start, without store or peers.
    pub configuration: Option<Arc<Configuration>>,
}

/// Starts an entry inside a running actix system.
pub async fn start(settings: Settings, options: StartOptions) -> Result<RunningEntry, StartError> {
    metrics::install();
    let callers_listener = listen(settings.callers)?;
    let peers_listener = listen(settings.peers)?;
    let operators_listener = listen(settings.operators)?;
    let callers_address = address_of(&callers_listener)?;
    let peers_address = address_of(&peers_listener)?;
    let operators_address = address_of(&operators_listener)?;
    let incarnation = new_incarnation()?;
    let own = Member {
        incarnation,
        name: settings.name.clone(),
        hall: settings.hall.clone(),
        peer: peers_address,
        version: 0,
        health: Health::Alive,
        stopping: Stopping::No,
        successor: None,
        revision: 0,
        list_hash: 0,
    };
    let entry = Arc::new(Entry::new(
        settings,
        options.switches,
        incarnation,
        empty_view(own.clone()),
    ));
    let (control, control_thread) = start_control(&entry, own, &options);
    if let Some(configuration) = options.configuration {
        let _ = control.send(Adopt(configuration)).await;
    }
    let servers = vec![
        serve(
            &entry,
            &control,
            callers_listener,
            callers::routes,
            UseTls::IfConfigured,
        )?,
        serve(
            &entry,
            &control,
            peers_listener,
            peers::routes,
            UseTls::Never,
        )?,
        serve(
            &entry,
            &control,
            operators_listener,
            operators::routes,
            UseTls::IfConfigured,
        )?,
    ];
    let handles = servers.iter().map(Server::handle).collect();
    servers.into_iter().for_each(|server| {
        actix_rt::spawn(server);
    });
    entry.log(
        events::STARTED,
        format_args!(
            "incarnation={incarnation:x} hall={} callers={callers_address} \
             peers={peers_address} operators={operators_address}",
            Field(&entry.settings.hall)
        ),
    );
    Ok(RunningEntry {
        entry,
        callers: callers_address,
        peers: peers_address,
        operators: operators_address,
        servers: handles,
        control,
        control_thread,
    })
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).context(ListenSnafu { address })
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr, StartError> {
    listener.local_addr().context(ServeSnafu)
}

fn new_incarnation() -> Result<u64, StartError> {
    getrandom::u64().map_err(|err| StartError::Randomness {
        reason: err.to_string(),
    })
}

fn empty_view(own: Member) -> View {
    View {
        configuration: None,
        targets: Vec::new(),
        services: Vec::new(),
        stages: Vec::new(),
        own,
        members: Vec::new(),
        joined: false,
        connectivity: Connectivity::Starting,
    }
}

fn start_control(
    entry: &Arc<Entry>,
    own: Member,
    options: &StartOptions,
) -> (Addr<Control>, Arbiter) {
    let arbiter = Arbiter::new();
    let tick = Duration::from_millis(options.timing.tick_ms);
    let fleet = Fleet::new(own, entry.settings.seeds.clone(), options.timing);
    let rng = SmallRng::seed_from_u64(entry.incarnation);
    let shared = entry.clone();
    let address = Control::start_in_arbiter(&arbiter.handle(), move |_| {
        Control::new(shared, fleet, tick, rng)
    });
    entry.set_report_recipient(address.clone().recipient());
    (address, arbiter)
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum UseTls {
    IfConfigured,
    Never,
}

fn serve(
    entry: &Arc<Entry>,
    control: &Addr<Control>,
    listener: TcpListener,
    routes: fn(&mut web::ServiceConfig),
    use_tls: UseTls,
) -> Result<Server, StartError> {
    let shared = entry.clone();
    let control = control.clone();
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(Worker::new(shared.clone(), control.clone())))
            .app_data(web::PayloadConfig::new(peers::MAX_PEER_BODY_BYTES))
            .configure(routes)
    })
    .workers(entry.settings.limits.threads)
    .keep_alive(KEEP_ALIVE)
    // Detects callers that disconnect, so that a run that may be repeated is aborted.
    .h1_allow_half_closed(false)
    .shutdown_timeout(SHUTDOWN_SECONDS)
    .disable_signals();
    let server = match (&entry.settings.tls, use_tls) {
        (Some(files), UseTls::IfConfigured) => {
            let config = tls::load(files).context(TlsSnafu)?;
            server.listen_rustls_0_23(listener, config)
        }
        _ => server.listen(listener),
    };
    Ok(server.context(ServeSnafu)?.run())
}

impl RunningEntry {
    /// Planned stop: no request is interrupted.
    pub async fn stop(self) {
        stop::run(self.entry.clone(), self.control.clone()).await;
        self.close(true).await;
    }

    /// Stops immediately, like a crash.
    pub async fn kill(self) {
        self.close(false).await;
    }

    async fn close(self, graceful: bool) {
        self.control_thread.stop();
        futures_util::future::join_all(self.servers.iter().map(|s| s.stop(graceful))).await;
    }
}
