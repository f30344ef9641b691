//! A host list with live and draining hosts, whose changes show after a lag.

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

/// Versions of the list with their creation times, oldest first.
struct Versions {
    retained: VecDeque<(Instant, Vec<HostRecord>)>,
    /// Number of the oldest retained version, used as its entity tag.
    oldest: u64,
}

/// A running host list.
pub struct HostListStandIn {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    handle: ServerHandle,
}

impl HostListStandIn {
    /// Starts serving the list on a free loopback port.
    pub fn start(hosts: Vec<HostRecord>, lag: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            lag,
            versions: Mutex::new(Versions {
                retained: VecDeque::from([(Instant::now(), hosts)]),
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

    /// Changes the list; the change shows after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<HostRecord>)) {
        let mut versions = self.shared.versions.lock().expect("no panic");
        let mut hosts = versions
            .retained
            .back()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default();
        change(&mut hosts);
        versions.retained.push_back((Instant::now(), hosts));
    }

    /// Sets a host's status to [`HostStatus::Leaving`], visible after the lag.
    pub fn set_draining(&self, name: &str) {
        self.change(|hosts| {
            for host in hosts.iter_mut().filter(|host| host.name == name) {
                host.status = HostStatus::Leaving;
            }
        });
    }

    pub async fn stop(self) {
        self.handle.stop(false).await;
    }
}

async fn handle(shared: web::Data<Shared>, req: HttpRequest) -> HttpResponse {
    let mut versions = shared.versions.lock().expect("no panic");
    while versions.retained.len() > 1 && versions.retained[1].0.elapsed() >= shared.lag {
        versions.retained.pop_front();
        versions.oldest += 1;
    }
    let tag = format!("\"{}\"", versions.oldest);
    let known_tag = req.headers().get(IF_NONE_MATCH);
    if known_tag.is_some_and(|known_tag| known_tag == tag.as_str()) {
        return HttpResponse::NotModified().finish();
    }
    HttpResponse::Ok()
        .insert_header((ETAG, tag))
        .json(&versions.retained[0].1)
}
