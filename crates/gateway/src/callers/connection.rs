//! One caller's connection.
//!
//! `hyper` reads requests and writes answers; a handler is dropped as soon as
//! its caller closes, and with it the target's connection. (`actix-web` runs a
//! handler on after its caller left, which is why it isn't used here.)

use std::convert::Infallible;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hollowsail_observe::events;
use hollowsail_platform::deployment::CallerLimits;
use http::{header, HeaderValue, Response};
use http_body::{Body, Frame, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::activity::{Activity, Phase, Watched};
use crate::answer::{AnswerStream, BodyFault};
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
        cx.connections.set(cx.connections.get() + 1);
        serve(&cx, stream).await;
        cx.connections.set(cx.connections.get() - 1);
    });
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
        let cx = cx.clone();
        async move {
            let mut response = request::serve(cx.clone(), req).await;
            if cx.stopping.get() != Stopping::No {
                // The caller's next request goes to another entry.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(under_way.until_answered(response))
        }
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

fn limits(cx: &Rc<Traffic>) -> CallerLimits {
    cx.deployment()
        .map_or(FIRST_LIMITS, |deployment| deployment.limits)
}

/// Counts a request until its answer went out or was dropped.
struct UnderWay {
    cx: Rc<Traffic>,
    activity: Rc<Activity>,
}

impl UnderWay {
    fn begin(cx: &Rc<Traffic>, activity: &Rc<Activity>) -> Self {
        cx.in_flight.set(cx.in_flight.get() + 1);
        UnderWay {
            cx: cx.clone(),
            activity: activity.clone(),
        }
    }

    fn until_answered(self, response: Response<AnswerStream>) -> Response<CountedBody> {
        response.map(|body| CountedBody {
            body,
            _under_way: self,
        })
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.cx.in_flight.set(self.cx.in_flight.get() - 1);
        self.activity.request_ended();
    }
}

/// A body that keeps its request counted.
struct CountedBody {
    body: AnswerStream,
    _under_way: UnderWay,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        self.body.as_mut().poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
