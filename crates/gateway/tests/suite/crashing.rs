//! Requests that end the targets that run them.
//!
//! What users saw: one engine after the other stopped answering, some seventeen within
//! fifteen seconds, and with each the streams that it had just then broke off, three times
//! a day. Order of events: a caller sends a request whose content makes an engine end
//! with its first token; its stream breaks; the caller sends the same again under a new
//! id, to whichever entry; that one places it on the next engine. Cause: an entry takes
//! the broken stream for a failure of the engine, and nothing counts what ended under a
//! request, here or at the other entries. Evidence: with each broken stream of one content
//! the engine refused connections at once, under ids that no two attempts share, and
//! `attempts=1` says that no entry sent it twice.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{
    answer, chunk, event, last_chunk, results, stream_head,
};
use hollowsail_platform_standins::{DeploymentJson, Seen, Step, StoreStandin, TargetStandin};
use serde_json::json;
use tokio::io::AsyncReadExt;

use crate::fixture::{eventually, gateway, until_entries, Answer, Call};

/// Engines that may end under one request: fewer tell too little.
const MOST_ENDED: usize = 3;
/// Times that the caller sends its request.
const SENDS: usize = 9;

fn deployment() -> DeploymentJson {
    let stages = json!([{ "service": "encoders", "after": [], "bytes": 1000 }]);
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 8, 20.0, 10.0)
        .route("/once/", "stream", "engines", json!({}))
        .route("/staged/", "stream", "engines", json!({ "stages": stages }))
        .service("plain")
        .route("/safe/", "safe", "plain", json!({ "max_attempts": 6 }))
}

/// A request with an id of its own.
fn request(number: usize, body: &str) -> Call {
    Call::new("POST", "/once/x")
        .with("X-Request-Id", &format!("{number:016x}"))
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .body(body)
}

/// Ends with the first token of a fatal request; serves a long one slowly, so that it
/// runs beside others.
fn fragile(seen: &Seen) -> Vec<Step> {
    let body = String::from_utf8_lossy(&seen.body);
    if body.starts_with("fatal") {
        return vec![
            Step::Write(stream_head(seen)),
            Step::Wait(Duration::from_millis(50)),
            Step::End,
        ];
    }
    let mut steps = vec![
        Step::Write(stream_head(seen)),
        Step::Write(chunk(&event(1))),
    ];
    if body.starts_with("long") {
        steps.push(Step::Wait(Duration::from_millis(250)));
    }
    steps.push(Step::Write(chunk(&event(2))));
    steps.push(Step::Write(last_chunk()));
    steps
}

/// What a target does with each request.
type Script = fn(&Seen) -> Vec<Step>;

/// Targets of a service each of which starts again under a new id after it ended.
struct Targets {
    store: StoreStandin,
    service: &'static str,
    script: Script,
    started: RefCell<Vec<(String, TargetStandin)>>,
}

impl Targets {
    async fn start(
        store: &StoreStandin,
        service: &'static str,
        script: Script,
        count: usize,
    ) -> Rc<Self> {
        let targets = Rc::new(Targets {
            store: store.clone(),
            service,
            script,
            started: RefCell::default(),
        });
        for _ in 0..count {
            targets.start_one().await;
        }
        targets
    }

    async fn start_one(&self) {
        let target = TargetStandin::start(self.script).await;
        let id = format!("i-{}-{}", self.service, self.started.borrow().len());
        self.store
            .put_target(&id, self.service, target.addr, "hall-a", "ready");
        self.started.borrow_mut().push((id, target));
    }

    /// Starts another one for each that ended, whose record goes.
    async fn replace_ended(&self) {
        let ended: Vec<String> = {
            let started = self.started.borrow();
            let ended = started.iter().filter(|(_, target)| target.has_ended());
            let ended = ended.map(|(id, _)| format!("servers/{id}"));
            let recorded = self.store.keys("servers/");
            ended.filter(|key| recorded.contains(key)).collect()
        };
        for key in ended {
            self.store.delete(&key);
            self.start_one().await;
        }
    }

    fn ended(&self) -> usize {
        let started = self.started.borrow();
        started
            .iter()
            .filter(|(_, target)| target.has_ended())
            .count()
    }
}

/// A store, engines, and so many entries that know each other.
async fn fleet(entries: usize, engines: usize) -> (StoreStandin, Rc<Targets>, Vec<Running>) {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let engines = Targets::start(&store, "engines", fragile, engines).await;
    let mut gateways = Vec::new();
    for number in 0..entries {
        gateways.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
    }
    until_entries("all are recorded", &store, entries).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    (store, engines, gateways)
}

/// Sends the same fatal request again and again, to one entry after the other.
async fn send_fatal(engines: &Targets, gateways: &[Running]) -> Vec<Answer> {
    let mut answers = Vec::new();
    for number in 0..SENDS {
        let at = gateways[number % gateways.len()].at.callers;
        answers.push(request(number, "fatal").send(at).await);
        tokio::time::sleep(Duration::from_millis(150)).await;
        engines.replace_ended().await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    answers
}

#[actix_rt::test]
async fn a_request_under_which_three_targets_ended_is_refused_at_every_entry() {
    let (_store, engines, gateways) = fleet(3, 4).await;
    let answers = send_fatal(&engines, &gateways).await;
    assert_eq!(engines.ended(), MOST_ENDED, "of {SENDS} sends: {answers:?}");
    for refused in &answers[MOST_ENDED..] {
        assert_eq!(refused.status, 503, "{refused:?}");
        assert!(refused.header("retry-after").is_some(), "when to come back");
    }
    let good = request(100, "short").send(gateways[0].at.callers).await;
    assert!(good.is_whole, "others are served: {good:?}");
}

#[actix_rt::test]
async fn good_requests_that_ran_beside_a_fatal_one_are_served_when_they_come_again() {
    let (_store, engines, gateways) = fleet(2, 1).await;
    let broken = |number: usize| {
        let at = gateways[number % 2].at.callers;
        async move {
            let mut good = request(100 + number, "long").begin(at).await;
            let mut buf = [0; 64];
            good.read_exact(&mut buf).await.expect("it begins");
            request(number, "fatal").send(at).await
        }
    };
    // One engine: whatever runs is beside the fatal request.
    for number in 0..2 {
        broken(number).await;
        eventually("the engine ended", || engines.ended() == number + 1).await;
        engines.replace_ended().await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let again = request(200, "long").send(gateways[0].at.callers).await;
    assert!(again.is_whole, "served between two crashes: {again:?}");
    broken(2).await;
    eventually("the third ended", || engines.ended() == 3).await;
    engines.replace_ended().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let again = request(201, "long").send(gateways[1].at.callers).await;
    assert!(again.is_whole, "it isn't to blame: {again:?}");
}

#[actix_rt::test]
async fn an_entry_that_starts_later_refuses_what_ended_targets_before() {
    let (store, engines, gateways) = fleet(2, 4).await;
    send_fatal(&engines, &gateways).await;
    let ended = engines.ended();
    let late = gateway(&store, "host-late", "hall-a").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let got = request(300, "fatal").send(late.at.callers).await;
    assert_eq!((got.status, engines.ended()), (503, ended), "{got:?}");
}

/// A piece of a request whose id begins so ends its worker.
const FATAL_ID: &str = "fa7a1";

fn fragile_worker(seen: &Seen) -> Vec<Step> {
    let is_fatal = |piece: &serde_json::Value| {
        let id = piece["id"].as_str().unwrap_or_default();
        id.starts_with(FATAL_ID)
    };
    let work = Step::Wait(Duration::from_millis(20));
    match seen.pieces().iter().any(is_fatal) {
        true => vec![work, Step::End],
        false => vec![work, Step::Write(results(seen, "maker"))],
    }
}

/// A request with two pieces before it.
fn staged(id: &str, body: &str) -> Call {
    Call::new("POST", "/staged/x")
        .with("X-Request-Id", id)
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .with("X-Pieces", "2")
        .with("X-Piece-Key", "the-key")
        .with("X-Deadline-Ms", "8000")
        .body(body)
}

/// The same fault one stage earlier: a piece that ends its worker was made again four
/// times for each send of its request, and others in its calls went down with it.
#[actix_rt::test]
async fn pieces_that_end_their_workers_are_made_alone_and_then_refused() {
    let (store, _engines, gateways) = fleet(2, 2).await;
    let workers = Targets::start(&store, "encoders", fragile_worker, 3).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut last = None;
    for send in 0..4 {
        let at = |number: usize| gateways[number % 2].at.callers;
        let fatal = staged(&format!("{FATAL_ID}{send:011x}"), "fatal");
        let good = (0..6).map(|number| {
            let id = format!("{send:08x}{number:08x}");
            async move { staged(&id, &format!("good {id}")).send(at(number)).await }
        });
        let replacing = async {
            for _ in 0..12 {
                tokio::time::sleep(Duration::from_millis(50)).await;
                workers.replace_ended().await;
            }
        };
        let (got, served, ()) =
            futures_util::future::join3(fatal.send(at(send)), join_all(good), replacing).await;
        for answer in served {
            assert!(answer.is_whole, "send {send}: {answer:?}");
        }
        last = Some(got);
    }
    let last = last.expect("it was sent");
    assert_eq!(last.status, 503, "{last:?}");
    assert!(last.body.starts_with("ends_targets"), "{last:?}");
    // 16 without. Two calls may hold pieces of it when the first worker ends.
    assert!(workers.ended() <= 4, "{} workers ended", workers.ended());
}

fn fragile_plain(seen: &Seen) -> Vec<Step> {
    match seen.body.starts_with(b"fatal") {
        true => vec![Step::Wait(Duration::from_millis(10)), Step::End],
        false => vec![Step::Write(answer(seen, 200, "good"))],
    }
}

/// A request that may run again is sent to another target when one breaks off, at most
/// six by its route here; without a look at why it broke, all of them ended at once.
#[actix_rt::test]
async fn a_repeatable_request_ends_two_targets_at_most_before_its_caller_hears() {
    let (store, _engines, gateways) = fleet(2, 1).await;
    let targets = Targets::start(&store, "plain", fragile_plain, 8).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let send = |number: usize, body: &'static str| {
        let id = format!("{number:016x}");
        let call = Call::new("POST", "/safe/x")
            .with("X-Request-Id", &id)
            .body(body);
        let at = gateways[number % 2].at.callers;
        async move { call.send(at).await }
    };
    let first = send(0, "fatal").await;
    assert_eq!((first.status, targets.ended()), (502, 2), "{first:?}");
    for number in 1..4 {
        // Word of what ended reaches the other entry.
        tokio::time::sleep(Duration::from_millis(50)).await;
        send(number, "fatal").await;
    }
    assert_eq!(targets.ended(), MOST_ENDED);
    assert_eq!(send(5, "fatal").await.status, 503);
    assert!(send(6, "good").await.is_whole);
}
