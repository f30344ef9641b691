//! Answers as server-sent events: `token`, `restart`, and a final `answer`.
//!
//! The answer is complete if the `answer` event has the outcome `whole`; a stream
//! that ends without an `answer` event is incomplete.

use std::pin::Pin;
use std::task::{Context, Poll};

use actix_web::web::Bytes;
use actix_web::HttpResponse;
use futures_util::Stream;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::answer::AnswerBody;
use crate::job::{Job, Progress};
use crate::open_record::OpenRecord;
use crate::pipeline;
use crate::view::InFlight;
use crate::worker::Worker;

/// Maximum number of events buffered for a slow caller.
const EVENT_BUFFER: usize = 64;

enum Event {
    Progress(Progress),
    Answer(Box<AnswerBody>),
}

/// Events of one run; dropping it aborts the run if `abort_on_drop` is set.
struct EventStream {
    progress: mpsc::Receiver<Progress>,
    answer: mpsc::Receiver<AnswerBody>,
    task: JoinHandle<()>,
    abort_on_drop: bool,
    is_done: bool,
    /// Makes a planned stop wait until the stream has ended.
    _in_flight: InFlight,
}

impl Drop for EventStream {
    fn drop(&mut self) {
        if self.abort_on_drop {
            self.task.abort();
        }
    }
}

impl Stream for EventStream {
    type Item = Result<Bytes, actix_web::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        // The run closes the progress channel just before it sends the answer.
        let event = match self.progress.poll_recv(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(progress)) => Event::Progress(progress),
            Poll::Ready(None) => match self.answer.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(answer)) => {
                    self.is_done = true;
                    Event::Answer(Box::new(answer))
                }
            },
        };
        Poll::Ready(Some(Ok(render(event))))
    }
}

fn render(event: Event) -> Bytes {
    let (name, data) = match event {
        Event::Progress(Progress::Token { offset, text }) => {
            ("token", json!({ "offset": offset, "text": text }))
        }
        Event::Progress(Progress::Restart) => ("restart", json!({})),
        Event::Answer(answer) => ("answer", json!(answer)),
    };
    Bytes::from(format!("event: {name}\ndata: {data}\n\n"))
}

/// Runs a job that may be repeated; aborts it when the caller disconnects.
pub fn respond(worker: &Worker, job: Job) -> HttpResponse {
    start(worker, job, None)
}

/// Runs a job that must not be repeated; continues after the caller disconnects.
pub fn respond_once(worker: &Worker, job: Job, record: OpenRecord) -> HttpResponse {
    start(worker, job, Some(record))
}

fn start(worker: &Worker, job: Job, record: Option<OpenRecord>) -> HttpResponse {
    let (progress_tx, progress) = mpsc::channel(EVENT_BUFFER);
    let (answer_tx, answer) = mpsc::channel(1);
    let abort_on_drop = record.is_none();
    let in_flight = InFlight::new(&worker.entry.in_flight);
    let worker = worker.clone();
    let task = actix_rt::spawn(async move {
        let body = pipeline::run(&worker, &job, Some(&progress_tx)).await;
        if let Some(record) = record {
            record.close(body.to_bytes());
        }
        drop(progress_tx);
        let _ = answer_tx.send(body).await;
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-store"))
        .streaming(EventStream {
            progress,
            answer,
            task,
            abort_on_drop,
            is_done: false,
            _in_flight: in_flight,
        })
}
