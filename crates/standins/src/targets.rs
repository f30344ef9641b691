//! Targets of every kind, many in one server.
//!
//! One `actix-web` server listens on a port per target and tells them apart by
//! the port a call came in on. A call waits for one of the target's slots,
//! is written down, takes its time, and is answered as its faults allow.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use hollowsail_clients::target::{Call, LEAVING_HEADER, LOAD_HEADER, ORGANISATION_HEADER};
use hollowsail_config::Deployment;
use tokio::sync::Semaphore;

use crate::faults::TargetFaults;
use crate::profile::Profile;
use crate::record::{Execution, ExecutionLog};
use crate::target_run::Run;
use crate::target_state::{Busy, Counted, TargetState};

/// All running stand-ins of one deployment's targets.
pub struct TargetStandIns {
    /// Address of each target, by name.
    pub addresses: HashMap<String, SocketAddr>,
    pub log: ExecutionLog,
    states: HashMap<String, Arc<TargetState>>,
    /// Slots of one target and slot-time, by service.
    busy: Vec<(String, u32, Arc<AtomicU64>)>,
    handle: ServerHandle,
}

impl TargetStandIns {
    /// Starts one listener per target on loopback, port 0.
    pub fn start(deployment: &Deployment, profile: Profile) -> std::io::Result<Self> {
        let log = ExecutionLog::default();
        let mut addresses = HashMap::new();
        let mut states = HashMap::new();
        let mut by_port = HashMap::new();
        let mut listeners = Vec::new();
        let busy: Vec<Arc<AtomicU64>> =
            deployment.services.iter().map(|_| Arc::default()).collect();
        for target in &deployment.targets {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let address = listener.local_addr()?;
            let service = deployment.service(target.service);
            let state = Arc::new(TargetState {
                name: target.name.clone(),
                hall: deployment.hall(target.hall).name.clone(),
                kind: service.kind,
                reports_load: service.reports_load,
                concurrency: service.concurrency,
                slots: Arc::new(Semaphore::new(service.concurrency as usize)),
                held: Arc::default(),
                running: Arc::default(),
                cache: Mutex::default(),
                faults: Mutex::default(),
                load: Mutex::default(),
                busy: busy[target.service.index()].clone(),
                profile,
                log: log.clone(),
            });
            addresses.insert(target.name.clone(), address);
            by_port.insert(address.port(), state.clone());
            states.insert(target.name.clone(), state);
            listeners.push(listener);
        }
        let handle = serve(listeners, by_port)?;
        Ok(TargetStandIns {
            addresses,
            log,
            states,
            busy: deployment
                .services
                .iter()
                .zip(busy)
                .map(|(service, busy)| (service.name.clone(), service.concurrency, busy))
                .collect(),
            handle,
        })
    }

    /// Replaces the faults of one target; unknown names are ignored.
    pub fn set_faults(&self, target: &str, faults: TargetFaults) {
        if let Some(state) = self.states.get(target) {
            *state.faults.lock().expect("no panic while held") = faults;
        }
    }

    /// Seconds of whole targets spent so far, by service: slot-time over the
    /// slots of a target, wasted work included.
    pub fn target_seconds(&self) -> Vec<(String, f64)> {
        self.busy
            .iter()
            .map(|(service, slots, micros)| {
                let seconds = micros.load(Ordering::Relaxed) as f64 / 1e6;
                (service.clone(), seconds / f64::from(*slots))
            })
            .collect()
    }

    /// Stops listening.
    pub async fn stop(self) {
        self.handle.stop(false).await;
    }
}

type ByPort = HashMap<u16, Arc<TargetState>>;

fn serve(listeners: Vec<TcpListener>, by_port: ByPort) -> std::io::Result<ServerHandle> {
    let by_port = web::Data::new(by_port);
    let mut server = HttpServer::new(move || {
        App::new()
            .app_data(by_port.clone())
            .app_data(web::JsonConfig::default().limit(4 * 1024 * 1024))
            .route("/call", web::post().to(handle_call))
    })
    .workers(2)
    // A caller that goes away ends its call, as on an engine that can cancel.
    .h1_allow_half_closed(false)
    .disable_signals()
    .shutdown_timeout(1);
    for listener in listeners {
        server = server.listen(listener)?;
    }
    let running = server.run();
    let handle = running.handle();
    actix_rt::spawn(running);
    Ok(handle)
}

async fn handle_call(
    req: HttpRequest,
    by_port: web::Data<ByPort>,
    call: web::Json<Call>,
) -> HttpResponse {
    let port = req.app_config().local_addr().port();
    let Some(state) = by_port.get(&port).cloned() else {
        return HttpResponse::NotFound().finish();
    };
    let faults = state.faults();
    if let Some(refusal) = refuse(&state, &faults) {
        return refusal;
    }
    let held = Counted::new(&state.held);
    let Ok(slot) = state.slots.clone().acquire_owned().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let busy = Busy {
        since: Instant::now(),
        total: state.busy.clone(),
    };
    let org = header(&req, ORGANISATION_HEADER);
    let place = state.log.begin(Execution {
        target: state.name.clone(),
        hall: state.hall.clone(),
        org: org.clone(),
        dispatch: call.dispatch.clone(),
        finished: false,
    });
    let run = Run {
        state,
        faults,
        org,
        call: call.into_inner(),
        place,
        _held: held,
        _busy: busy,
        _slot: slot,
    };
    run.answer().await
}

fn refuse(state: &TargetState, faults: &TargetFaults) -> Option<HttpResponse> {
    if faults.leaving {
        let refusal = HttpResponse::ServiceUnavailable()
            .insert_header((LEAVING_HEADER, "1"))
            .finish();
        return Some(refusal);
    }
    if let Some(address) = faults.redirect {
        let refusal = HttpResponse::TemporaryRedirect()
            .insert_header(("location", format!("http://{address}/call")))
            .finish();
        return Some(refusal);
    }
    let status = StatusCode::from_u16(faults.refuse?).ok()?;
    let mut refusal = HttpResponse::build(status);
    if state.reports_load {
        refusal.insert_header((LOAD_HEADER, state.reported_load(faults).to_string()));
    }
    Some(refusal.finish())
}

fn header(req: &HttpRequest, name: &str) -> String {
    req.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
        .to_string()
}
