//! Answers the load balancer's readiness checks.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use hollowsail_platform::callers::{READY_METHOD, READY_PATH};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::callers::listen::accept_each;
use crate::traffic::Traffic;

/// Serves readiness checks until the thread ends.
pub fn start(cx: &Rc<Traffic>, listener: TcpListener) {
    actix_rt::spawn(accept(cx.clone(), listener));
}

async fn accept(cx: Rc<Traffic>, listener: TcpListener) {
    accept_each(listener, "the balancer", |stream| {
        let cx = cx.clone();
        let service = service_fn(move |req| {
            let response = answer(&cx, &req);
            async move { Ok::<_, Infallible>(response) }
        });
        actix_rt::spawn(async move {
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(err) = serving.await {
                log::debug!("a readiness connection failed: {err}");
            }
        });
    })
    .await;
}

fn answer(cx: &Rc<Traffic>, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let is_check = req.method() == READY_METHOD && req.uri().path() == READY_PATH;
    let status = match (is_check, cx.is_ready()) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
