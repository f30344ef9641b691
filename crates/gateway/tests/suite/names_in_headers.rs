//! Names that other writers and targets chose, in the headers of requests to targets.

use std::time::Duration;

use hollowsail_platform_standins::target::{answer, chunk, event, last_chunk, stream_head};
use hollowsail_platform_standins::{DeploymentJson, ReceivedRequest, Step, TargetStandin};
use serde_json::json;

use crate::fixture::{plain_deployment, Call, Fixture};

const ODD_IDS: [&str; 5] = ["a\nb", "a\0", "a\u{7f}", "a ", " a"];

fn safe_call(number: usize) -> Call {
    Call::new("GET", "/safe/x").with("X-Request-Id", &format!("{number:016x}"))
}

// Guards against requests without `X-Expect-Instance`, which run at any process at the address.
#[actix_rt::test]
async fn target_whose_id_cannot_be_sent_gets_no_request() {
    let fixture = Fixture::start(&plain_deployment(1, "/safe/")).await;
    let odd = TargetStandin::answering("odd", Duration::from_millis(1)).await;
    let sound = TargetStandin::answering("ok", Duration::from_millis(1)).await;
    for id in ODD_IDS {
        fixture.add(id, "plain", &odd);
    }
    fixture.add("sound", "plain", &sound);
    fixture.call(&safe_call(0)).await;
    for number in 1..60 {
        let got = safe_call(number).send(fixture.gateway.addrs.callers).await;
        assert_eq!((got.status, got.body.as_str()), (200, "ok"));
    }
    assert!(odd.received().is_empty());
    fixture.add("é", "plain", &odd);
    let mut number = 60;
    while odd.received().is_empty() && number < 1_000 {
        safe_call(number).send(fixture.gateway.addrs.callers).await;
        number += 1;
    }
    let expected = odd.received().pop().expect("it serves");
    assert_eq!(expected.header("x-expect-instance"), "é");
}

// Guards against a target that takes a request for nobody's.
#[actix_rt::test]
async fn organisation_with_name_in_utf8_is_sent() {
    let deployment = plain_deployment(1, "/safe/").organisation("Société", &["key-1"]);
    let script = |request: &ReceivedRequest| vec![Step::Write(answer(request, 200, "ok"))];
    let (fixture, target) = Fixture::serving(&deployment, "plain", script).await;
    let call = Call::new("GET", "/safe/").with("Authorization", "Bearer key-1");
    assert_eq!(fixture.call(&call).await.status, 200);
    let request = target.received().pop().expect("it arrived");
    assert_eq!(request.header("x-tenant"), "Société");
}

/// A stream whose first event has an odd id, and which then breaks off.
fn broken(request: &ReceivedRequest, id: &str) -> Vec<Step> {
    vec![
        Step::Write(stream_head(request)),
        Step::Write(chunk(&format!("id: {id}\ndata: event 1\n\n"))),
        Step::Wait(Duration::from_millis(50)),
        Step::Reset,
    ]
}

fn whole(request: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Write(stream_head(request)),
        Step::Write(chunk(&(1..=3).map(event).collect::<String>())),
        Step::Write(last_chunk()),
    ]
}

// Guards against a stream that begins anew inside one answer.
#[actix_rt::test]
async fn stream_is_not_resumed_after_event_whose_id_cannot_be_sent() {
    let deployment = DeploymentJson::new(1).engines("engines").route(
        "/resumable/",
        "stream",
        "engines",
        json!({ "stream_resume": true }),
    );
    for (id, is_resumed) in [("a\0b", false), ("", false), ("\u{7f}", false), ("é", true)] {
        let fixture = Fixture::start(&deployment).await;
        let bad = TargetStandin::start(move |request| broken(request, id)).await;
        let good = TargetStandin::start(whole).await;
        fixture.add("i-1", "engines", &bad);
        fixture.add("i-2", "engines", &good);
        let mut broken_off = 0;
        for number in 0..400 {
            let parts = format!("{number:x}0:60,bb:40");
            let call = Call::new("POST", "/resumable/")
                .with("X-Token-Counts", "100,10")
                .with("X-Prompt-Prefix", &parts)
                .body("prompt");
            let (seen, resumes) = (bad.received().len(), good.received().len());
            let got = call.send(fixture.gateway.addrs.callers).await;
            if got.status != 200 || bad.received().len() == seen {
                continue;
            }
            broken_off += 1;
            let resumed = good.received().len() > resumes;
            assert_eq!(
                (got.is_whole, resumed),
                (is_resumed, is_resumed),
                "{id:?}: {}",
                got.body
            );
            if is_resumed {
                let request = good.received().pop().expect("it resumes the stream");
                assert_eq!(request.header("last-event-id"), id);
            }
            if broken_off == 3 {
                break;
            }
        }
        assert!(broken_off > 0, "{id:?}: no stream broke off");
    }
}
