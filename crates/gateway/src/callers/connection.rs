//! One caller's connection.
//!
//! `hyper` reads requests and writes answers; a handler is dropped as soon as
//! its caller closes, and with it the target's connection. (`actix-web` runs a
//! handler on after its caller left, which is why it isn't used here.)

use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_observe::events;
use hollowsail_platform::deployment::CallerLimits;
use http::{header, HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::activity::{Activity, Phase, Watched};
use super::under_way::{CountedBody, UnderWay};
use crate::request;
use crate::traffic::{Stopping, Traffic};

/// Limits while no configuration is known.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};
/// Smallest buffer that `hyper` takes.
const LEAST_BUFFER: usize = 8 << 10;

/// Serves a connection until it ends.
pub fn spawn(cx: &Rc<Traffic>, stream: TcpStream) {
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let _counted = Counted::begin(&cx);
        serve(&cx, stream).await;
    });
}

/// Counts a connection, however its task ends.
struct Counted(Rc<Traffic>);

impl Counted {
    fn begin(cx: &Rc<Traffic>) -> Self {
        cx.connections.set(cx.connections.get() + 1);
        Counted(cx.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

async fn serve(cx: &Rc<Traffic>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("a caller left at once: {err}");
        return;
    }
    let limits = limits(cx);
    let activity = Activity::new();
    let service = service_fn(|req| {
        activity.request_began();
        let under_way = UnderWay::begin(cx, &activity);
        let answering = answer(cx.clone(), req, under_way);
        async move { Ok::<_, Infallible>(answering.await) }
    });
    let io = TokioIo::new(Watched::new(stream, activity.clone()));
    let mut connection = pin!(http1::Builder::new()
        .auto_date_header(false)
        // A connection that comes during a planned stop carries one request.
        .keep_alive(cx.stopping.get() == Stopping::No)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(io, service));
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(err) = ended {
                    log::debug!("a caller's connection broke: {err}");
                }
                return;
            }
            () = cx.close_idle.notified() => connection.as_mut().graceful_shutdown(),
            () = activity.limit_passed(&limits) => {
                if let Phase::Head(_) = activity.phase() {
                    cx.log.line(events::BAD_INPUT, format_args!("why=\"a head came too slowly\""));
                }
                return;
            }
        }
    }
}

/// Answers one request.
async fn answer(
    cx: Rc<Traffic>,
    req: Request<Incoming>,
    under_way: UnderWay,
) -> Response<CountedBody> {
    let mut response = request::serve(cx.clone(), req).await;
    if cx.stopping.get() != Stopping::No {
        // The caller's next request goes to another entry.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    under_way.until_answered(response)
}

/// The limits in force when a connection comes.
fn limits(cx: &Rc<Traffic>) -> CallerLimits {
    cx.deployment()
        .map_or(FIRST_LIMITS, |deployment| deployment.limits)
}
