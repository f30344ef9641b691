//! Callers get complete answers to their own requests; crossed, cut or
//! wrong-length answers of targets are never forwarded.

use std::time::Duration;

use hollowsail_clients::http::single_use_client;
use hollowsail_clients::target::{self, Call};
use hollowsail_entry::ErrorKind;
use hollowsail_local::Caller;
use hollowsail_routing::{Outcome, StageStatus};
use hollowsail_standins::TargetFaults;
use serde_json::json;

use crate::fixture::{self, BOTH_KEY, NORTH_KEY};
use crate::raw_target::{good_answer, Behaviour, RawTarget};

fn faults(change: impl FnOnce(&mut TargetFaults)) -> TargetFaults {
    let mut faults = TargetFaults::default();
    change(&mut faults);
    faults
}

/// Faults that invalidate a target's answer.
fn broken_answers() -> Vec<(&'static str, TargetFaults)> {
    vec![
        ("crossed", faults(|f| f.cross_answers = true)),
        ("cut", faults(|f| f.cut_answer = true)),
        ("length", faults(|f| f.wrong_length = true)),
    ]
}

#[actix_rt::test]
async fn broken_answer_is_retried_on_another_target() {
    let fleet = fixture::start(1).await;
    let expected = fixture::call(&fleet, 0, &fixture::request("read", BOTH_KEY, "good")).await;
    for (name, faults) in broken_answers() {
        fleet.targets.set_faults("encoder-north", faults);
        for number in 0..4 {
            let id = format!("{name}-{number}");
            let answer = fixture::call(&fleet, 0, &fixture::request("read", BOTH_KEY, &id)).await;
            assert_eq!(answer.body.outcome, Outcome::Whole, "{id}");
            assert_eq!(answer.body.output, expected.body.output, "{id}");
        }
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn broken_unrepeatable_answer_is_unknown() {
    let fleet = fixture::start(1).await;
    for (name, faults) in broken_answers() {
        fleet.targets.set_faults("payments-north", faults);
        let ticket = fixture::ticket(&fleet, 0, NORTH_KEY).await;
        let payment = fixture::payment(NORTH_KEY, name, &ticket);
        let answer = fixture::call(&fleet, 0, &payment).await.body;
        assert_eq!(answer.outcome, Outcome::Unknown, "{name}");
        assert_eq!(answer.output, None, "{name}");
        assert_eq!(answer.stages[2].status, StageStatus::Unknown, "{name}");
        assert_eq!(fixture::executions(&fleet, name, "confirm"), 1, "{name}");
    }
    fleet.shut_down().await;
}

/// Faults of both engines' streams, with the expected outcome.
fn broken_streams() -> Vec<(&'static str, TargetFaults, Outcome)> {
    vec![
        (
            "doubled",
            faults(|f| f.double_tokens = true),
            Outcome::Whole,
        ),
        (
            "resumed",
            faults(|f| f.cut_stream_after = Some(7)),
            Outcome::Whole,
        ),
        (
            "endless",
            faults(|f| f.drop_end_marker = true),
            Outcome::Unknown,
        ),
        (
            "crossed",
            faults(|f| f.cross_answers = true),
            Outcome::Unknown,
        ),
    ]
}

#[actix_rt::test]
async fn broken_stream_resumes_or_fails() {
    // With a delay between tokens, a cut stream has delivered some of them.
    let mut options = fixture::options(1);
    options.profile.engine.token = 2.0;
    let fleet = fixture::start_with(options).await;
    let expected = fixture::call(&fleet, 0, &fixture::request("read", BOTH_KEY, "good")).await;
    let caller = Caller::default();
    for (name, faults, outcome) in broken_streams() {
        for target in ["llm-north", "llm-south"] {
            fleet.targets.set_faults(target, faults.clone());
        }
        let request = fixture::request("read", BOTH_KEY, name);
        let answer = caller
            .stream(fleet.entry(0).callers, &request)
            .await
            .expect("an answer");
        assert_eq!(answer.body.outcome, outcome, "{name}");
        if outcome == Outcome::Whole {
            assert_eq!(answer.body.output, expected.body.output, "{name}");
            assert_eq!(
                json!(answer.streamed),
                expected.body.output.clone().expect("an output")["text"]
            );
        } else {
            assert_eq!(answer.body.output, None, "{name}");
            assert_eq!(answer.body.kind, Some(ErrorKind::TargetFailed));
        }
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn stream_restarts_on_another_engine() {
    let fleet = fixture::start(1).await;
    let expected = fixture::call(&fleet, 0, &fixture::request("read", BOTH_KEY, "good")).await;
    fleet
        .targets
        .set_faults("llm-north", faults(|f| f.drop_end_marker = true));
    let caller = Caller::default();
    for number in 0..6 {
        let id = format!("moved-{number}");
        let request = fixture::request("read", BOTH_KEY, &id);
        let answer = caller
            .stream(fleet.entry(0).callers, &request)
            .await
            .expect("an answer");
        assert_eq!(answer.body.outcome, Outcome::Whole);
        assert_eq!(
            json!(answer.streamed),
            expected.body.output.clone().expect("an output")["text"]
        );
    }
    fleet.shut_down().await;
}

#[actix_rt::test]
async fn concurrent_requests_get_their_own_output() {
    let fleet = fixture::start(3).await;
    let addresses = fleet.callers();
    let calls = (0..60).map(|number| {
        let address = addresses[number % 3];
        async move {
            let caller = Caller::default();
            let mut request = fixture::request("read", BOTH_KEY, "");
            request.id = None;
            request.input = json!(number % 20);
            let answer = caller.call(address, &request).await.expect("an answer");
            (
                number % 20,
                answer.body.output.expect("an output").to_string(),
            )
        }
    });
    let answers = futures_util::future::join_all(calls).await;
    for (input, output) in &answers {
        let same = answers.iter().filter(|(_, other)| other == output);
        assert!(same.clone().count() == 3, "three requests share an input");
        assert!(same.clone().all(|(other, _)| other == input));
    }
    fleet.shut_down().await;
}

// Guards against an output that isn't the target's, as the length of its body is spoilt.
#[actix_rt::test]
async fn spoilt_heads_of_targets_give_no_other_output() {
    let call = Call {
        dispatch: "a/b/1".into(),
        stage: "b".into(),
        model: None,
        adapter: None,
        priority: 0,
        session: None,
        max_tokens: 0,
        from_token: 0,
        input: json!(null),
    };
    let sound = String::from_utf8(good_answer(&call.dispatch)).expect("text");
    let (before, after) = sound
        .split_once("content-length: ")
        .expect("it has a length");
    let (len, rest) = after.split_once("\r\n").expect("a line");
    let mut outputs = 0;
    for line in [
        format!("content-length: {len}"),
        format!("x: a\n\r\ncontent-length: {len}"),
        format!("\r\ncontent-length: {len}"),
        format!("content-length: {}", &len[..1]),
        format!("content-length: 1{len}"),
        format!("content-length: +{len}"),
        format!("content-length: {len}, {len}"),
        format!("content-length : {len}"),
        format!("content-length: {len}\r\ntransfer-encoding: chunked"),
        "transfer-encoding: chunked".into(),
        "transfer-encoding: gzip".into(),
        "xontent-length: 9".into(),
        "content-length: 0".into(),
    ] {
        let answer = format!("{before}{line}\r\n{rest}").into_bytes();
        let spoilt = RawTarget::start(Behaviour::AnswerAndClose(answer)).await;
        let time = Duration::from_secs(2);
        let got = target::call(&single_use_client(), spoilt.address, "org", &call, time).await;
        if let Ok((output, _)) = got {
            assert_eq!(output, json!({ "done": "raw" }), "{line:?}");
            outputs += 1;
        }
    }
    assert!(outputs > 0, "the sound answer is taken");
}
