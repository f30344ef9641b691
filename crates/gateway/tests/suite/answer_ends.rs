//! Answers that end early, by what marks their end.
//!
//! An answer without a length or chunks ends with its connection, so a target that stops halfway
//! ends it, too.

use std::time::Duration;

use hollowsail_platform_standins::target::{answer, event, stream_head, unframed};
use hollowsail_platform_standins::{DeploymentJson, ReceivedRequest, Step, TargetStandin};
use serde_json::json;

use crate::fixture::{Call, Fixture};

/// Pause before a connection closes, so that its last bytes are read first.
const BEFORE_CLOSE: Duration = Duration::from_millis(20);

fn deployment() -> DeploymentJson {
    let resumable = json!({ "stream_resume": true, "max_attempts": 2 });
    DeploymentJson::new(1)
        .engines("engines")
        .route("/once/", "stream", "engines", json!({}))
        .route("/resumable/", "stream", "engines", resumable)
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
async fn relayed(path: &str, text: String) -> crate::fixture::Answer {
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
    let script = |request: &ReceivedRequest| {
        let json = String::from_utf8(answer(request, 200, "{\"a\": 1}")).expect("text");
        let json = json.replacen("\r\n", "\r\nContent-Type: application/json\r\n", 1);
        vec![Step::Write(json.into())]
    };
    let (fixture, _target) = Fixture::serving(&deployment(), "engines", script).await;
    let got = fixture.call(&generation("/once/")).await;
    assert_eq!((got.is_whole, got.body.as_str()), (true, "{\"a\": 1}"));
}
