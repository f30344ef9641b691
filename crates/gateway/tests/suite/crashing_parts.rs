//! Parts of prompts that crash the engines that answer on them.
//!
//! No two requests with such a part are equal, they come at all entries, and other requests share
//! their caller, their route and the other parts of their prompts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{chunk, event, last_chunk, results, stream_head};
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreMode, StoreStandin,
};
use serde_json::json;
use tokio::task::JoinHandle;

use crate::crashing::{Script, Targets};
use crate::fixture::{eventually, gateway, wait_for_entries, Answer, Call};

/// Time from the fifth crash until no more than [`MAX_LATER`] requests may reach engines, and until
/// other requests have to be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const SERVED_AFTER: Duration = Duration::from_secs(6);
const MAX_LATER: usize = 3;
/// Least share of other requests whose first try is served then.
const MIN_SERVED: f64 = 0.9;
const CRASHES: usize = 5;
/// Pause between the requests of a kind.
const PAUSE: Duration = Duration::from_millis(130);
/// Time until a crashed engine is replaced.
const RESTART: Duration = Duration::from_millis(600);

/// Parts that crash engines.
const BAD: &str = "bad1";
const WORSE: &str = "bad2";

fn deployment() -> DeploymentJson {
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service("encoders", 8, 20.0, 10.0)
        .route("/once/", "stream", "engines", json!({}))
        .route(
            "/staged/",
            "stream",
            "engines",
            json!({ "stages": [{ "service": "encoders", "after": [], "bytes": 1000 }] }),
        )
}

/// A request whose prompt has these shared parts, and one of its own.
fn request(number: usize, shared: &str) -> Call {
    Call::new("POST", "/once/x")
        .with("X-Request-Id", &format!("{number:016x}"))
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", &format!("{shared},{number:x}e:40"))
        .body(&format!("request {number}"))
}

fn has_part(request: &ReceivedRequest, id: &str) -> bool {
    let parts = request.header("x-prompt-prefix").split(',');
    let mut ids = parts.filter_map(|part| part.split(':').next());
    ids.any(|part| part == id)
}

fn is_bad(request: &ReceivedRequest) -> bool {
    has_part(request, BAD) || has_part(request, WORSE)
}

/// Crashes when it begins to answer a bad request; serves others within 200 ms.
fn fragile(request: &ReceivedRequest) -> Vec<Step> {
    let begins = vec![
        Step::Wait(Duration::from_millis(40)),
        Step::Write(stream_head(request)),
    ];
    let goes_on = match is_bad(request) {
        true => vec![Step::Wait(Duration::from_millis(40)), Step::Crash],
        false => vec![
            Step::Write(chunk(&event(1))),
            Step::Wait(Duration::from_millis(120)),
            Step::Write(chunk(&event(2))),
            Step::Write(last_chunk()),
        ],
    };
    begins.into_iter().chain(goes_on).collect()
}

/// A store, engines that are replaced after a crash, and entries that know each other.
struct Fleet {
    store: StoreStandin,
    engines: Rc<Targets>,
    gateways: RefCell<Vec<Rc<Running>>>,
    /// When the engines crashed, as far as seen.
    crashes: Rc<RefCell<Vec<Instant>>>,
    replacing: JoinHandle<()>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.replacing.abort();
    }
}

impl Fleet {
    async fn start(script: Script) -> Self {
        Self::start_with(script, 3, 6).await
    }

    async fn start_with(script: Script, entries: usize, engines: usize) -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment().bytes());
        let engines = Targets::start(&store, "engines", script, engines).await;
        let mut gateways = Vec::new();
        for number in 0..entries {
            let running = gateway(&store, &format!("host-{number}"), "hall-a").await;
            gateways.push(Rc::new(running));
        }
        wait_for_entries("all entries are registered", &store, entries).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        let crashes = Rc::new(RefCell::new(Vec::new()));
        let (seen, watched) = (crashes.clone(), engines.clone());
        let replacing = actix_rt::spawn(async move {
            loop {
                for _ in 0..RESTART.as_millis() / 20 {
                    let crashed = watched.crashed();
                    seen.borrow_mut().resize_with(crashed, Instant::now);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                watched.replace_crashed().await;
            }
        });
        Fleet {
            store,
            engines,
            gateways: RefCell::new(gateways),
            crashes,
            replacing,
        }
    }

    fn entry(&self, number: usize) -> Rc<Running> {
        let gateways = self.gateways.borrow();
        gateways[number % gateways.len()].clone()
    }

    /// Sends requests with these shared parts at regular times to one entry after the other; returns
    /// when each was sent, and its answer.
    async fn send(
        &self,
        first: usize,
        pause: Duration,
        time: Duration,
        shared: impl Fn(usize) -> String,
    ) -> Vec<(Instant, Answer)> {
        let call = |number| request(number, &shared(number));
        self.send_calls(first, pause, time, call).await
    }

    async fn send_calls(
        &self,
        first: usize,
        pause: Duration,
        time: Duration,
        call: impl Fn(usize) -> Call,
    ) -> Vec<(Instant, Answer)> {
        let until = Instant::now() + time;
        let mut sending = Vec::new();
        for number in first.. {
            let begun = Instant::now();
            if begun > until {
                break;
            }
            let (entry, call) = (self.entry(number), call(number));
            sending.push(actix_rt::spawn(async move {
                (begun, call.send(entry.addrs.callers).await)
            }));
            tokio::time::sleep(pause).await;
        }
        let mut answers = Vec::new();
        for answer in sending {
            answers.push(answer.await.expect("the task ends"));
        }
        answers
    }

    /// When the fifth engine crashed.
    fn fifth_crash(&self) -> Option<Instant> {
        self.crashes.borrow().get(CRASHES - 1).copied()
    }

    /// Number of requests with a part that reached engines later than the contact time after the
    /// fifth crash.
    fn later(&self, part: &str) -> usize {
        let Some(fifth) = self.fifth_crash() else {
            return 0;
        };
        let received = self.engines.received();
        let later = received.iter().filter(|request| {
            has_part(request, part) && request.received_at > fifth + CONTACT_TIME
        });
        later.count()
    }

    /// Share of the requests sent from a time after the fifth crash on that were served.
    fn served(&self, answers: &[(Instant, Answer)]) -> f64 {
        let from = self.fifth_crash().map(|fifth| fifth + SERVED_AFTER);
        served_share(answers, from)
    }
}

fn is_served(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_whole
}

/// Share of the requests sent from some time on that were served.
fn served_share(answers: &[(Instant, Answer)], from: Option<Instant>) -> f64 {
    let judged = answers
        .iter()
        .filter(|(sent, _)| from.is_none_or(|from| *sent > from));
    let judged: Vec<&Answer> = judged.map(|(_, answer)| answer).collect();
    assert!(judged.len() >= 20, "{} requests are judged", judged.len());
    let served = judged.iter().filter(|answer| is_served(answer));
    served.count() as f64 / judged.len() as f64
}

/// Sound prompts: the same first part for all, and one of three others.
fn sound(number: usize) -> String {
    format!("aa:60,c{}:30", number % 3)
}

/// Sends sound requests, and bad ones with these prompts, for a time. Checks that engines get few
/// bad ones once five have crashed, and that the sound ones are served.
async fn check_bad_part(prompt: impl Fn(usize) -> String) {
    let fleet = Fleet::start(fragile).await;
    let time = Duration::from_secs(14);
    let (bad, good) = futures_util::join!(
        fleet.send(0x1000, PAUSE, time, prompt),
        fleet.send(0x8000, PAUSE / 3, time, sound),
    );
    let later = fleet.later(BAD);
    assert!(
        later <= MAX_LATER,
        "{later} bad requests after {} crashes",
        fleet.engines.crashed()
    );
    let served = fleet.served(&good);
    assert!(served >= MIN_SERVED, "{served:.2} of sound requests served");
    let (_, last) = bad.last().expect("bad requests were sent");
    assert_eq!(last.status, 503, "{last:?}");
    assert!(last.body.starts_with("ends_targets"), "{last:?}");
}

/// Guards against counting crashes by whole requests only, which never add up for requests that
/// differ.
#[actix_rt::test]
async fn prompt_part_that_crashes_engines_is_quarantined() {
    check_bad_part(|number| format!("aa:60,{BAD}:20,c{}:30", number % 3)).await;
}

#[actix_rt::test]
async fn first_part_that_crashes_engines_is_quarantined() {
    check_bad_part(|number| format!("{BAD}:60,c{}:30", number % 3)).await;
}

/// Guards against counting crashes for combinations of parts.
#[actix_rt::test]
async fn bad_part_with_many_different_others_is_quarantined() {
    check_bad_part(|number| format!("aa:60,d{number:x}:20,{BAD}:20")).await;
}

#[actix_rt::test]
async fn two_bad_parts_are_quarantined() {
    let fleet = Fleet::start(fragile).await;
    let time = Duration::from_secs(14);
    let prompt = |number: usize| match number % 2 {
        0 => format!("aa:60,{BAD}:20,c0:30"),
        _ => format!("aa:60,{WORSE}:20,c1:30"),
    };
    let (_, good) = futures_util::join!(
        fleet.send(0x1000, PAUSE, time, prompt),
        fleet.send(0x8000, PAUSE / 3, time, sound),
    );
    // Each may have crashed five engines of its own.
    assert!(fleet.engines.crashed() <= 2 * (CRASHES + MAX_LATER));
    assert!(fleet.later(BAD) <= MAX_LATER && fleet.later(WORSE) <= MAX_LATER);
    let served = fleet.served(&good);
    assert!(served >= MIN_SERVED, "{served:.2} of sound requests served");
}

/// Guards against letting each burst crash as many engines as it has requests.
#[actix_rt::test]
async fn bursts_of_bad_requests_are_tried_one_by_one() {
    let fleet = Fleet::start(fragile).await;
    let time = Duration::from_secs(14);
    let bursts = async {
        // Some sound requests are served before.
        tokio::time::sleep(Duration::from_secs(1)).await;
        for burst in 0..3 {
            let calls = (0..6).map(|number| {
                let number = 0x1000 + burst * 16 + number;
                let (entry, call) = (
                    fleet.entry(number),
                    request(number, &format!("aa:60,{BAD}:20")),
                );
                async move { call.send(entry.addrs.callers).await }
            });
            join_all(calls).await;
            tokio::time::sleep(Duration::from_millis(3_500)).await;
        }
    };
    let ((), good) = futures_util::join!(bursts, fleet.send(0x8000, PAUSE / 3, time, sound));
    let (later, crashed) = (fleet.later(BAD), fleet.engines.crashed());
    assert!(later <= MAX_LATER, "{later} after {crashed} crashes");
    let served = fleet.served(&good);
    assert!(served >= MIN_SERVED, "{served:.2} of sound requests served");
}

/// Guards against running the stages of requests that are refused, and against missing crashes of
/// generations that have stages.
#[actix_rt::test]
async fn bad_part_of_a_pipeline_is_quarantined_before_its_stages() {
    let fleet = Fleet::start(fragile).await;
    let script: Script = |request| vec![Step::Write(results(request, "producer"))];
    let workers = Targets::start(&fleet.store, "encoders", script, 2).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let time = Duration::from_secs(12);
    let staged = |number: usize, shared: String| Call {
        path: "/staged/x".to_string(),
        ..request(number, &shared)
            .with("X-Pieces", "1")
            .with("X-Piece-Key", "the-key")
    };
    let bad = |number: usize| staged(number, format!("aa:60,{BAD}:20"));
    let good = |number: usize| staged(number, sound(number));
    let (answers, good) = futures_util::join!(
        fleet.send_calls(0x1000, PAUSE, time, bad),
        fleet.send_calls(0x8000, PAUSE / 3, time, good),
    );
    let later = fleet.later(BAD);
    assert!(later <= MAX_LATER, "{later} bad requests reached engines");
    let served = fleet.served(&good);
    assert!(served >= MIN_SERVED, "{served:.2} of sound requests served");
    let fifth = fleet.fifth_crash().unwrap_or_else(Instant::now);
    let late = answers
        .iter()
        .filter(|(sent, _)| *sent > fifth + CONTACT_TIME);
    let late: Vec<&str> = late.map(|(_, answer)| answer.body.as_str()).collect();
    assert!(
        late.iter().all(|body| body.starts_with("ends_targets")),
        "{late:?}"
    );
    let pieces = workers.received();
    let pieces = pieces
        .iter()
        .filter(|call| call.received_at > fifth + CONTACT_TIME);
    let pieces = pieces.flat_map(ReceivedRequest::pieces);
    let bad_pieces = pieces.filter(|piece| {
        let id = piece["id"].as_str().unwrap_or_default();
        usize::from_str_radix(id, 16).is_ok_and(|number| number < 0x8000)
    });
    assert!(bad_pieces.count() <= MAX_LATER);
}

/// Number of answers that say that a request crashes targets.
fn refused(answers: &[(Instant, Answer)]) -> usize {
    let refused = answers
        .iter()
        .filter(|(_, answer)| answer.body.starts_with("ends_targets"));
    refused.count()
}

/// Crashes at the 16th request that it gets, whatever that holds.
fn tired(request: &ReceivedRequest) -> Vec<Step> {
    match request.earlier_requests {
        16 => vec![
            Step::Write(stream_head(request)),
            Step::Wait(Duration::from_millis(40)),
            Step::Crash,
        ],
        _ => fragile(request),
    }
}

/// Guards against blaming the first part of all prompts for engines that end by themselves.
#[actix_rt::test]
async fn nothing_is_refused_for_engines_that_end_by_themselves() {
    let fleet = Fleet::start(tired).await;
    let good = fleet.send(0x8000, PAUSE / 3, Duration::from_secs(12), sound);
    let good = good.await;
    assert!(fleet.engines.crashed() > CRASHES, "engines end");
    assert_eq!(refused(&good), 0);
}

/// Crashes whatever the request holds.
fn broken(request: &ReceivedRequest) -> Vec<Step> {
    vec![
        Step::Write(stream_head(request)),
        Step::Wait(Duration::from_millis(40)),
        Step::Crash,
    ]
}

/// Guards against blaming prompts for a software version that answers nothing.
#[actix_rt::test]
async fn nothing_is_refused_for_engines_that_answer_nothing() {
    let fleet = Fleet::start(broken).await;
    let answers = fleet
        .send(0x8000, PAUSE / 3, Duration::from_secs(5), sound)
        .await;
    assert!(fleet.engines.crashed() > CRASHES, "engines end");
    assert_eq!(refused(&answers), 0);
    fleet.replacing.abort();
    for (id, _) in fleet.engines.ids() {
        fleet.store.delete(&format!("servers/{id}"));
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mended = Targets::start(&fleet.store, "engines", fragile, 6).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let answers = fleet
        .send(0x9000, PAUSE / 3, Duration::from_secs(2), sound)
        .await;
    let served = served_share(&answers, None);
    assert!(served >= MIN_SERVED, "{served:.2} served");
    assert!(!mended.received().is_empty());
}

/// Crashes under some bodies.
fn body_crashes(request: &ReceivedRequest) -> Vec<Step> {
    match request.body.starts_with(b"fatal") {
        true => broken(request),
        false => fragile(request),
    }
}

/// Guards against blaming parts of prompts for what is elsewhere in a request.
#[actix_rt::test]
async fn nothing_else_is_refused_for_bodies_that_crash_engines() {
    let fleet = Fleet::start(body_crashes).await;
    let time = Duration::from_secs(10);
    let fatal = |number: usize| request(number, &sound(number)).body(&format!("fatal {number}"));
    let (_, good) = futures_util::join!(
        fleet.send_calls(0x1000, 3 * PAUSE, time, fatal),
        fleet.send(0x8000, PAUSE / 3, time, sound),
    );
    assert!(fleet.engines.crashed() > CRASHES, "engines end");
    assert_eq!(refused(&good), 0);
}

/// Sends bad requests among sound ones until the part is refused.
async fn quarantine(fleet: &Fleet) {
    let time = Duration::from_secs(4);
    let (bad, _) = futures_util::join!(
        fleet.send(0x1000, PAUSE, time, |_| format!("aa:60,{BAD}:20")),
        fleet.send(0x8000, PAUSE / 3, time, sound),
    );
    let (_, last) = bad.last().expect("bad requests were sent");
    assert!(last.body.starts_with("ends_targets"), "{last:?}");
}

/// Guards against entries that send a bad part to engines because they started later.
#[actix_rt::test]
async fn later_entry_refuses_a_quarantined_part() {
    let fleet = Fleet::start(fragile).await;
    quarantine(&fleet).await;
    let crashed = fleet.engines.crashed();
    let late = gateway(&fleet.store, "host-late", "hall-a").await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    let got = request(0x2000, &format!("{BAD}:20,c9:4"))
        .send(late.addrs.callers)
        .await;
    assert!(got.body.starts_with("ends_targets"), "{got:?}");
    let good = request(0x2001, &sound(0)).send(late.addrs.callers).await;
    assert!(is_served(&good), "{good:?}");
    assert_eq!(fleet.engines.crashed(), crashed);
}

/// Guards against losing the count with the entry that gathers the evidence, and without the store.
#[actix_rt::test]
async fn bad_part_is_quarantined_while_entries_stop_and_the_store_is_silent() {
    let fleet = Fleet::start_with(fragile, 4, 6).await;
    let time = Duration::from_secs(12);
    let disturbing = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.store.set_mode(StoreMode::Silent);
        for _ in 0..2 {
            tokio::time::sleep(Duration::from_millis(400)).await;
            let stopping = fleet.gateways.borrow_mut().remove(0);
            // Requests that it serves hold it, too.
            actix_rt::spawn(async move {
                let mut stopping = stopping;
                let running = loop {
                    match Rc::try_unwrap(stopping) {
                        Ok(running) => break running,
                        Err(held) => stopping = held,
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                };
                running.stop().await;
            });
        }
    };
    let (bad, good, ()) = futures_util::join!(
        fleet.send(0x1000, PAUSE, time, |_| format!("aa:60,{BAD}:20")),
        fleet.send(0x8000, PAUSE / 3, time, sound),
        disturbing,
    );
    let later = fleet.later(BAD);
    assert!(later <= MAX_LATER, "{later} bad requests reached engines");
    let served = fleet.served(&good);
    assert!(served >= MIN_SERVED, "{served:.2} of sound requests served");
    let (_, last) = bad.last().expect("bad requests were sent");
    assert!(last.body.starts_with("ends_targets"), "{last:?}");
}

/// Guards against operators who can't lift a quarantine, and against more than one trial after it.
#[actix_rt::test]
async fn lifted_part_is_tried_by_one_request() {
    let fleet = Fleet::start(fragile).await;
    quarantine(&fleet).await;
    let crashed = fleet.engines.crashed();
    eventually("the refusal is stored", || {
        !fleet.store.keys("hollowsail/refused/").is_empty()
    })
    .await;
    for key in fleet.store.keys("hollowsail/refused/") {
        fleet.store.delete(&key);
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    let calls = (0..9).map(|number| {
        let entry = fleet.entry(number);
        let call = request(0x2000 + number, &format!("aa:60,{BAD}:20"));
        async move { call.send(entry.addrs.callers).await }
    });
    join_all(calls).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(fleet.engines.crashed(), crashed + 1);
}
