//! Answers as server-sent events: `token`, `restart`, and one `answer` last.
//!
//! A caller holds the whole answer when the `answer` event has come with
//! outcome `whole`; a stream that ends without one is not whole.

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

/// Events that may wait for a slow caller.
const BUFFERED: usize = 64;

enum Event {
    Progress(Progress),
    Answer(Box<AnswerBody>),
}

/// Events of one run; dropping it ends a run that may be repeated.
struct EventStream {
    progress: mpsc::Receiver<Progress>,
    answer: mpsc::Receiver<AnswerBody>,
    task: JoinHandle<()>,
    abort_on_drop: bool,
    ended: bool,
    /// A planned stop waits for the stream, not only for its beginning.
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
        if self.ended {
            return Poll::Ready(None);
        }
        // Progress ends when the run drops its sink, just before the answer.
        let event = match self.progress.poll_recv(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Some(progress)) => Event::Progress(progress),
            Poll::Ready(None) => match self.answer.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(None),
                Poll::Ready(Some(answer)) => {
                    self.ended = true;
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

/// Runs a job that may be repeated; the run ends with its caller.
pub fn respond(worker: &Worker, job: Job) -> HttpResponse {
    start(worker, job, None)
}

/// Runs a job that must not be repeated; the run goes on without its caller.
pub fn respond_once(worker: &Worker, job: Job, record: OpenRecord) -> HttpResponse {
    start(worker, job, Some(record))
}

fn start(worker: &Worker, job: Job, record: Option<OpenRecord>) -> HttpResponse {
    let (progress_tx, progress) = mpsc::channel(BUFFERED);
    let (answer_tx, answer) = mpsc::channel(1);
    let abort_on_drop = record.is_none();
    let in_flight = InFlight::new(&worker.entry.in_flight);
    let worker = worker.clone();
    let task = actix_rt::spawn(async move {
        let ended = pipeline::run(&worker, &job, Some(&progress_tx)).await;
        if let Some(record) = record {
            record.close(ended.to_bytes());
        }
        drop(progress_tx);
        let _ = answer_tx.send(ended).await;
    });
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .insert_header(("cache-control", "no-store"))
        .streaming(EventStream {
            progress,
            answer,
            task,
            abort_on_drop,
            ended: false,
            _in_flight: in_flight,
        })
}
