//! Targets that stand still, as processes do: their kernel accepts connections and keeps what is
//! sent, and they read all of it when they go on.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_platform::settings::Settings;
use hollowsail_platform_emulator::RepeatAllowance;
use hollowsail_platform_standins::{DeploymentJson, StoreStandin, TargetStandin};
use serde_json::json;

use crate::fixture::{gateway_at, piece_arrivals, settings_allowing, staged_call, Call, StageSite};

const TARGETS: usize = 6;
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(25);
const ALLOWANCE: RepeatAllowance = RepeatAllowance {
    ratio: 0.2,
    extra: 12.0,
    window: Duration::from_secs(2),
};

fn settings(store: &StoreStandin) -> Settings {
    settings_allowing(&ALLOWANCE, "host-1", store.addr)
}

/// When work arrived that was not the first arrival of it, since `start`.
fn repeats(mut arrivals: Vec<(Instant, String)>, start: Instant) -> Vec<Duration> {
    arrivals.sort();
    let mut seen = HashSet::new();
    arrivals.retain(|(_, request)| !seen.insert(request.clone()));
    arrivals.iter().map(|(at, _)| *at - start).collect()
}

/// What callers and targets saw.
#[derive(Debug)]
struct Played {
    requests: usize,
    served: usize,
    /// Longest time to an answer or a refusal.
    slowest: Duration,
    /// Repeats in the worst window, and those allowed there.
    worst: Option<(usize, f64)>,
}

impl Played {
    fn lost(&self) -> usize {
        self.requests - self.served
    }

    fn is_within_allowance(&self) -> bool {
        self.worst
            .is_none_or(|(repeats, allowed)| repeats as f64 <= allowed)
    }
}

/// Sends requests for `length` while the first `count` targets stand still from the first to the
/// second moment of each of `times`.
async fn play(count: usize, times: &[(u64, u64)], length: Duration) -> Played {
    let deployment = DeploymentJson::new(1).service("plain").route(
        "/safe/",
        "safe",
        "plain",
        json!({ "max_attempts": 4 }),
    );
    let store = StoreStandin::start().await;
    store.put("op/config", &deployment.bytes());
    let mut targets = Vec::new();
    for number in 0..TARGETS {
        let target = TargetStandin::answering("ok", Duration::from_millis(10)).await;
        let id = format!("i-{number}");
        store.put_target(&id, "plain", target.addr, "hall-a", "ready");
        targets.push(target);
    }
    let gateway = gateway_at(settings(&store)).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let start = Instant::now();
    let suspending = async {
        for (from, until) in times {
            tokio::time::sleep_until((start + Duration::from_millis(*from)).into()).await;
            targets[..count].iter().for_each(TargetStandin::suspend);
            tokio::time::sleep_until((start + Duration::from_millis(*until)).into()).await;
            targets[..count].iter().for_each(TargetStandin::resume);
        }
    };
    let requests = (length.as_millis() / PAUSE.as_millis()) as usize;
    let sending = join_all((0..requests).map(|number| {
        let callers = gateway.addrs.callers;
        let at = PAUSE * number as u32;
        async move {
            tokio::time::sleep_until((start + at).into()).await;
            let call = Call::new("GET", "/safe/x").with("X-Request-Id", &format!("{number:016x}"));
            let sent = Instant::now();
            let is_served = call.send(callers).await.status == 200;
            (at, is_served, sent.elapsed())
        }
    }));
    let (sent, ()) = futures_util::future::join(sending, suspending).await;
    // What the targets had not read yet arrives now.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let times: Vec<Duration> = sent.iter().map(|(at, ..)| *at).collect();
    let received = targets.iter().flat_map(TargetStandin::received);
    let arrivals = received.map(|request| (request.received_at, request.request_id().to_string()));
    let worst = ALLOWANCE.worst_window(&repeats(arrivals.collect(), start), &times);
    Played {
        requests,
        served: sent.iter().filter(|(_, is_served, _)| *is_served).count(),
        slowest: sent
            .iter()
            .map(|(.., took)| *took)
            .max()
            .unwrap_or_default(),
        worst: worst.map(|worst| (worst.repeats, worst.allowed)),
    }
}

// Guards against first attempts that wait unread at a target and arrive as repeats of a later window.
#[actix_rt::test]
async fn abandoned_attempts_that_arrive_late_stay_within_the_allowance() {
    let played = play(3, &[(1_000, 10_000)], Duration::from_secs(11)).await;
    assert!(played.is_within_allowance(), "{played:?}");
    assert!(played.lost() <= 15, "{played:?}");
}

// Guards against the same where few targets are left to serve the repeats.
#[actix_rt::test]
async fn abandoned_attempts_stay_within_the_allowance_while_most_targets_stand_still() {
    let played = play(5, &[(1_000, 10_000)], Duration::from_secs(11)).await;
    assert!(played.is_within_allowance(), "{played:?}");
    assert!(played.lost() <= 197, "{played:?}");
}

// Guards against charges that expire while a target stands still again and again.
#[actix_rt::test]
async fn attempts_abandoned_in_a_series_of_short_stops_stay_within_the_allowance() {
    let times: Vec<(u64, u64)> = (0..6)
        .map(|n| (1_000 + n * 2_000, 2_500 + n * 2_000))
        .collect();
    let played = play(4, &times, Duration::from_millis(13_400)).await;
    assert!(played.is_within_allowance(), "{played:?}");
    assert!(played.lost() <= 36, "{played:?}");
}

// Guards against timeouts of attempts that grow with each request that had to be repeated.
#[actix_rt::test]
async fn repeated_requests_do_not_lengthen_the_timeouts_of_later_ones() {
    let times: Vec<(u64, u64)> = (0..3)
        .map(|n| (1_000 + n * 2_000, 2_500 + n * 2_000))
        .collect();
    let played = play(4, &times, Duration::from_millis(7_400)).await;
    assert!(played.slowest <= Duration::from_millis(500), "{played:?}");
}

/// Sends requests with four pieces each while two of four stage workers stand still for 9 s.
async fn play_stages() -> Played {
    let site = StageSite::start(4, 4, Duration::from_millis(40), 6_000).await;
    let workers = &site.workers;
    let gateway = gateway_at(settings(&site.store)).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let start = Instant::now();
    let suspending = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        workers[..2].iter().for_each(TargetStandin::suspend);
        tokio::time::sleep(Duration::from_secs(9)).await;
        workers[..2].iter().for_each(TargetStandin::resume);
    };
    let sending = join_all((0..110).map(|number| {
        let callers = gateway.addrs.callers;
        async move {
            tokio::time::sleep_until((start + PAUSE * 4 * number).into()).await;
            let call = staged_call(&format!("{number:016x}"), 6_000);
            let sent = Instant::now();
            let is_served = call.send(callers).await.status == 200;
            (is_served, sent.elapsed())
        }
    }));
    let (answers, ()) = futures_util::future::join(sending, suspending).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    // No route leads to the stage service, so that requests earn no repeats there.
    let worst = ALLOWANCE.worst_window(&repeats(piece_arrivals(workers), start), &[]);
    Played {
        requests: answers.len(),
        served: answers.iter().filter(|(is_served, _)| *is_served).count(),
        slowest: answers
            .iter()
            .map(|(_, took)| *took)
            .max()
            .unwrap_or_default(),
        worst: worst.map(|worst| (worst.repeats, worst.allowed)),
    }
}

// Guards against pieces that wait unread at a worker and arrive as repeats of a later window.
#[actix_rt::test]
async fn abandoned_calls_that_arrive_late_stay_within_the_allowance() {
    let played = play_stages().await;
    assert!(played.is_within_allowance(), "{played:?}");
    assert!(played.lost() <= 11, "{played:?}");
}
