//! Reservations of capacity in stage services that routes of different priority share.
//!
//! The scripted owner is a stand-in with the record of a large host, so that it owns every
//! queue until a gateway suspects it.

use std::cell::Cell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Mutex, Once};
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_gateway::{contended_services, Mechanisms, Running};
use hollowsail_platform::deployment::Deployment;
use hollowsail_platform_standins::target::{answer, results};
use hollowsail_platform_standins::{
    DeploymentJson, ReceivedRequest, Step, StoreStandin, TargetStandin,
};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::fixture::{
    eventually, gateway, gateway_with, peer_answer, post, put_entry_record, scrape, settings,
    single_event_stream, stage_runs, wait_for_entries, Call,
};

const RESERVATIONS_PATH: &str = "/hollowsail/reservations";
/// Far above the capacity of the gateways, which own nothing beside it.
const LARGE_CAPACITY: u32 = 10_000_000;
const RUN_OF_SCRIPTED_OWNER: u64 = 77;
/// Urgency of the route "later": the priorities of the route and of its caller.
const LATER: u8 = 51;

/// The messages as they are encoded.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ReservationCall(u64, Vec<Message>);

#[derive(Debug, Clone, Serialize, Deserialize)]
enum Message {
    Reserve(Reserve),
    Cancel(String, String),
}

/// Queue, request id, digest, urgency, organisation, weight, longest Retry-After, stages.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Reserve(String, String, [u8; 16], u8, u64, f64, u64, Vec<Stage>);

/// Stage, pieces, bytes of a result, and times until it is ready and due.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Stage(u16, u32, u64, u64, u64);

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
enum Reply {
    Reserved,
    Refused(u64, &'static str),
    NotOwner,
}

/// A deployment whose two routes share stage services named after the test, as metrics are
/// shared between tests.
fn deployment(name: &str) -> DeploymentJson {
    let stages = json!([
        { "service": format!("{name}-first"), "after": [], "bytes": 1000 },
        { "service": format!("{name}-second"), "after": [0], "bytes": 500 },
    ]);
    let route = |priority: u8| {
        json!({ "stages": stages, "priority": priority, "target_latency_ms": 2000,
            "timeout_ms": 6000 })
    };
    let mut resumable = route(0);
    resumable["stream_resume"] = json!(true);
    DeploymentJson::new(1)
        .engines("engines")
        .stage_service(&format!("{name}-first"), 2, 300.0, 10.0)
        .stage_service(&format!("{name}-second"), 2, 20.0, 10.0)
        .organisation("acme", &["acme-key"])
        .route("/urgent/", "stream", "engines", route(0))
        .route("/later/", "stream", "engines", route(3))
        .route("/resumable/", "stream", "engines", resumable)
}

fn request(path: &str, number: usize) -> Call {
    Call::new("POST", path)
        .with("X-Request-Id", &format!("{number:016x}"))
        .with("X-Deadline-Ms", "6000")
        .with("Authorization", "Bearer acme-key")
        .with("X-Token-Counts", "100,10")
        .with("X-Prompt-Prefix", "aa:60,bb:40")
        .with("X-Pieces", "1,1")
        .with("X-Piece-Key", "the-key")
        .body(&format!("prompt {number}"))
}

/// A store with a deployment, one worker for each stage service, and an engine.
struct Platform {
    name: &'static str,
    store: StoreStandin,
    first: TargetStandin,
    _second: TargetStandin,
    _engine: TargetStandin,
}

impl Platform {
    async fn start(name: &'static str, first_takes: Duration) -> Self {
        let store = StoreStandin::start().await;
        store.put("op/config", &deployment(name).bytes());
        let worker = |takes: Duration| {
            move |request: &ReceivedRequest| {
                let takes = match request.path.as_str() {
                    "/-/stage-run" => takes,
                    _ => Duration::ZERO,
                };
                vec![Step::Wait(takes), Step::Write(results(request, "worker"))]
            }
        };
        let first = TargetStandin::start(worker(first_takes)).await;
        let second = TargetStandin::start(worker(Duration::from_millis(20))).await;
        let engine = TargetStandin::start(single_event_stream).await;
        let targets = [
            ("i-first", format!("{name}-first"), &first),
            ("i-second", format!("{name}-second"), &second),
            ("i-engine", "engines".to_string(), &engine),
        ];
        for (id, service, target) in targets {
            store.put_target(id, &service, target.addr, "hall-a", "ready");
        }
        Platform {
            name,
            store,
            first,
            _second: second,
            _engine: engine,
        }
    }

    /// Has an owner that gives `reply` to reservations and accepts no messages.
    async fn with_owner(
        &self,
        reply: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
    ) -> TargetStandin {
        self.with_owner_of(move |request| match request.path.as_str() {
            RESERVATIONS_PATH => reply(request),
            _ => vec![Step::Close],
        })
        .await
    }

    /// Has an owner with a script for all that it receives.
    async fn with_owner_of(
        &self,
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
    ) -> TargetStandin {
        let owner = TargetStandin::start(script).await;
        let record = (
            RUN_OF_SCRIPTED_OWNER,
            "owner".to_string(),
            owner.addr,
            "hall-a".to_string(),
            LARGE_CAPACITY,
        );
        put_entry_record(&self.store, &record);
        owner
    }

    /// Starts a gateway and waits until it uses owners and targets.
    async fn gateway(&self, mechanisms: Mechanisms) -> Running {
        let settings = settings("host-1", "hall-a", self.store.addr);
        let gateway = gateway_with(settings, mechanisms).await;
        tokio::time::sleep(Duration::from_millis(400)).await;
        gateway
    }
}

/// A reply to each Reserve of a call.
fn replies(replies: &[Reply]) -> Vec<Step> {
    let body = rmp_serde::to_vec(replies).expect("replies always encode");
    vec![Step::Write(peer_answer(&body))]
}

/// The same reply to each Reserve of a call.
fn reply_to_all(request: &ReceivedRequest, reply: Reply) -> Vec<Step> {
    let is_reserve = |message: &&Message| matches!(message, Message::Reserve(_));
    let reserves = messages_in(request).iter().filter(is_reserve).count();
    replies(&vec![reply; reserves])
}

fn messages_in(request: &ReceivedRequest) -> Vec<Message> {
    let call: ReservationCall = rmp_serde::from_slice(&request.body).expect("a call");
    call.1
}

/// Messages that the scripted owner received on reservations.
fn messages(owner: &TargetStandin) -> Vec<Message> {
    let calls = owner.received().into_iter();
    let calls = calls.filter(|request| request.path == RESERVATIONS_PATH);
    calls.flat_map(|request| messages_in(&request)).collect()
}

/// Number of times that the scripted owner was asked for capacity in a queue.
fn times_asked(owner: &TargetStandin, queue: &str) -> usize {
    let messages = messages(owner);
    let asks = messages
        .iter()
        .filter(|message| matches!(message, Message::Reserve(reserve) if reserve.0 == queue));
    asks.count()
}

/// Waits until the owners of a queue have decided on this many requests of the route "later",
/// all of them admitted.
async fn wait_for_admissions(gateway: &Running, queue: &str, admissions: usize) {
    let counter = "hollowsail_room_requests_total";
    let labels = format!("{{queue=\"{queue}\",result=\"reserved\",urgency=\"{LATER}\"}}");
    wait_for_metric(gateway, &format!("{counter}{labels} {admissions}")).await;
}

async fn post_call(addr: SocketAddr, body: &[u8]) -> String {
    let answer = post(addr, RESERVATIONS_PATH, body).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Waits until a metric has a value.
async fn wait_for_metric(gateway: &Running, line: &str) {
    let until = Instant::now() + Duration::from_secs(5);
    while !scrape(gateway).await.lines().any(|known| known == line) {
        assert!(Instant::now() < until, "timed out: {line}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Log lines of the test process, from the first call on.
fn logged() -> &'static Mutex<Vec<String>> {
    struct Capture;
    impl log::Log for Capture {
        fn enabled(&self, _: &log::Metadata<'_>) -> bool {
            true
        }
        fn log(&self, record: &log::Record<'_>) {
            let line = record.args().to_string();
            LINES.lock().expect("no test panics here").push(line);
        }
        fn flush(&self) {}
    }
    static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_logger(&Capture).expect("no other logger is installed");
        log::set_max_level(log::LevelFilter::Info);
    });
    &LINES
}

/// Guards against reservations for services without competition, and against missing one.
#[test]
fn services_with_different_priorities_are_contended() {
    let contended = |deployment: DeploymentJson| {
        let deployment = Deployment::decode(&deployment.bytes()).expect("it is valid");
        let services = contended_services(&deployment);
        let names = services
            .iter()
            .map(|key| deployment.service(*key).name.clone());
        names.collect::<HashSet<String>>()
    };
    let uses = |service: &str, priority: u8, public: bool| {
        let stages = json!([{ "service": service, "after": [], "bytes": 1000 }]);
        json!({ "stages": stages, "priority": priority, "public": public })
    };
    let services = || {
        DeploymentJson::new(1)
            .engines("engines")
            .stage_service("a", 2, 20.0, 10.0)
            .stage_service("b", 2, 20.0, 10.0)
    };
    let same = services()
        .route("/1/", "stream", "engines", uses("a", 1, false))
        .route("/2/", "stream", "engines", uses("a", 1, false))
        .route("/3/", "stream", "engines", uses("b", 2, false));
    assert_eq!(contended(same.clone()), HashSet::new());
    let routes_differ = same
        .clone()
        .route("/4/", "stream", "engines", uses("a", 0, false));
    assert_eq!(contended(routes_differ), HashSet::from(["a".to_string()]));
    let equal = same
        .clone()
        .organisation("x", &["x"])
        .organisation("y", &["y"]);
    assert_eq!(contended(equal), HashSet::new());
    let organisations_differ = |public: bool| {
        services()
            .organisation("x", &["x"])
            .organisation_with_priority("y", "y", 2)
            .route("/1/", "stream", "engines", uses("a", 1, public))
    };
    assert_eq!(
        contended(organisations_differ(false)),
        HashSet::from(["a".to_string()])
    );
    assert_eq!(contended(organisations_differ(true)), HashSet::new());
}

/// Guards against work for a request that an owner refused, and against reservations that are
/// left behind at the other owners.
#[actix_rt::test]
async fn refusal_by_one_owner_cancels_the_others() {
    let platform = Platform::start("refusing", Duration::ZERO).await;
    let owner = platform
        .with_owner(|_| replies(&[Reply::Reserved, Reply::Refused(731, "OverShare")]))
        .await;
    let gateway = platform.gateway(Mechanisms::default()).await;
    let got = request("/later/", 1).send(gateway.addrs.callers).await;
    assert_eq!(got.status, 503, "{got:?}");
    assert_eq!(got.header("retry-after"), Some("0.74"), "rounded up");
    let detail = "no room in service refusing-second: over the share of organisation acme";
    assert!(got.body.contains(detail), "{got:?}");
    eventually("the other reservation is cancelled", || {
        let received = messages(&owner);
        received.iter().any(
            |message| matches!(message, Message::Cancel(queue, _) if queue == "refusing-first/0"),
        )
    })
    .await;
    assert!(stage_runs(&platform.first).is_empty());
    let reserves = messages(&owner)
        .into_iter()
        .filter_map(|message| match message {
            Message::Reserve(reserve) => Some(reserve),
            Message::Cancel(..) => None,
        });
    let reserves: Vec<Reserve> = reserves.collect();
    assert_eq!(reserves.len(), 2, "one for each queue");
    let [first, second] = [&reserves[0].7[0], &reserves[1].7[0]];
    assert!(first.3 == 0 && second.3 > 0, "ready: {reserves:?}");
    assert!(first.4 < second.4, "due: {reserves:?}");
}

/// Checks that a request goes on without a reservation when its owner gives `reply`.
async fn check_fallback(
    name: &'static str,
    cause: &str,
    reply: impl Fn(&ReceivedRequest) -> Vec<Step> + 'static,
) {
    let platform = Platform::start(name, Duration::ZERO).await;
    let owner = platform.with_owner(reply).await;
    let gateway = platform.gateway(Mechanisms::default()).await;
    let got = request("/later/", 1).send(gateway.addrs.callers).await;
    assert!(got.is_whole && got.status == 200, "{got:?}");
    assert!(!messages(&owner).is_empty(), "the owner was asked");
    let counter = "hollowsail_room_fallbacks_total";
    let line = format!("{counter}{{queue=\"{name}-first/0\",cause=\"{cause}\"}} 1");
    wait_for_metric(&gateway, &line).await;
}

/// Guards against requests that wait for, or fail with, an owner that doesn't answer.
#[actix_rt::test]
async fn silent_owner_leaves_the_queue_to_the_forecast() {
    let silent = |_: &ReceivedRequest| vec![Step::Wait(Duration::from_secs(5))];
    check_fallback("silent", "silent", silent).await;
}

/// Guards against requests that fail while entries of the previous build own queues.
#[actix_rt::test]
async fn owner_without_reservations_leaves_the_queue_to_the_forecast() {
    let previous_build = |request: &ReceivedRequest| vec![Step::Write(answer(request, 404, ""))];
    check_fallback("previous", "unsupported", previous_build).await;
}

/// Guards against a round trip for each request while entries of the previous build own queues.
#[actix_rt::test]
async fn owner_without_reservations_is_asked_once() {
    let platform = Platform::start("once", Duration::ZERO).await;
    let owner = platform
        .with_owner_of(|request| {
            // It accepts pieces and doesn't produce them.
            let status = match request.path.as_str() {
                RESERVATIONS_PATH => 404,
                _ => 204,
            };
            vec![Step::Write(answer(request, status, ""))]
        })
        .await;
    let gateway = platform.gateway(Mechanisms::default()).await;
    for number in 0..2 {
        let call = request("/later/", number).with("X-Deadline-Ms", "400");
        let got = call.send(gateway.addrs.callers).await;
        assert_eq!(got.status, 503, "{got:?}");
    }
    let received = owner.received();
    let is_call = |request: &&ReceivedRequest| request.path == RESERVATIONS_PATH;
    assert_eq!(received.iter().filter(is_call).count(), 1);
}

/// Guards against a change of behaviour where operators turned reservations off.
#[actix_rt::test]
async fn without_reservations_no_owner_is_asked() {
    let platform = Platform::start("without", Duration::ZERO).await;
    let owner = platform
        .with_owner(|_| replies(&[Reply::Refused(500, "Full"); 2]))
        .await;
    let mechanisms = Mechanisms::without(&["reservations".into()]).expect("the name is known");
    let gateway = platform.gateway(mechanisms).await;
    let got = request("/later/", 1).send(gateway.addrs.callers).await;
    assert!(got.is_whole && got.status == 200, "{got:?}");
    assert!(messages(&owner).is_empty());
    let answer = post_call(gateway.addrs.peers, &[]).await;
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
}

/// Guards against capacity that stays reserved for requests whose callers disconnected.
#[actix_rt::test]
async fn cancelled_request_gives_its_room_back() {
    let platform = Platform::start("cancelled", Duration::from_millis(1500)).await;
    let gateway = platform.gateway(Mechanisms::default()).await;
    let caller = request("/later/", 1).begin(gateway.addrs.callers).await;
    eventually("the first stage runs", || {
        !stage_runs(&platform.first).is_empty()
    })
    .await;
    let held = format!(
        "hollowsail_room_reservations{{queue=\"{}-second/0\"}}",
        platform.name
    );
    wait_for_metric(&gateway, &format!("{held} 1")).await;
    drop(caller);
    wait_for_metric(&gateway, &format!("{held} 0")).await;
}

/// Guards against an owner that keeps what a peer cancelled, and one that a malformed message
/// stops.
#[actix_rt::test]
async fn owner_serves_peers_and_rejects_malformed_messages() {
    let lines = logged();
    let platform = Platform::start("serving", Duration::ZERO).await;
    let gateway = platform.gateway(Mechanisms::default()).await;
    let answer = post_call(gateway.addrs.peers, b"\xc1 is no message").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    let is_logged = |text: &str| {
        let lines = lines.lock().expect("no test panics here");
        lines.iter().any(|line| line.contains(text))
    };
    assert!(is_logged("cannot decode a peer's message"));

    let (queue, id) = ("serving-first/0".to_string(), "the-id".to_string());
    let stages = vec![Stage(0, 1, 1000, 0, 60_000)];
    let weight = 0.0;
    let reserve = Reserve(
        queue.clone(),
        id.clone(),
        [1; 16],
        3,
        0,
        weight,
        500,
        stages,
    );
    let send = |message: Message| {
        let call = ReservationCall(5, vec![message]);
        let body = rmp_serde::to_vec(&call).expect("calls always encode");
        async move { post_call(gateway.addrs.peers, &body).await }
    };
    let answer = send(Message::Reserve(reserve)).await;
    assert!(answer.contains("Reserved"), "{answer}");
    assert!(is_logged("room_weight"), "a weight of zero is logged");
    let held = "hollowsail_room_reservations{queue=\"serving-first/0\"}";
    wait_for_metric(&gateway, &format!("{held} 1")).await;
    let answer = send(Message::Cancel(queue, id)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    wait_for_metric(&gateway, &format!("{held} 0")).await;
}

/// Guards against capacity that is given away while the pieces of its request are a little late.
#[actix_rt::test]
async fn reservation_is_kept_for_a_while_after_its_due_time() {
    let platform = Platform::start("late", Duration::ZERO).await;
    let gateway = platform.gateway(Mechanisms::default()).await;
    let due_in_ms = 100;
    let stages = vec![Stage(0, 1, 1000, 0, due_in_ms)];
    let queue = "late-first/0".to_string();
    let reserve = Reserve(queue, "id".into(), [1; 16], 3, 0, 1.0, 500, stages);
    let call = ReservationCall(5, vec![Message::Reserve(reserve)]);
    let body = rmp_serde::to_vec(&call).expect("calls always encode");
    let began = Instant::now();
    let answer = post_call(gateway.addrs.peers, &body).await;
    assert!(answer.contains("Reserved"), "{answer}");
    wait_for_metric(
        &gateway,
        "hollowsail_room_reservations{queue=\"late-first/0\"} 0",
    )
    .await;
    let kept_until = Duration::from_millis(due_in_ms + 500);
    let kept = began.elapsed();
    assert!(kept >= kept_until, "dropped after {kept:?}");
}

/// Guards against stages that are cancelled at 0.45 of the total time although the request would
/// be in time for its target latency.
#[actix_rt::test]
async fn reserved_request_may_use_its_stages_until_its_target_latency() {
    let slow = Duration::from_millis(1200);
    for (name, without, status) in [("patient", None, 200), ("hasty", Some("reservations"), 503)] {
        let platform = Platform::start(name, slow).await;
        let without: Vec<String> = without.into_iter().map(String::from).collect();
        let mechanisms = Mechanisms::without(&without).expect("the name is known");
        let gateway = platform.gateway(mechanisms).await;
        let call = request("/later/", 1).with("X-Deadline-Ms", "2000");
        let got = call.send(gateway.addrs.callers).await;
        assert_eq!(got.status, status, "{name}: {got:?}");
    }
}

/// Guards against stages that run for requests over capacity: they take from those that could
/// be in time.
#[actix_rt::test]
async fn requests_over_capacity_are_refused_before_they_run() {
    let platform = Platform::start("scarce", Duration::from_millis(300)).await;
    let mut gateways = Vec::new();
    for (host, hall) in [
        ("host-1", "hall-a"),
        ("host-2", "hall-b"),
        ("host-3", "hall-c"),
    ] {
        gateways.push(gateway(&platform.store, host, hall).await);
        wait_for_entries("the entry is recorded", &platform.store, gateways.len()).await;
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    // About 10 of them fit into the target latency of 2 s: 2 in each call of 300 ms.
    let calls = (0..30).map(|number| {
        let addr = gateways[number % 3].addrs.callers;
        async move {
            let began = Instant::now();
            let got = request("/later/", number).send(addr).await;
            (number, got, began.elapsed())
        }
    });
    let answers = join_all(calls).await;
    let (whole, refused): (Vec<_>, Vec<_>) = answers
        .into_iter()
        .partition(|(_, got, _)| got.status == 200);
    assert!((4..=12).contains(&whole.len()), "{} served", whole.len());
    for (number, got, _) in &whole {
        assert!(got.is_whole, "{number}: {got:?}");
    }
    let pieces = stage_runs(&platform.first);
    let ran: HashSet<String> = pieces
        .iter()
        .flat_map(ReceivedRequest::pieces)
        .map(|piece| piece["id"].as_str().unwrap_or_default().to_string())
        .collect();
    for (number, got, took) in &refused {
        assert_eq!(got.status, 503, "{got:?}");
        assert!(got.body.contains("no room in service scarce-"), "{got:?}");
        assert!(got.header("retry-after").is_some(), "{got:?}");
        assert!(*took < Duration::from_millis(250), "refused after {took:?}");
        let id = format!("{number:016x}");
        assert!(!ran.contains(&id), "{id} was refused and ran");
    }
}

/// Guards against admitted requests that are lost when the owner of their queues is killed, and
/// against new ones that nobody decides on afterwards.
#[actix_rt::test]
async fn next_owner_takes_over_from_a_killed_one() {
    let platform = Platform::start("killed", Duration::ZERO).await;
    let is_killed = Rc::new(Cell::new(false));
    let owner = platform
        .with_owner_of({
            let is_killed = is_killed.clone();
            move |request| match request.path.as_str() {
                _ if is_killed.get() => vec![Step::Close],
                RESERVATIONS_PATH => reply_to_all(request, Reply::Reserved),
                // It accepts pieces and doesn't produce them.
                _ => vec![Step::Write(answer(request, 204, ""))],
            }
        })
        .await;
    let gateway = platform.gateway(Mechanisms::default()).await;
    let addr = gateway.addrs.callers;
    let admitted = actix_rt::spawn(async move { request("/later/", 1).send(addr).await });
    eventually("the owner has reservations and a piece", || {
        let received = owner.received();
        let reserved = received.iter().position(|it| it.path == RESERVATIONS_PATH);
        reserved.is_some_and(|first| {
            let later = &received[first..];
            later.iter().any(|it| it.path != RESERVATIONS_PATH)
        })
    })
    .await;
    is_killed.set(true);
    let got = admitted.await.expect("the request is answered");
    assert!(got.is_whole && got.status == 200, "{got:?}");
    assert_eq!(times_asked(&owner, "killed-first/0"), 1);
    let got = request("/later/", 2).send(addr).await;
    assert!(got.is_whole && got.status == 200, "{got:?}");
    assert_eq!(times_asked(&owner, "killed-first/0"), 1);
    wait_for_admissions(&gateway, "killed-first/0", 1).await;
    wait_for_admissions(&gateway, "killed-second/0", 1).await;
}

/// Guards against admitted requests that are lost when the owner of their queues is stopped, and
/// against new ones that nobody decides on afterwards.
#[actix_rt::test]
async fn next_owner_takes_over_from_a_stopped_one() {
    let platform = Platform::start("stopped", Duration::from_millis(500)).await;
    let mut large = settings("host-1", "hall-a", platform.store.addr);
    large.limits.core_share = f64::from(LARGE_CAPACITY);
    large.limits.link_mbps = f64::from(LARGE_CAPACITY);
    let owner = gateway_with(large, Mechanisms::default()).await;
    let remaining = gateway(&platform.store, "host-2", "hall-b").await;
    wait_for_entries("both entries are recorded", &platform.store, 2).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    let addr = remaining.addrs.callers;
    let admitted = actix_rt::spawn(async move { request("/later/", 1).send(addr).await });
    eventually("the first stage runs", || {
        !stage_runs(&platform.first).is_empty()
    })
    .await;
    let held = "hollowsail_room_reservations{queue=\"stopped-second/0\"}";
    wait_for_metric(&remaining, &format!("{held} 1")).await;
    wait_for_admissions(&remaining, "stopped-first/0", 1).await;
    let stopping = actix_rt::spawn(owner.stop());
    let got = admitted.await.expect("the request is answered");
    assert!(got.is_whole && got.status == 200, "{got:?}");
    wait_for_entries("its record is removed", &platform.store, 1).await;
    stopping.await.expect("the gateway stops");
    let got = request("/later/", 2).send(addr).await;
    assert!(got.is_whole && got.status == 200, "{got:?}");
    wait_for_admissions(&remaining, "stopped-first/0", 2).await;
    wait_for_admissions(&remaining, "stopped-second/0", 2).await;
}

/// Guards against requests that are refused, or ask without end, while entries disagree on the
/// owner of a queue.
#[actix_rt::test]
async fn queue_without_an_owner_is_left_to_the_forecast_after_two_replies() {
    let platform = Platform::start("ownerless", Duration::ZERO).await;
    let owner = platform
        .with_owner(|request| reply_to_all(request, Reply::NotOwner))
        .await;
    let gateway = platform.gateway(Mechanisms::default()).await;
    let got = request("/later/", 1).send(gateway.addrs.callers).await;
    assert!(got.is_whole && got.status == 200, "{got:?}");
    for queue in ["ownerless-first/0", "ownerless-second/0"] {
        assert_eq!(times_asked(&owner, queue), 2, "{queue}");
        let counter = "hollowsail_room_fallbacks_total";
        let line = format!("{counter}{{queue=\"{queue}\",cause=\"not_owner\"}} 1");
        wait_for_metric(&gateway, &line).await;
    }
    let is_cancel = |message: &Message| matches!(message, Message::Cancel(..));
    assert!(!messages(&owner).iter().any(is_cancel), "nothing is held");
}

/// Guards against requests that run although the owner refused them when it was asked again.
#[actix_rt::test]
async fn owner_that_is_asked_again_decides() {
    let platform = Platform::start("again", Duration::ZERO).await;
    let asked = Cell::new(0);
    let owner = platform
        .with_owner(move |request| {
            asked.set(asked.get() + 1);
            match asked.get() {
                1 => reply_to_all(request, Reply::NotOwner),
                _ => reply_to_all(request, Reply::Refused(500, "Full")),
            }
        })
        .await;
    let gateway = platform.gateway(Mechanisms::default()).await;
    let got = request("/later/", 1).send(gateway.addrs.callers).await;
    assert_eq!(got.status, 503, "{got:?}");
    assert!(got.body.contains("no room in service again-"), "{got:?}");
    assert_eq!(times_asked(&owner, "again-first/0"), 2);
    assert!(stage_runs(&platform.first).is_empty());
}

/// Guards against a connection for each request while an owner is suspended.
#[actix_rt::test]
async fn suspended_owner_gets_few_connections() {
    let platform = Platform::start("suspended", Duration::ZERO).await;
    let owner = platform
        .with_owner(|_| vec![Step::Wait(Duration::from_secs(5))])
        .await;
    let gateway = platform.gateway(Mechanisms::default()).await;
    let addr = gateway.addrs.callers;
    let calls = (0..40).map(|number| async move {
        // Apart by more than the time in which messages are collected into one call.
        tokio::time::sleep(Duration::from_millis(4 * number as u64)).await;
        request("/later/", number).send(addr).await
    });
    for got in join_all(calls).await {
        assert!(got.status == 200 || got.status == 503, "{got:?}");
    }
    // Some are for messages of the link.
    let connections = owner.most_open_connections();
    assert!(connections <= 12, "{connections} connections");
    let asked = times_asked(&owner, "suspended-first/0");
    assert!((1..=40).contains(&asked), "asked {asked} times");
}

/// Work for the stream was done already, so it isn't put behind new ones.
#[actix_rt::test]
async fn resumed_stream_is_not_refused_for_want_of_room() {
    let platform = Platform::start("resumed", Duration::from_millis(20)).await;
    let is_full = |request: &ReceivedRequest| reply_to_all(request, Reply::Refused(800, "Full"));
    let _owner = platform.with_owner(is_full).await;
    // Nothing else is asked of the owner, which would be suspected.
    let without_scheduler = Mechanisms::without(&["desk".to_string()]).expect("a mechanism");
    let gateway = platform.gateway(without_scheduler).await;
    let without_stages = request("/resumable/", 1).with("X-Pieces", "0,0");
    let begun = without_stages.send(gateway.addrs.callers).await;
    assert_eq!(begun.status, 200, "{begun:?}");
    let new = request("/resumable/", 2).send(gateway.addrs.callers).await;
    assert_eq!(new.status, 503, "{new:?}");
    let resumed = request("/resumable/", 1)
        .with("X-Request-Id", "0000000000000003")
        .with("Resumes", "0000000000000001")
        .with("Last-Event-Id", "1")
        .send(gateway.addrs.callers)
        .await;
    assert_eq!(
        (resumed.status, resumed.is_whole),
        (200, true),
        "{resumed:?}"
    );
}
