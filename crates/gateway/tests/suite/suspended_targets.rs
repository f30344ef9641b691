//! Targets that stand still, as processes do: their kernel accepts connections and keeps what is
//! sent, and they read all of it when they go on.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use hollowsail_platform::settings::Settings;
use hollowsail_platform_emulator::RepeatAllowance;
use hollowsail_platform_standins::{DeploymentJson, StoreStandin, TargetStandin};
use serde_json::json;

use crate::fixture::{self, gateway_at, Call};

const TARGETS: usize = 6;
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(25);
const ALLOWANCE: RepeatAllowance = RepeatAllowance {
    ratio: 0.2,
    extra: 12.0,
    window: Duration::from_secs(2),
};

fn settings(store: &StoreStandin) -> Settings {
    let mut settings = fixture::settings("host-1", "hall-a", store.addr);
    settings.bounds.retry_ratio = ALLOWANCE.ratio;
    settings.bounds.retry_extra = ALLOWANCE.extra;
    settings.bounds.retry_window_s = ALLOWANCE.window.as_secs_f64();
    settings
}

/// When each request arrived at a target that was not its first, since `start`.
fn repeats(targets: &[TargetStandin], start: Instant) -> Vec<Duration> {
    let received = targets.iter().flat_map(TargetStandin::received);
    let mut arrivals: Vec<(Instant, String)> = received
        .map(|request| (request.received_at, request.request_id().to_string()))
        .collect();
    arrivals.sort();
    let mut seen = std::collections::HashSet::new();
    arrivals.retain(|(_, request)| !seen.insert(request.clone()));
    arrivals.iter().map(|(at, _)| *at - start).collect()
}

/// What callers and targets saw.
#[derive(Debug)]
struct Played {
    requests: usize,
    served: usize,
    /// Repeats in the worst window, and those allowed there.
    worst: Option<(usize, f64)>,
}

impl Played {
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
            (at, call.send(callers).await.status == 200)
        }
    }));
    let (sent, ()) = futures_util::future::join(sending, suspending).await;
    // What the targets had not read yet arrives now.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let times: Vec<Duration> = sent.iter().map(|(at, _)| *at).collect();
    let worst = ALLOWANCE.worst_window(&repeats(&targets, start), &times);
    Played {
        requests,
        served: sent.iter().filter(|(_, is_served)| *is_served).count(),
        worst: worst.map(|worst| (worst.repeats, worst.allowed)),
    }
}

// Guards against first attempts that wait unread at a target and arrive as repeats of a later window.
#[actix_rt::test]
async fn abandoned_attempts_that_arrive_late_stay_within_the_allowance() {
    let played = play(3, &[(1_000, 10_000)], Duration::from_secs(11)).await;
    assert!(played.is_within_allowance(), "{played:?}");
    assert!(played.served >= 425, "{played:?}");
}

// Guards against the same where few targets are left to serve the repeats.
#[actix_rt::test]
async fn abandoned_attempts_stay_within_the_allowance_while_most_targets_stand_still() {
    let played = play(5, &[(1_000, 10_000)], Duration::from_secs(11)).await;
    assert!(played.is_within_allowance(), "{played:?}");
    assert!(played.served >= 243, "{played:?}");
}

// Guards against charges that expire while a target stands still again and again.
#[actix_rt::test]
async fn attempts_abandoned_in_a_series_of_short_stops_stay_within_the_allowance() {
    let times: Vec<(u64, u64)> = (0..6)
        .map(|n| (1_000 + n * 2_000, 2_500 + n * 2_000))
        .collect();
    let played = play(4, &times, Duration::from_millis(13_400)).await;
    assert!(played.is_within_allowance(), "{played:?}");
    assert!(played.served >= 500, "{played:?}");
}
