//! The host list: live and leaving hosts, shown with a lag.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::dev::ServerHandle;
use actix_web::{web, App, HttpResponse, HttpServer};
use hollowsail_platform::{HostRecord, HostStatus};

struct Shared {
    lag: Duration,
    /// Versions of the list with the moments they were made, oldest first.
    versions: Mutex<VecDeque<(Instant, Vec<HostRecord>)>>,
}

/// A running host list.
pub struct HostListStandIn {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    handle: ServerHandle,
}

impl HostListStandIn {
    /// Starts a list of live hosts on loopback, port 0.
    pub fn start(hosts: Vec<HostRecord>, lag: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            lag,
            versions: Mutex::new(VecDeque::from([(Instant::now(), hosts)])),
        });
        let data = web::Data::from(shared.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .route("/hosts", web::get().to(handle))
        })
        .workers(1)
        .disable_signals()
        .shutdown_timeout(1)
        .listen(listener)?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(HostListStandIn {
            address,
            shared,
            handle,
        })
    }

    /// Changes the list; readers see it after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<HostRecord>)) {
        let mut versions = self.shared.versions.lock().expect("no panic");
        let mut hosts = versions
            .back()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default();
        change(&mut hosts);
        versions.push_back((Instant::now(), hosts));
    }

    /// Shows a host as leaving after the lag.
    pub fn set_leaving(&self, name: &str) {
        self.change(|hosts| {
            for host in hosts.iter_mut().filter(|host| host.name == name) {
                host.status = HostStatus::Leaving;
            }
        });
    }

    /// Stops listening.
    pub async fn stop(self) {
        self.handle.stop(false).await;
    }
}

async fn handle(shared: web::Data<Shared>) -> HttpResponse {
    let mut versions = shared.versions.lock().expect("no panic");
    while versions.len() > 1 && versions[1].0.elapsed() >= shared.lag {
        versions.pop_front();
    }
    HttpResponse::Ok().json(&versions[0].1)
}
