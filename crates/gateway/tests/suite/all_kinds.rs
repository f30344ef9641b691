//! A deployment with targets of all kinds, and requests and answers for each.

use hollowsail_platform_standins::target::{
    answer, chunk, event, last_chunk, results, stream_head,
};
use hollowsail_platform_standins::{DeploymentJson, ReceivedRequest, Step};
use serde_json::json;

use crate::fixture::{generation, Call};

/// Plain targets, engines, and stage workers whose calls take `call_ms`.
pub fn deployment(call_ms: f64) -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 8, call_ms, 10.0)
        .service("plain")
        .route("/a/", "safe", "plain", json!({ "max_attempts": 3 }))
        .route("/once/", "stream", "engines", json!({}))
        .route("/staged/", "stream", "engines", json!({ "stages": stages }))
}

/// A generation with a piece of one stage.
pub fn staged(number: usize) -> Call {
    let mut call = generation(number)
        .with("X-Pieces", "1")
        .with("X-Piece-Key", "the-key");
    call.path = "/staged/".to_string();
    call
}

/// A complete answer of any kind of target, depending on the request; `sign` adds headers.
pub fn whole_answer(request: &ReceivedRequest, sign: impl Fn(Vec<u8>) -> Vec<u8>) -> Vec<Step> {
    let is_stream = !request.header("x-token-counts").is_empty();
    let head = match request.path.as_str() {
        "/-/stage-run" | "/-/stage-free" => results(request, "producer"),
        _ if is_stream => stream_head(request),
        _ => answer(request, 200, "served"),
    };
    let mut steps = vec![Step::Write(sign(head))];
    if is_stream {
        steps.push(Step::Write(chunk(&event(1))));
        steps.push(Step::Write(last_chunk()));
    }
    steps
}
