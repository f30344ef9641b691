//! The host list: live and leaving hosts, shown with a lag.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::dev::ServerHandle;
use actix_web::http::header::{ETAG, IF_NONE_MATCH};
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use hollowsail_clients::{HostRecord, HostStatus};

struct Shared {
    lag: Duration,
    versions: Mutex<Versions>,
}

/// Versions of the list with the moments they were made, oldest first.
struct Versions {
    kept: VecDeque<(Instant, Vec<HostRecord>)>,
    /// Number of the oldest one kept; its tag.
    oldest: u64,
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
            versions: Mutex::new(Versions {
                kept: VecDeque::from([(Instant::now(), hosts)]),
                oldest: 0,
            }),
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
            .kept
            .back()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default();
        change(&mut hosts);
        versions.kept.push_back((Instant::now(), hosts));
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

async fn handle(shared: web::Data<Shared>, req: HttpRequest) -> HttpResponse {
    let mut versions = shared.versions.lock().expect("no panic");
    while versions.kept.len() > 1 && versions.kept[1].0.elapsed() >= shared.lag {
        versions.kept.pop_front();
        versions.oldest += 1;
    }
    let tag = format!("\"{}\"", versions.oldest);
    let known = req.headers().get(IF_NONE_MATCH);
    if known.is_some_and(|known| known == tag.as_str()) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok()
        .insert_header((ETAG, tag))
        .json(&versions.kept[0].1)
}
