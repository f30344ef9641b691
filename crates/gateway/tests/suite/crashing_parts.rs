//! Parts of prompts that crash the engines that answer on them.
//!
//! No two requests with such a part are equal, they come at all entries, and other requests share
//! their caller, their route and the other parts of their prompts.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hollowsail_gateway::Running;
use hollowsail_platform_standins::target::{chunk, event, last_chunk, stream_head};
use hollowsail_platform_standins::{DeploymentJson, ReceivedRequest, Step, StoreStandin};
use serde_json::json;
use tokio::task::JoinHandle;

use crate::crashing::{Script, Targets};
use crate::fixture::{gateway, wait_for_entries, Answer, Call};

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

/// A part that crashes engines.
const BAD: &str = "bad1";

fn deployment() -> DeploymentJson {
    DeploymentJson::new(1)
        .engines("engines")
        .route("/once/", "stream", "engines", json!({}))
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
    has_part(request, BAD)
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

    /// Sends requests at regular times to one entry after the other; returns when each was sent, and
    /// its answer.
    async fn send(
        &self,
        first: usize,
        pause: Duration,
        time: Duration,
        shared: impl Fn(usize) -> String,
    ) -> Vec<(Instant, Answer)> {
        let until = Instant::now() + time;
        let mut sending = Vec::new();
        for number in first.. {
            let begun = Instant::now();
            if begun > until {
                break;
            }
            let (entry, call) = (self.entry(number), request(number, &shared(number)));
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

/// Share of the requests sent from some time on that were served.
fn served_share(answers: &[(Instant, Answer)], from: Option<Instant>) -> f64 {
    let judged = answers
        .iter()
        .filter(|(sent, _)| from.is_none_or(|from| *sent > from));
    let judged: Vec<&Answer> = judged.map(|(_, answer)| answer).collect();
    assert!(judged.len() >= 20, "{} requests are judged", judged.len());
    let served = judged.iter().filter(|answer| answer.is_whole);
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
