//! Counts requests from their head to the end of their response.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Response, Version};
use http_body::{Body, Frame, SizeHint};

use super::activity::Activity;
use crate::answer::{AnswerStream, BodyFault};
use crate::traffic::Traffic;

/// Counts a request until its response was sent or dropped.
pub struct InFlight {
    cx: Rc<Traffic>,
    activity: Rc<Activity>,
    /// The caller's version of HTTP has no chunks.
    ends_with_connection: bool,
}

impl InFlight {
    /// Starts to count a request whose head was received.
    pub fn begin(cx: &Rc<Traffic>, activity: &Rc<Activity>, version: Version) -> Self {
        cx.in_flight.set(cx.in_flight.get() + 1);
        cx.load.record_request();
        InFlight {
            cx: cx.clone(),
            activity: activity.clone(),
            ends_with_connection: version < Version::HTTP_11,
        }
    }

    /// Keeps the request counted until the body of its response is dropped.
    pub fn until_answered(self, response: Response<AnswerStream>) -> Response<CountedBody> {
        response.map(|body| CountedBody {
            body,
            in_flight: self,
        })
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.cx.in_flight.set(self.cx.in_flight.get() - 1);
        self.activity.request_ended();
    }
}

/// A response body that keeps its request counted.
pub struct CountedBody {
    body: AnswerStream,
    in_flight: InFlight,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let polled = self.body.as_mut().poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.in_flight.activity.add_unsent(bytes);
        }
        if matches!(polled, Poll::Ready(Some(Err(_)))) && self.in_flight.ends_with_connection {
            self.in_flight.activity.reset_at_end();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
