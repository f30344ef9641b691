//! Serves one connection of a caller.
//!
//! `hyper` reads requests and writes responses. It drops a handler when its caller
//! disconnects, which also closes the connection to the target; `actix-web` would run the
//! handler to its end. Heads that can be read in two ways don't reach it ([`super::activity`]).

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_framing::Fault;
use hollowsail_observe::{events, ErrorKind};
use hollowsail_platform::deployment::CallerLimits;
use http::{header, HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::activity::{Activity, ObservedStream, Phase};
use super::in_flight::{CountedBody, InFlight};
use crate::request;
use crate::traffic::{Stopping, Traffic};

/// Limits until a configuration is known.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Time in which a caller can read the rejection of a malformed request.
const REJECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Smallest buffer that `hyper` accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Serves a connection in a task of its own.
pub fn spawn(cx: &Rc<Traffic>, stream: TcpStream) {
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let _counted = OpenConnection::begin(&cx);
        serve(&cx, stream).await;
    });
}

/// Counts an open connection until it is dropped.
struct OpenConnection(Rc<Traffic>);

impl OpenConnection {
    fn begin(cx: &Rc<Traffic>) -> Self {
        cx.connections.set(cx.connections.get() + 1);
        OpenConnection(cx.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn serve(cx: &Rc<Traffic>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a caller's connection: {err}");
        return;
    }
    let caller = match stream.peer_addr() {
        Ok(caller) => caller,
        Err(err) => {
            log::debug!("a caller's connection has ended: {err}");
            return;
        }
    };
    let limits = limits(cx);
    let activity = Activity::new(cx.kept.answer(caller));
    let service = service_fn(|req: Request<Incoming>| {
        activity.request_began();
        let in_flight = InFlight::begin(cx, &activity, req.version());
        let answering = answer(cx.clone(), req, in_flight);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let io = TokioIo::new(ObservedStream::new(
        stream,
        activity.clone(),
        cx.load.callers.clone(),
    ));
    let mut connection = http1::Builder::new()
        .auto_date_header(false)
        // A connection accepted during a planned stop carries one request.
        .keep_alive(cx.stopping.get() == Stopping::No)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service);
    loop {
        tokio::select! {
            ended = &mut connection => {
                if let Some(fault) = activity.fault() {
                    reject(cx, connection.into_parts().io.into_inner(), fault).await;
                } else if let Err(err) = ended {
                    log::debug!("a caller's connection failed: {err}");
                }
                return;
            }
            () = activity.answer_ended() => return,
            () = cx.close_idle.notified() => std::pin::Pin::new(&mut connection).graceful_shutdown(),
            () = activity.timed_out(&limits) => {
                if let Phase::Head(_) = activity.phase() {
                    cx.log.line(events::BAD_INPUT, format_args!("why=\"request head timed out\""));
                }
                return;
            }
        }
    }
}

/// Rejects a request that can be read in two ways and closes the connection, since nobody can tell where
/// the next request begins.
async fn reject(cx: &Traffic, mut stream: ObservedStream, fault: Fault) {
    cx.log.line(
        events::BAD_INPUT,
        format_args!("why=\"the request has {fault}\""),
    );
    let row = ErrorKind::BadRequest.answer();
    let text = format!("{}: the request has {fault}; {}\n", row.name, row.advice);
    let answer = format!(
        "HTTP/1.1 {} Bad Request\r\nContent-Type: text/plain\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{text}",
        row.status,
        text.len()
    );
    let socket = stream.get_mut();
    let rejecting = async {
        socket.write_all(answer.as_bytes()).await?;
        socket.shutdown().await?;
        // A close with unread bytes would reset the connection, and the answer with it.
        let mut buf = [0; 1024];
        while socket.read(&mut buf).await? > 0 {}
        std::io::Result::Ok(())
    };
    if let Ok(Err(err)) = tokio::time::timeout(REJECT_TIMEOUT, rejecting).await {
        log::debug!("a caller's connection failed while its request was rejected: {err}");
    }
}

/// Answers one request.
async fn answer(
    cx: Rc<Traffic>,
    req: Request<Incoming>,
    in_flight: InFlight,
) -> Response<CountedBody> {
    let mut response = request::serve(cx.clone(), req).await;
    if cx.stopping.get() != Stopping::No || cx.admission.sheds_connections(&cx) {
        // Makes the caller send its next request to another entry.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    in_flight.until_answered(response)
}

/// The limits of the current configuration.
fn limits(cx: &Rc<Traffic>) -> CallerLimits {
    cx.deployment()
        .map_or(DEFAULT_LIMITS, |deployment| deployment.limits)
}
