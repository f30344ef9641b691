//! Pacing of requests to targets with a limit, under more demand than they accept.

use hollowsail_routing::limit::SETTLED_AFTER_MS;
use hollowsail_routing::{
    Demand, DemandQueue, EngineScheduler, LimitGate, LimitShare, Millis, QueueEstimate,
    SchedulableEngine, Versions,
};
use proptest::prelude::*;

/// Window over which operators count requests.
const WINDOW_MS: Millis = 4_000;

fn settled() -> LimitShare {
    LimitShare::owned_for(SETTLED_AFTER_MS)
}

fn recent() -> LimitShare {
    LimitShare::owned_for(0)
}

/// Maximum number of requests in a window under a limit of `per_s`.
fn allowed(per_s: f64) -> usize {
    (per_s * 1.5 * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

fn max_in_window(sent: &[Millis]) -> usize {
    let within = |last: Millis| {
        let in_window = |time: &&Millis| **time <= last && **time + WINDOW_MS > last;
        sent.iter().filter(in_window).count()
    };
    sent.iter().map(|time| within(*time)).max().unwrap_or(0)
}

/// Times of requests from one sender that sends as often as allowed, in milliseconds.
fn all_sends(per_s: f64, share: LimitShare, duration: Millis) -> Vec<Millis> {
    let mut gate = LimitGate::default();
    let mut sent = Vec::new();
    for now in 0..duration {
        while gate.opens_at(now, Some(per_s), share) == now {
            gate.record_sent(now, Some(per_s), share);
            sent.push(now);
        }
    }
    sent
}

#[test]
fn settled_owner_uses_nearly_all_of_the_limit() {
    for per_s in [0.2, 0.5, 1.0, 3.0, 17.0, 300.0] {
        let sent = all_sends(per_s, settled(), 40_000);
        let max = max_in_window(&sent);
        assert!(
            max <= (per_s * 4.0).ceil() as usize + 2,
            "{max} requests at a limit of {per_s}"
        );
        let used = sent.len() as f64 / (per_s * 40.0);
        assert!(used > 0.9, "share {used} used at a limit of {per_s}");
    }
}

/// The previous owner still sends after the next one has started.
#[test]
fn two_owners_stay_below_allowed_rate() {
    for per_s in [0.2, 1.0, 3.0, 17.0, 300.0] {
        let mut sent = all_sends(per_s, settled(), 12_000);
        sent.extend(all_sends(per_s, recent(), 12_000));
        sent.sort_unstable();
        let max = max_in_window(&sent);
        assert!(
            max <= allowed(per_s),
            "{max} requests at a limit of {per_s}"
        );
    }
}

/// Eight entries without a member list all assume ownership.
#[test]
fn unlisted_entries_stay_below_allowed_rate() {
    for per_s in [0.2, 1.0, 3.0, 17.0, 300.0] {
        let mut sent: Vec<Millis> = (0..8)
            .flat_map(|_| all_sends(per_s, LimitShare::unlisted(), 12_000))
            .collect();
        sent.sort_unstable();
        let max = max_in_window(&sent);
        // Each may start with one request.
        assert!(
            max <= allowed(per_s) + 8,
            "{max} requests at a limit of {per_s}"
        );
    }
}

#[test]
fn zero_limit_still_allows_rare_requests() {
    let sent = all_sends(0.0, settled(), 60_000);
    assert!((10..=13).contains(&sent.len()), "{} requests", sent.len());
}

#[test]
fn limit_changes_take_effect_at_once() {
    let mut gate = LimitGate::default();
    for _ in 0..2 {
        gate.record_sent(0, Some(0.2), settled());
    }
    assert!(gate.opens_at(0, Some(0.2), settled()) > 4_000);
    assert!(gate.opens_at(0, Some(100.0), settled()) <= 11);
    assert_eq!(gate.opens_at(0, None, settled()), 0);
    let mut gate = LimitGate::default();
    let mut sent = 0;
    for now in 0..1_000 {
        while gate.opens_at(now, Some(300.0), settled()) == now {
            gate.record_sent(now, Some(300.0), settled());
        }
    }
    for now in 1_000..5_000 {
        while gate.opens_at(now, Some(1.0), settled()) == now {
            gate.record_sent(now, Some(1.0), settled());
            sent += 1;
        }
    }
    assert!((4..=6).contains(&sent), "{sent} requests");
}

proptest! {
    /// Under changing limits and demand, no window exceeds what the highest limit allows.
    #[test]
    fn limit_changes_and_idle_times_keep_the_bound(
        steps in prop::collection::vec((0_u64..3_000, 0.2_f64..50.0, any::<bool>()), 1..20),
    ) {
        let mut gate = LimitGate::default();
        let mut sent = Vec::new();
        let (mut now, mut highest) = (0, 0.0_f64);
        for (duration, per_s, is_busy) in steps {
            highest = highest.max(per_s);
            for _ in 0..duration {
                now += 1;
                while is_busy && gate.opens_at(now, Some(per_s), settled()) == now {
                    gate.record_sent(now, Some(per_s), settled());
                    sent.push(now);
                }
            }
        }
        prop_assert!(max_in_window(&sent) <= allowed(highest));
    }
}

fn engine(key: &'static str, limit: Option<f64>) -> SchedulableEngine<&'static str> {
    SchedulableEngine {
        key,
        slots: 8,
        hall: "hall-a".to_string(),
        version: String::new(),
        warm_up: None,
        limit,
        max_running: None,
    }
}

/// A demand that may wait half a second.
pub fn demand(avoid: Vec<&'static str>) -> Demand<&'static str> {
    Demand {
        from_hall: "hall-a".to_string(),
        part: "part".to_string(),
        shared_tokens: 0,
        prompt_tokens: 0,
        avoid,
        versions: Versions::All,
        halls: None,
        results: Vec::new(),
        is_suspect: false,
        urgency: 0,
        max_wait_ms: 500,
    }
}

/// The scheduler of a settled owner.
pub fn scheduler(engines: &[SchedulableEngine<&'static str>]) -> EngineScheduler<&'static str> {
    let mut scheduler = EngineScheduler::default();
    scheduler.set_limit_share(settled());
    scheduler.set_engines(0, engines);
    scheduler
}

/// Places demands until no engine is open, 100 at most; returns their engines.
fn place_all(scheduler: &mut EngineScheduler<&'static str>, now: Millis) -> Vec<&'static str> {
    let mut placed = Vec::new();
    while let Some((_, engine)) = scheduler.place(now, &demand(Vec::new()), |_| 0) {
        placed.push(engine);
        if placed.len() == 100 {
            break;
        }
    }
    placed
}

#[test]
fn unlimited_engine_takes_the_excess() {
    let mut scheduler = scheduler(&[engine("limited", Some(2.0)), engine("free", None)]);
    let mut limited = 0;
    for now in (0..10_000).step_by(100) {
        let placed = place_all(&mut scheduler, now);
        assert_eq!(placed.len(), 100, "the unlimited engine takes the rest");
        limited += placed.iter().filter(|key| **key == "limited").count();
    }
    assert!((17..=22).contains(&limited), "{limited} requests");
}

#[test]
fn wait_estimate_follows_queue_and_rates() {
    let mut scheduler = scheduler(&[engine("a", Some(2.0)), engine("b", Some(2.0))]);
    assert_eq!(
        place_all(&mut scheduler, 0).len(),
        4,
        "one burst per engine"
    );
    let QueueEstimate { wait_ms, per_s } = scheduler
        .queue_estimate(0, &demand(vec![]), 0)
        .expect("an engine opens");
    assert!(
        (500..=530).contains(&wait_ms) && per_s > 3.7,
        "in {wait_ms} ms at {per_s} per second"
    );
    let behind = scheduler
        .queue_estimate(0, &demand(vec![]), 4)
        .expect("an engine opens")
        .wait_ms;
    assert!((1_500..=1_600).contains(&behind), "in {behind} ms");
    assert_eq!(
        scheduler.queue_estimate(0, &demand(vec!["a", "b"]), 0),
        None
    );
    assert_eq!(scheduler.next_opening(0), Some(wait_ms));
    assert!(!scheduler.is_any_open(0) && scheduler.is_any_open(wait_ms));
    scheduler.set_engines(0, &[engine("a", None), engine("b", Some(2.0))]);
    assert!(scheduler.is_any_open(0), "engine a has no limit any more");
}

#[test]
fn queue_orders_by_urgency_then_arrival() {
    let mut queue = DemandQueue::default();
    let late = queue.push(2, 900, "late");
    queue.push(1, 500, "first");
    queue.push(1, 800, "second");
    let order: Vec<_> = queue.iter().map(|(_, demand)| *demand).collect();
    assert_eq!(order, ["first", "second", "late"]);
    assert_eq!(
        (queue.ahead_of(0), queue.ahead_of(1), queue.ahead_of(9)),
        (0, 2, 3)
    );
    assert_eq!(queue.take_expired(500), ["first"]);
    assert_eq!(queue.remove(late), Some("late"));
    assert_eq!(queue.remove(late), None);
    assert!(!queue.is_empty());
}

/// Callers rejected together must not all retry at once, nor wait for long.
#[test]
fn retry_times_are_spaced_at_engine_rate() {
    let mut queue: DemandQueue<()> = DemandQueue::default();
    let retry_times: Vec<Millis> = (0..10)
        .map(|_| queue.retry_after_ms(1_000, 400, 10.0))
        .collect();
    assert_eq!(retry_times[0], 400);
    assert!(retry_times.windows(2).all(|pair| pair[1] == pair[0] + 100));
    let later = (0..1_000)
        .map(|_| queue.retry_after_ms(1_000, 400, 10.0))
        .max();
    assert_eq!(later, Some(3_000));
    assert_eq!(
        queue.retry_after_ms(9_000, 50, 10.0),
        50,
        "earlier retry times have passed"
    );
}
