//! Targets that close their connection after each single byte of an answer: what callers get must
//! not look whole.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{
    answer, chunk, event, last_chunk, results, stream_head, unframed,
};
use hollowsail_platform_standins::{
    DeploymentJson, LinkMode, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde_json::json;

use crate::fixture::{gateways_behind_links, single_event_stream, stage_runs};
use crate::fixture::{Answer, Call, Fixture};

const BODY: &str = "the whole body";

fn deployment() -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    let resumable = json!({ "stream_resume": true });
    DeploymentJson::new(1)
        .service("plain")
        .route("/safe/", "safe", "plain", json!({}))
        .route("/once/", "unsafe", "plain", json!({}))
        .engines("engines")
        .route("/stream/", "stream", "engines", json!({}))
        .route("/resumable/", "stream", "engines", resumable)
        .stage_service("encoders", 4, 20.0, 10.0)
        .route("/staged/", "stream", "engines", json!({ "stages": stages }))
}

/// An answer, and how many of its bytes at its end may be missing of one that is whole.
struct Kind {
    path: &'static str,
    write: fn(&ReceivedRequest) -> Vec<u8>,
    /// The answer ends with its connection, so that only a cut of its head shows.
    is_unframed: bool,
}

fn chunked(request: &ReceivedRequest) -> Vec<u8> {
    let head = String::from_utf8(stream_head(request)).expect("text");
    let head = head.replace("text/event-stream", "text/plain");
    [head.into_bytes(), chunk(BODY), last_chunk()].concat()
}

fn stream(request: &ReceivedRequest) -> Vec<u8> {
    let events = [event(1), event(2)].map(|event| chunk(&event)).concat();
    [stream_head(request), events, last_chunk()].concat()
}

fn after_interim(request: &ReceivedRequest) -> Vec<u8> {
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n".to_vec();
    [interim, answer(request, 200, BODY)].concat()
}

fn of_http_1_0(request: &ReceivedRequest) -> Vec<u8> {
    let text = String::from_utf8(answer(request, 200, BODY)).expect("text");
    text.replacen("HTTP/1.1", "HTTP/1.0", 1).into_bytes()
}

const KINDS: [Kind; 8] = [
    Kind {
        path: "/safe/x",
        write: |request| answer(request, 200, BODY),
        is_unframed: false,
    },
    Kind {
        path: "/once/x",
        write: |request| answer(request, 200, BODY),
        is_unframed: false,
    },
    Kind {
        path: "/once/x",
        write: chunked,
        is_unframed: false,
    },
    Kind {
        path: "/once/x",
        write: after_interim,
        is_unframed: false,
    },
    Kind {
        path: "/once/x",
        write: of_http_1_0,
        is_unframed: false,
    },
    Kind {
        path: "/once/x",
        write: |request| unframed(answer(request, 200, BODY)),
        is_unframed: true,
    },
    Kind {
        path: "/stream/x",
        write: stream,
        is_unframed: false,
    },
    Kind {
        path: "/resumable/x",
        write: stream,
        is_unframed: false,
    },
];

/// Cuts all answers of a target after this many bytes; `usize::MAX` leaves them whole.
type CutAfter = Rc<Cell<usize>>;

fn cut_script(
    write: fn(&ReceivedRequest) -> Vec<u8>,
    cut: CutAfter,
    is_reset: bool,
) -> impl Fn(&ReceivedRequest) -> Vec<Step> {
    move |request| {
        let whole = write(request);
        if cut.get() >= whole.len() {
            return vec![Step::Write(whole), Step::Close];
        }
        let part = whole[..cut.get()].to_vec();
        let end = match is_reset {
            true => Step::Reset,
            false => Step::Close,
        };
        vec![Step::Write(part), Step::Wait(Duration::from_millis(2)), end]
    }
}

fn call(path: &str, number: usize) -> Call {
    let call = match path.starts_with("/safe") {
        true => Call::new("GET", path),
        false => Call::new("POST", path).body("prompt"),
    };
    let call = call.with("X-Request-Id", &format!("{number:016x}"));
    match path {
        "/stream/x" | "/resumable/x" => call
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "aa:60,bb:40"),
        _ => call,
    }
}

fn looks_whole(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_whole
}

/// Lengths of the head and of the whole of an answer.
fn lengths(kind: &Kind) -> (usize, usize) {
    let request = ReceivedRequest {
        method: "GET".into(),
        path: kind.path.into(),
        headers: [("x-request-id".to_string(), "0".repeat(16))].into(),
        body: Vec::new(),
        earlier_requests: 0,
        received_at: std::time::Instant::now(),
    };
    let whole = (kind.write)(&request);
    let heads = whole.windows(4).enumerate();
    let head = heads.filter(|(_, window)| window == b"\r\n\r\n");
    let head = head.map(|(at, _)| at + 4);
    // The last head of an interim and a final one.
    let head = head.take_while(|end| *end < whole.len() - 6).last();
    (head.unwrap_or(whole.len()), whole.len())
}

/// Answers that look whole although their target closed the connection early.
async fn falsely_whole(at: &Running, kind: &Kind, cut: &CutAfter) -> Vec<(usize, Answer)> {
    let (head, whole) = lengths(kind);
    let cuts = match kind.is_unframed {
        true => 0..head,
        // The rest of the last chunk's line says nothing more.
        false => 0..whole - 1,
    };
    let mut wrong = Vec::new();
    for after in cuts {
        cut.set(after);
        let got = call(kind.path, after).send(at.addrs.callers).await;
        if looks_whole(&got) {
            wrong.push((after, got));
        }
    }
    cut.set(usize::MAX);
    wrong
}

async fn is_served_whole(at: &Running, kind: &Kind) -> bool {
    for number in 0..200 {
        let got = call(kind.path, 0x1000 + number)
            .send(at.addrs.callers)
            .await;
        if looks_whole(&got) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

// Guards against answers that end early and are framed as whole.
#[actix_rt::test]
async fn answers_that_targets_cut_after_any_byte_do_not_look_whole() {
    for is_reset in [false, true] {
        for kind in &KINDS {
            let cut = CutAfter::default();
            cut.set(usize::MAX);
            let fixture = Fixture::start(&deployment()).await;
            let script = cut_script(kind.write, cut.clone(), is_reset);
            let target = TargetStandin::start(script).await;
            let service = match kind.path {
                "/stream/x" | "/resumable/x" => "engines",
                _ => "plain",
            };
            fixture.add("i-1", service, &target);
            assert!(
                is_served_whole(&fixture.gateway, kind).await,
                "{}",
                kind.path
            );
            let wrong = falsely_whole(&fixture.gateway, kind, &cut).await;
            assert!(wrong.is_empty(), "{} {wrong:?}", kind.path);
        }
    }
}

// Guards against the same through a peer that relays connections.
#[actix_rt::test]
async fn relayed_answers_that_targets_cut_after_any_byte_do_not_look_whole() {
    for kind in [&KINDS[1], &KINDS[2], &KINDS[6]] {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment().bytes());
        let cut = CutAfter::default();
        cut.set(usize::MAX);
        let target = TargetStandin::start(cut_script(kind.write, cut.clone(), false)).await;
        for service in ["plain", "engines"] {
            store.put_target(service, service, target.addr, "hall-a", "ready");
        }
        let hosts = gateways_behind_links(&store, 2).await;
        let (cut_off, links) = &hosts[0];
        assert!(is_served_whole(cut_off, kind).await, "{}", kind.path);
        links.set_mode(LinkMode::Refusing);
        assert!(is_served_whole(cut_off, kind).await, "{}", kind.path);
        let wrong = falsely_whole(cut_off, kind, &cut).await;
        assert!(wrong.is_empty(), "{} {wrong:?}", kind.path);
    }
}

// Guards against requests that run with results of a worker's answer that ended early.
#[actix_rt::test]
async fn results_that_workers_cut_after_any_byte_are_not_used() {
    let fixture = Fixture::start(&deployment()).await;
    let cut = CutAfter::default();
    let worker = TargetStandin::start(cut_script(
        |request| results(request, "producer"),
        cut.clone(),
        false,
    ))
    .await;
    let engine = TargetStandin::start(single_event_stream).await;
    fixture.add("i-worker", "encoders", &worker);
    fixture.add("i-engine", "engines", &engine);
    cut.set(usize::MAX);
    let staged = |number: usize| {
        Call::new("POST", "/staged/x")
            .with("X-Request-Id", &format!("{number:016x}"))
            .with("X-Token-Counts", "100,10")
            .with("X-Prompt-Prefix", "aa:60,bb:40")
            .with("X-Deadline-Ms", "150")
            .with("X-Pieces", "2")
            .with("X-Piece-Key", "the-key")
            .body("prompt")
    };
    let callers = fixture.gateway.addrs.callers;
    for number in 0..200 {
        if staged(0x1000 + number).send(callers).await.status == 200 {
            break;
        }
    }
    let (before, calls) = (engine.received().len(), stage_runs(&worker).len());
    assert_eq!((before, calls > 0), (1, true));
    let whole = results(&stage_runs(&worker)[0], "producer").len();
    for after in (0..whole).step_by(3) {
        cut.set(after);
        staged(after).send(callers).await;
    }
    assert_eq!(engine.received().len(), before, "requests with results");
}
