//! One dispatch: the call to the chosen target, streamed or not, within its
//! time.

use std::time::{Duration, Instant};

use hollowsail_clients::target::{self, Call, CallError, Sent, StreamStep, TargetNotice};
use hollowsail_config::{ServiceKind, TargetKey};
use serde_json::{json, Value};
use tokio::time::timeout;

use crate::job::{Progress, Sink};
use crate::routes::Route;
use crate::task::StageTask;

/// Tokens that a broken stream delivered, and where it can go on.
#[derive(Default)]
pub struct Partial {
    text: String,
    tokens: u32,
    target: Option<TargetKey>,
}

impl Partial {
    /// The target that can go on with the stream.
    pub fn target(&self) -> Option<TargetKey> {
        self.target.filter(|_| self.tokens > 0)
    }
}

/// How a dispatch ended.
pub struct Dispatched {
    pub result: Result<(Value, TargetNotice), CallError>,
    pub waited: Duration,
    /// Its time was over before it ended.
    pub timed_out: bool,
    /// It delivered tokens before it broke: the same target may go on.
    pub may_resume: bool,
}

/// What a target is asked, but for the dispatch id.
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

/// Calls the target and waits for its whole answer, `limit` at the longest.
pub async fn dispatch(
    task: &StageTask<'_>,
    call: &mut Call,
    route: &Route,
    limit: Duration,
    partial: &mut Partial,
) -> Dispatched {
    let begun = Instant::now();
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
            begin_stream(call, route, partial, task.sink).await;
            let stream = read_stream(client, org, call, route, limit, partial, task.sink);
            timeout(limit, stream).await
        }
        _ => {
            let whole = target::call(client, route.address, org, call, limit);
            timeout(limit, whole).await
        }
    };
    let waited = begun.elapsed();
    let timed_out = timed.is_err() || waited >= limit;
    Dispatched {
        result: timed.unwrap_or_else(|_| Err(late(limit))),
        waited,
        timed_out,
        may_resume: partial.tokens > tokens_before && !timed_out,
    }
}

fn late(limit: Duration) -> CallError {
    CallError {
        sent: Sent::Something,
        leaving: false,
        reason: format!("no whole answer within {} ms", limit.as_millis()),
    }
}

/// Decides whether a stream goes on from where it broke or starts anew.
async fn begin_stream(call: &mut Call, route: &Route, partial: &mut Partial, sink: Option<&Sink>) {
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
) -> Result<(Value, TargetNotice), CallError> {
    let (mut stream, notice) = target::open_stream(client, route.address, org, call, limit).await?;
    loop {
        match stream.next().await? {
            StreamStep::Token(text) => {
                partial.text.push_str(&text);
                let offset = partial.tokens;
                partial.tokens += 1;
                send(sink, Progress::Token { offset, text }).await;
            }
            StreamStep::Whole => {
                let output = json!({ "text": partial.text, "tokens": partial.tokens });
                return Ok((output, notice));
            }
        }
    }
}

/// A caller that has gone away does not stop the stage here; whoever owns the
/// request decides that.
async fn send(sink: Option<&Sink>, progress: Progress) {
    if let Some(sink) = sink {
        let _ = sink.send(progress).await;
    }
}
