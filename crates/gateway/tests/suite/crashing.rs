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

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{chunk, event, last_chunk, stream_head};
use hollowsail_platform_standins::{DeploymentJson, Seen, Step, StoreStandin, TargetStandin};
use serde_json::json;
use tokio::io::AsyncReadExt;

use crate::fixture::{eventually, gateway, until_entries, Answer, Call};

/// Engines that may end under one request: fewer tell too little.
const MOST_ENDED: usize = 3;
/// Times that the caller sends its request.
const SENDS: usize = 9;

fn deployment() -> DeploymentJson {
    DeploymentJson::new(1)
        .engines("engines")
        .route("/once/", "stream", "engines", json!({}))
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

/// A fleet of engines each of which starts again under a new id after it ended.
struct Engines {
    store: StoreStandin,
    started: RefCell<Vec<(String, TargetStandin)>>,
}

impl Engines {
    async fn start(store: &StoreStandin, count: usize) -> Rc<Self> {
        let engines = Rc::new(Engines {
            store: store.clone(),
            started: RefCell::default(),
        });
        for _ in 0..count {
            engines.start_one().await;
        }
        engines
    }

    async fn start_one(&self) {
        let target = TargetStandin::start(fragile).await;
        let id = format!("i-{}", self.started.borrow().len());
        self.store
            .put_target(&id, "engines", target.addr, "hall-a", "ready");
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
async fn fleet(entries: usize, engines: usize) -> (StoreStandin, Rc<Engines>, Vec<Running>) {
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment().bytes());
    let engines = Engines::start(&store, engines).await;
    let mut gateways = Vec::new();
    for number in 0..entries {
        gateways.push(gateway(&store, &format!("host-{number}"), "hall-a").await);
    }
    until_entries("all are recorded", &store, entries).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    (store, engines, gateways)
}

/// Sends the same fatal request again and again, to one entry after the other.
async fn send_fatal(engines: &Engines, gateways: &[Running]) -> Vec<Answer> {
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
