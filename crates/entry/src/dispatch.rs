//! One dispatch: the call to the chosen target, streamed or not, within a time
//! limit.

use std::time::{Duration, Instant};

use hollowsail_clients::target::{self, Call, CallError, SendProgress, StreamStep, TargetReports};
use hollowsail_config::{ServiceKind, TargetKey};
use serde_json::{json, Value};
use tokio::time::timeout;

use crate::job::{Progress, Sink};
use crate::routes::Route;
use crate::task::StageTask;

/// Tokens received from an interrupted stream, and the target that can resume it.
#[derive(Default)]
pub struct Partial {
    text: String,
    tokens: u32,
    target: Option<TargetKey>,
}

impl Partial {
    /// The target that can resume the stream.
    pub fn target(&self) -> Option<TargetKey> {
        self.target.filter(|_| self.tokens > 0)
    }
}

/// Result of a dispatch.
pub struct Dispatched {
    pub result: Result<(Value, TargetReports), CallError>,
    pub waited: Duration,
    /// The time limit passed before the answer was complete.
    pub timed_out: bool,
    /// It delivered tokens before it was interrupted: the same target may resume.
    pub may_resume: bool,
}

/// The call of a stage to a target; the caller sets the dispatch id.
pub fn new_call(task: &StageTask<'_>, input: Value) -> Call {
    let job = task.job;
    let deployment = &job.configuration.deployment;
    let org = deployment
        .find_organisation(&job.org)
        .map(|key| deployment.organisation(key));
    Call {
        dispatch: String::new(),
        stage: task.stage.name.clone(),
        model: task.stage.model.map(|key| {
            let model = deployment.model(key);
            format!("{}@{}", model.name, model.version)
        }),
        adapter: org.and_then(|org| org.adapter.clone()),
        priority: job.pipeline().priority,
        session: job.session.clone(),
        max_tokens: task.stage.max_tokens,
        from_token: 0,
        input,
    }
}

/// Calls the target and waits at most `limit` for its complete answer.
pub async fn dispatch(
    task: &StageTask<'_>,
    call: &mut Call,
    route: &Route,
    limit: Duration,
    partial: &mut Partial,
) -> Dispatched {
    let started = Instant::now();
    let tokens_before = partial.tokens;
    let service = task
        .job
        .configuration
        .deployment
        .service(task.stage.service);
    let client = task.worker.client(task.stage.repeatable);
    let org = &task.job.org;
    let timed = match service.kind {
        ServiceKind::Engine => {
            prepare_stream(call, route, partial, task.sink).await;
            let stream = read_stream(client, org, call, route, limit, partial, task.sink);
            timeout(limit, stream).await
        }
        _ => {
            let answer = target::call(client, route.address, org, call, limit);
            timeout(limit, answer).await
        }
    };
    let waited = started.elapsed();
    let timed_out = timed.is_err() || waited >= limit;
    Dispatched {
        result: timed.unwrap_or_else(|_| Err(timeout_error(limit))),
        waited,
        timed_out,
        may_resume: partial.tokens > tokens_before && !timed_out,
    }
}

fn timeout_error(limit: Duration) -> CallError {
    CallError {
        progress: SendProgress::MaybeSent,
        draining: false,
        reason: format!("no complete answer within {} ms", limit.as_millis()),
    }
}

/// Resumes the stream if its target is the same; otherwise discards its tokens and
/// sends the caller a restart.
async fn prepare_stream(
    call: &mut Call,
    route: &Route,
    partial: &mut Partial,
    sink: Option<&Sink>,
) {
    if partial.target != Some(route.key) {
        if partial.tokens > 0 {
            send(sink, Progress::Restart).await;
        }
        *partial = Partial {
            target: Some(route.key),
            ..Partial::default()
        };
    }
    call.from_token = partial.tokens;
}

async fn read_stream(
    client: &awc::Client,
    org: &str,
    call: &Call,
    route: &Route,
    limit: Duration,
    partial: &mut Partial,
    sink: Option<&Sink>,
) -> Result<(Value, TargetReports), CallError> {
    let (mut stream, target_reports) =
        target::open_stream(client, route.address, org, call, limit).await?;
    loop {
        match stream.next().await? {
            StreamStep::Token(text) => {
                partial.text.push_str(&text);
                let offset = partial.tokens;
                partial.tokens += 1;
                send(sink, Progress::Token { offset, text }).await;
            }
            StreamStep::End => {
                let output = json!({ "text": partial.text, "tokens": partial.tokens });
                return Ok((output, target_reports));
            }
        }
    }
}

/// Ignores a caller that has disconnected; the owner of the run decides whether to
/// cancel it.
async fn send(sink: Option<&Sink>, progress: Progress) {
    if let Some(sink) = sink {
        let _ = sink.send(progress).await;
    }
}
