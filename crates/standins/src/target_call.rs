//! Executes a call that holds a slot of its target: processing time, answer and faults.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpResponse;
use bytes::Bytes;
use futures_util::stream;
use hollowsail_clients::target::{Answer, Call, TokenEvent, DISPATCH_HEADER, LOAD_HEADER};
use hollowsail_config::ServiceKind;
use tokio::sync::OwnedSemaphorePermit;

use crate::faults::TargetFaults;
use crate::output;
use crate::target_state::{BusyTimer, CountGuard, TargetState};

/// Delay of a hanging call, longer than any deadline.
const HANG_TIME: Duration = Duration::from_secs(600);

/// A call that holds a slot of its target.
pub(crate) struct ActiveCall {
    pub(crate) state: Arc<TargetState>,
    pub(crate) faults: TargetFaults,
    pub(crate) org: String,
    pub(crate) call: Call,
    pub(crate) log_index: usize,
    pub(crate) _in_flight: CountGuard,
    pub(crate) _busy_timer: BusyTimer,
    pub(crate) _slot: OwnedSemaphorePermit,
}

impl ActiveCall {
    pub(crate) async fn answer(self) -> HttpResponse {
        if self.faults.hang {
            tokio::time::sleep(HANG_TIME).await;
        }
        match self.state.kind {
            ServiceKind::Engine => self.answer_stream().await,
            _ => self.answer_body().await,
        }
    }

    async fn wait(&self, time: Duration) {
        let time = time.mul_f64(self.faults.slow_factor);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }

    fn dispatch_id(&self) -> String {
        match self.faults.cross_answers {
            true => "another-request/stage/1".to_string(),
            false => self.call.dispatch.clone(),
        }
    }

    fn response(&self) -> actix_web::HttpResponseBuilder {
        let mut res = HttpResponse::Ok();
        res.insert_header((DISPATCH_HEADER, self.dispatch_id()));
        if self.state.reports_load {
            let load = self.state.reported_load(&self.faults);
            res.insert_header((LOAD_HEADER, load.to_string()));
        }
        res
    }

    async fn answer_body(self) -> HttpResponse {
        let running = CountGuard::new(&self.state.running);
        let utilisation =
            f64::from(running.0.load(Ordering::Relaxed)) / f64::from(self.state.concurrency);
        let base = self.state.profile.base_ms(self.state.kind);
        self.wait(Duration::from_secs_f64(base * (0.5 + utilisation) / 1000.0))
            .await;
        let output = output::answer_for(self.state.kind, &self.call);
        self.state.log.finish(self.log_index);
        let mut length = output.to_string().len();
        if self.faults.wrong_length {
            length += 1;
        }
        let answer = Answer {
            dispatch: self.dispatch_id(),
            length,
            output,
        };
        let body = serde_json::to_vec(&answer).expect("an answer always serializes");
        if self.faults.cut_answer {
            let half = Bytes::copy_from_slice(&body[..body.len() / 2]);
            return self.response().streaming(cut_after(vec![half]));
        }
        self.response().content_type("application/json").body(body)
    }

    async fn answer_stream(self) -> HttpResponse {
        let cached = match &self.call.session {
            Some(session) => {
                let prefix = format!("{}/{session}", self.org);
                self.state.cache.lock().expect("no panic").touch(&prefix)
            }
            None => false,
        };
        let prefill = self.state.profile.engine.prefill(cached);
        self.wait(prefill).await;
        let mut res = self.response();
        let events = stream::unfold(TokenStream::new(self), |mut active_call| async move {
            let item = active_call.next_token().await?;
            Some((item, active_call))
        });
        res.content_type("text/event-stream").streaming(events)
    }
}

/// A body that is cut after the given chunks.
fn cut_after(
    chunks: Vec<Bytes>,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    let cut = Err(std::io::Error::other("cut by a fault"));
    stream::iter(chunks.into_iter().map(Ok).chain([cut]))
}

/// Token events of a running call.
struct TokenStream {
    active_call: ActiveCall,
    _running: CountGuard,
    next_token: u32,
    total_tokens: u32,
    is_finished: bool,
}

impl TokenStream {
    fn new(active_call: ActiveCall) -> Self {
        let running = CountGuard::new(&active_call.state.running);
        TokenStream {
            next_token: active_call.call.from_token,
            total_tokens: output::token_count(&active_call.call),
            is_finished: false,
            _running: running,
            active_call,
        }
    }

    async fn next_token(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.is_finished {
            return None;
        }
        let resumed = self.active_call.call.from_token > 0;
        if self.active_call.faults.cut_stream_after == Some(self.next_token) && !resumed {
            self.is_finished = true;
            return Some(Err(std::io::Error::other("cut by a fault")));
        }
        if self.next_token >= self.total_tokens {
            return self.end();
        }
        let batch = self.active_call.state.running.load(Ordering::Relaxed);
        let time = self.active_call.state.profile.engine.token(batch);
        self.active_call.wait(time).await;
        let event = TokenEvent::Token {
            dispatch: self.active_call.dispatch_id(),
            offset: self.next_token,
            text: output::token(&self.active_call.call, self.next_token),
        };
        self.next_token += 1;
        let mut text = render(&event);
        if self.active_call.faults.double_tokens {
            text = text.repeat(2);
        }
        Some(Ok(Bytes::from(text)))
    }

    fn end(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        self.is_finished = true;
        self.active_call
            .state
            .log
            .finish(self.active_call.log_index);
        if self.active_call.faults.drop_end_marker {
            return None;
        }
        let event = TokenEvent::End {
            dispatch: self.active_call.dispatch_id(),
            tokens: self.total_tokens,
        };
        Some(Ok(Bytes::from(render(&event))))
    }
}

fn render(event: &TokenEvent) -> String {
    let data = serde_json::to_string(event).expect("an event always serializes");
    format!("data: {data}\n\n")
}
