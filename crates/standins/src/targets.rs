//! Target stand-ins of every service kind, in one server.
//!
//! The server listens on one port per target and identifies the target by the
//! local port. A call waits for a slot of the target, is recorded in the
//! execution log, takes its processing time and is answered subject to faults.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use hollowsail_clients::target::{Call, DRAINING_HEADER, LOAD_HEADER, ORGANISATION_HEADER};
use hollowsail_config::Deployment;
use tokio::sync::Semaphore;

use crate::execution_log::{Execution, ExecutionLog};
use crate::faults::TargetFaults;
use crate::profile::Profile;
use crate::target_call::ActiveCall;
use crate::target_state::{BusyTimer, CountGuard, TargetState};

/// Running stand-ins for the targets of a deployment.
pub struct TargetStandIns {
    /// Address of each target, by name.
    pub addresses: HashMap<String, SocketAddr>,
    pub log: ExecutionLog,
    states: HashMap<String, Arc<TargetState>>,
    /// Service name, slots per target and total slot time in microseconds.
    slot_times: Vec<(String, u32, Arc<AtomicU64>)>,
    handle: ServerHandle,
}

impl TargetStandIns {
    /// Starts one listener per target, each on a free loopback port.
    pub fn start(deployment: &Deployment, profile: Profile) -> std::io::Result<Self> {
        let log = ExecutionLog::default();
        let mut addresses = HashMap::new();
        let mut states = HashMap::new();
        let mut by_port = HashMap::new();
        let mut listeners = Vec::new();
        let slot_times: Vec<Arc<AtomicU64>> =
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
                in_flight: Arc::default(),
                running: Arc::default(),
                cache: Mutex::default(),
                faults: Mutex::default(),
                load: Mutex::default(),
                slot_time_us: slot_times[target.service.index()].clone(),
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
            slot_times: deployment
                .services
                .iter()
                .zip(slot_times)
                .map(|(service, slot_time_us)| {
                    (service.name.clone(), service.concurrency, slot_time_us)
                })
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

    /// Target seconds used so far, by service: slot time divided by the slots of a
    /// target, including the time of cancelled calls.
    pub fn target_seconds(&self) -> Vec<(String, f64)> {
        self.slot_times
            .iter()
            .map(|(service, slots, micros)| {
                let seconds = micros.load(Ordering::Relaxed) as f64 / 1e6;
                (service.clone(), seconds / f64::from(*slots))
            })
            .collect()
    }

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
    // A call is cancelled when its caller disconnects.
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
    let in_flight = CountGuard::new(&state.in_flight);
    let Ok(slot) = state.slots.clone().acquire_owned().await else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let busy_timer = BusyTimer {
        started: Instant::now(),
        slot_time_us: state.slot_time_us.clone(),
    };
    let org = header(&req, ORGANISATION_HEADER);
    let log_index = state.log.begin(Execution {
        target: state.name.clone(),
        hall: state.hall.clone(),
        org: org.clone(),
        dispatch: call.dispatch.clone(),
        finished: false,
    });
    let active_call = ActiveCall {
        state,
        faults,
        org,
        call: call.into_inner(),
        log_index,
        _in_flight: in_flight,
        _busy_timer: busy_timer,
        _slot: slot,
    };
    active_call.answer().await
}

fn refuse(state: &TargetState, faults: &TargetFaults) -> Option<HttpResponse> {
    if faults.draining {
        let refusal = HttpResponse::ServiceUnavailable()
            .insert_header((DRAINING_HEADER, "1"))
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
