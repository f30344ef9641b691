//! Answers that end early, by what marks their end.
//!
//! An answer without a length or chunks ends with its connection, so a target that stops halfway
//! ends it, too.

use std::time::Duration;

use futures_util::future::join;
use hollowsail_platform_standins::target::{answer, event, stream_head, unframed};
use hollowsail_platform_standins::{DeploymentJson, ReceivedRequest, Step, TargetStandin};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::fixture::{eventually, Answer, Call, Fixture};

/// Pause before a connection closes, so that its last bytes are read first.
const BEFORE_CLOSE: Duration = Duration::from_millis(20);

fn deployment() -> DeploymentJson {
    let resumable = json!({ "stream_resume": true, "max_attempts": 2 });
    DeploymentJson::new(1)
        .engines("engines")
        .route("/once/", "stream", "engines", json!({}))
        .route("/resumable/", "stream", "engines", resumable)
        .service("plain")
        .route("/plain/", "unsafe", "plain", json!({}))
        .service("other")
        .route("/other/", "unsafe", "other", json!({}))
}

fn generation(path: &str) -> Call {
    Call::new("POST", path)
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .body("prompt")
}

/// A stream without a length or chunks, with this text, whose connection is closed.
fn unframed_stream(request: &ReceivedRequest, text: &str) -> Vec<Step> {
    vec![
        Step::Write(unframed(stream_head(request))),
        Step::Write(text.into()),
        Step::Wait(BEFORE_CLOSE),
        Step::Close,
    ]
}

fn events(ids: std::ops::RangeInclusive<u32>) -> String {
    ids.map(event).collect()
}

/// Requests a stream whose target closes the connection after this text.
async fn relayed(path: &str, text: String) -> Answer {
    let script = move |request: &ReceivedRequest| unframed_stream(request, &text);
    let (fixture, _target) = Fixture::serving(&deployment(), "engines", script).await;
    fixture.call(&generation(path)).await
}

#[actix_rt::test]
async fn unframed_stream_closed_inside_an_event_is_not_complete() {
    let second = event(2);
    for cut in 1..second.len() {
        let got = relayed("/once/", event(1) + &second[..cut]).await;
        assert_eq!(
            (got.status, got.is_whole),
            (200, false),
            "after {cut} bytes"
        );
        assert_eq!(got.body, event(1), "complete events only");
    }
}

#[actix_rt::test]
async fn unframed_stream_without_an_event_is_not_complete() {
    let got = relayed("/once/", String::new()).await;
    assert_eq!((got.status, got.is_whole), (200, false));
}

#[actix_rt::test]
async fn unframed_stream_closed_after_an_event_is_complete() {
    let got = relayed("/once/", events(1..=3)).await;
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body, events(1..=3));
}

#[actix_rt::test]
async fn unframed_stream_closed_inside_an_event_is_resumed() {
    let fixture = Fixture::start(&deployment()).await;
    let mut targets = Vec::new();
    for id in ["i-1", "i-2"] {
        // The first to be asked stops inside the third event.
        let target = TargetStandin::start(|request: &ReceivedRequest| {
            match request.header("last-event-id") {
                "" => unframed_stream(request, &(events(1..=2) + &event(3)[..8])),
                after => {
                    let after: u32 = after.parse().expect("an event id");
                    unframed_stream(request, &events(after + 1..=4))
                }
            }
        })
        .await;
        fixture.add(id, "engines", &target);
        targets.push(target);
    }
    fixture.call(&generation("/resumable/")).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = fixture.call(&generation("/resumable/")).await;
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body, events(1..=4));
}

#[actix_rt::test]
async fn answer_of_another_type_on_a_stream_route_is_whole() {
    for without_length in [false, true] {
        let script = move |request: &ReceivedRequest| {
            let json = String::from_utf8(answer(request, 200, "{\"a\": 1}")).expect("text");
            let json = json.replacen("\r\n", "\r\nContent-Type: application/json\r\n", 1);
            match without_length {
                true => vec![Step::Write(unframed(json.into())), Step::Close],
                false => vec![Step::Write(json.into())],
            }
        };
        let (fixture, _target) = Fixture::serving(&deployment(), "engines", script).await;
        let got = fixture.call(&generation("/once/")).await;
        assert_eq!((got.is_whole, got.body.as_str()), (true, "{\"a\": 1}"));
    }
}

/// A plain answer without a length, followed by `end`.
fn unframed_answer(request: &ReceivedRequest, end: Step) -> Vec<Step> {
    vec![
        Step::Write(unframed(answer(request, 200, "the body"))),
        Step::Wait(BEFORE_CLOSE),
        end,
    ]
}

async fn plain_answer_ending_with(end: Step) -> Answer {
    let script = move |request: &ReceivedRequest| unframed_answer(request, end.clone());
    let (fixture, _target) = Fixture::serving(&deployment(), "plain", script).await;
    fixture.call(&Call::new("POST", "/plain/x")).await
}

#[actix_rt::test]
async fn unframed_answer_is_complete_at_its_close() {
    let got = plain_answer_ending_with(Step::Close).await;
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body, "the body");
}

#[actix_rt::test]
async fn unframed_answer_is_not_complete_at_a_reset() {
    let got = plain_answer_ending_with(Step::Reset).await;
    assert_eq!(got.status, 502, "it may have run");
}

#[actix_rt::test]
async fn unframed_answer_of_a_crashed_target_is_not_complete() {
    let got = plain_answer_ending_with(Step::Crash).await;
    assert_eq!(got.status, 502, "it may have run");
}

/// A stream without a length or chunks whose engine crashes after its second event.
fn crashing_stream(request: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Write(unframed(stream_head(request))),
        Step::Write(events(1..=2).into()),
        Step::Wait(BEFORE_CLOSE),
        Step::Crash,
    ]
}

#[actix_rt::test]
async fn unframed_stream_of_a_crashed_engine_is_not_complete() {
    let (fixture, _target) = Fixture::serving(&deployment(), "engines", crashing_stream).await;
    let got = fixture.call(&generation("/once/")).await;
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(got.body, events(1..=2));
}

/// Sends a request to the last target that runs. When it crashes, too, nobody can tell its crash
/// from a cut of the host.
async fn answered_by_the_last_target(
    service: &str,
    request: &Call,
    script: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
) -> Answer {
    let (fixture, _target) = Fixture::serving(&deployment(), service, script).await;
    let gone = {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("it binds");
        listener.local_addr().expect("it is bound")
    };
    // No request goes there.
    fixture
        .store
        .put_target("i-2", "other", gone, "hall-a", "ready");
    tokio::time::sleep(Duration::from_millis(300)).await;
    fixture.call(request).await
}

#[actix_rt::test]
async fn unframed_stream_whose_end_is_unconfirmed_is_not_complete() {
    let got = answered_by_the_last_target("engines", &generation("/once/"), crashing_stream).await;
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(got.body, events(1..=2));
}

#[actix_rt::test]
async fn unframed_answer_whose_end_is_unconfirmed_is_not_complete() {
    let script = |request: &ReceivedRequest| unframed_answer(request, Step::Crash);
    let request = Call::new("POST", "/plain/x");
    let got = answered_by_the_last_target("plain", &request, script).await;
    assert_eq!(got.status, 502, "it may have run");
}

/// Time in which a target that is leaving goes on with an answer.
const LEAVING_TIME: Duration = Duration::from_millis(500);

/// Sends a request whose target says that it leaves while it answers, and ends its answer with the
/// last of `steps`.
async fn answered_by_a_leaving_target(
    service: &str,
    request: &Call,
    steps: fn(&ReceivedRequest) -> Vec<Step>,
    end: Step,
) -> Answer {
    let script = move |request: &ReceivedRequest| {
        let mut steps = steps(request);
        steps.pop();
        steps.extend([Step::Wait(LEAVING_TIME), end.clone()]);
        steps
    };
    let (fixture, target) = Fixture::serving(&deployment(), service, script).await;
    let leave = async {
        eventually("the target answers", || !target.received().is_empty()).await;
        let store = &fixture.store;
        store.put_target("i-1", service, target.addr, "hall-a", "draining");
    };
    join(fixture.call(request), leave).await.0
}

fn plain_without_length(request: &ReceivedRequest) -> Vec<Step> {
    unframed_answer(request, Step::Close)
}

/// Guards against taking the end of a leaving target for the end of its answer.
#[actix_rt::test]
async fn unframed_stream_cut_by_the_end_of_a_leaving_engine_is_not_complete() {
    let request = generation("/once/");
    let got = answered_by_a_leaving_target("engines", &request, crashing_stream, Step::Crash).await;
    assert_eq!((got.status, got.is_whole), (200, false));
    assert_eq!(got.body, events(1..=2));
}

/// The same for an answer that isn't a stream.
#[actix_rt::test]
async fn unframed_answer_cut_by_the_end_of_a_leaving_target_is_not_complete() {
    let request = Call::new("POST", "/plain/x");
    let steps = plain_without_length;
    let got = answered_by_a_leaving_target("plain", &request, steps, Step::Crash).await;
    assert_eq!(got.status, 502, "it may have run");
}

#[actix_rt::test]
async fn unframed_answer_of_a_leaving_target_that_runs_is_complete() {
    let request = Call::new("POST", "/plain/x");
    let steps = plain_without_length;
    let got = answered_by_a_leaving_target("plain", &request, steps, Step::Close).await;
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body, "the body");
}

/// Requests an interrupted stream over HTTP/1.0 and reads to the end of the connection.
async fn read_interrupted_stream_as_http_1_0() -> std::io::Result<usize> {
    let script = |request: &ReceivedRequest| unframed_stream(request, &event(1)[..8]);
    let (fixture, _target) = Fixture::serving(&deployment(), "engines", script).await;
    fixture.call(&generation("/once/")).await;
    let request = String::from_utf8(generation("/once/").bytes()).expect("text");
    let request = request.replace("HTTP/1.1", "HTTP/1.0");
    let mut caller = TcpStream::connect(fixture.gateway.addrs.callers)
        .await
        .expect("the gateway listens");
    caller
        .write_all(request.as_bytes())
        .await
        .expect("the gateway reads");
    caller.read_to_end(&mut Vec::new()).await
}

/// To an HTTP/1.0 caller, only the connection marks the end of a stream.
#[actix_rt::test]
async fn http_1_0_caller_of_an_interrupted_stream_is_reset() {
    let ended = read_interrupted_stream_as_http_1_0().await;
    let err = ended.expect_err("the answer isn't complete");
    assert_eq!(err.kind(), std::io::ErrorKind::ConnectionReset);
}
