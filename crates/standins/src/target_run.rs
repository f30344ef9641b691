//! One call on a target that has its slot: its time, its answer, its faults.

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
use crate::target_state::{Busy, Counted, TargetState};

/// How long "never answers" is.
const HANG: Duration = Duration::from_secs(600);

/// One call that has its slot.
pub(crate) struct Run {
    pub(crate) state: Arc<TargetState>,
    pub(crate) faults: TargetFaults,
    pub(crate) org: String,
    pub(crate) call: Call,
    pub(crate) place: usize,
    pub(crate) _held: Counted,
    pub(crate) _busy: Busy,
    pub(crate) _slot: OwnedSemaphorePermit,
}

impl Run {
    pub(crate) async fn answer(self) -> HttpResponse {
        if self.faults.hang {
            tokio::time::sleep(HANG).await;
        }
        match self.state.kind {
            ServiceKind::Engine => self.answer_stream().await,
            _ => self.answer_whole().await,
        }
    }

    async fn wait(&self, time: Duration) {
        let time = time.mul_f64(self.faults.slow_factor);
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
    }

    fn echo(&self) -> String {
        match self.faults.cross_answers {
            true => "another-request/stage/1".to_string(),
            false => self.call.dispatch.clone(),
        }
    }

    fn response(&self) -> actix_web::HttpResponseBuilder {
        let mut res = HttpResponse::Ok();
        res.insert_header((DISPATCH_HEADER, self.echo()));
        if self.state.reports_load {
            let load = self.state.reported_load(&self.faults);
            res.insert_header((LOAD_HEADER, load.to_string()));
        }
        res
    }

    async fn answer_whole(self) -> HttpResponse {
        let running = Counted::new(&self.state.running);
        let crowding =
            f64::from(running.0.load(Ordering::Relaxed)) / f64::from(self.state.concurrency);
        let base = self.state.profile.base_ms(self.state.kind);
        self.wait(Duration::from_secs_f64(base * (0.5 + crowding) / 1000.0))
            .await;
        let output = output::answer_for(self.state.kind, &self.call);
        self.state.log.finish(self.place);
        let mut length = output.to_string().len();
        if self.faults.wrong_length {
            length += 1;
        }
        let answer = Answer {
            dispatch: self.echo(),
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
        let events = stream::unfold(StreamRun::new(self), |mut run| async move {
            let item = run.next().await?;
            Some((item, run))
        });
        res.content_type("text/event-stream").streaming(events)
    }
}

/// A body that breaks off after the given pieces.
fn cut_after(
    pieces: Vec<Bytes>,
) -> impl futures_util::Stream<Item = Result<Bytes, std::io::Error>> {
    let cut = Err(std::io::Error::other("cut by a fault"));
    stream::iter(pieces.into_iter().map(Ok).chain([cut]))
}

/// A token stream under way.
struct StreamRun {
    run: Run,
    _running: Counted,
    next: u32,
    total: u32,
    ended: bool,
}

impl StreamRun {
    fn new(run: Run) -> Self {
        let running = Counted::new(&run.state.running);
        StreamRun {
            next: run.call.from_token,
            total: output::token_count(&run.call),
            ended: false,
            _running: running,
            run,
        }
    }

    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.ended {
            return None;
        }
        let resumed = self.run.call.from_token > 0;
        if self.run.faults.cut_stream_after == Some(self.next) && !resumed {
            self.ended = true;
            return Some(Err(std::io::Error::other("cut by a fault")));
        }
        if self.next >= self.total {
            return self.end();
        }
        let batch = self.run.state.running.load(Ordering::Relaxed);
        let time = self.run.state.profile.engine.token(batch);
        self.run.wait(time).await;
        let event = TokenEvent::Token {
            dispatch: self.run.echo(),
            offset: self.next,
            text: output::token(&self.run.call, self.next),
        };
        self.next += 1;
        let mut text = render(&event);
        if self.run.faults.double_tokens {
            text = text.repeat(2);
        }
        Some(Ok(Bytes::from(text)))
    }

    fn end(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        self.ended = true;
        self.run.state.log.finish(self.run.place);
        if self.run.faults.drop_end_marker {
            return None;
        }
        let event = TokenEvent::End {
            dispatch: self.run.echo(),
            tokens: self.total,
        };
        Some(Ok(Bytes::from(render(&event))))
    }
}

fn render(event: &TokenEvent) -> String {
    let data = serde_json::to_string(event).expect("an event always serializes");
    format!("data: {data}\n\n")
}
