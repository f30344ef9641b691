//! Pacing of requests to targets that are warming up.

use std::collections::VecDeque;

use hollowsail_routing::warm_up::{
    BYPASS_SHARE, NO_SCHEDULER_SHARE, SCHEDULER_SHARE, SETTLED_SCHEDULER_SHARE,
};
use hollowsail_routing::{
    Demand, EngineScheduler, SchedulableEngine, Versions, WarmUp, WarmUpGate,
};
use proptest::prelude::*;

use crate::config;

/// Maximum rate that operators allow during warm-up, as a multiple of the accepted rate.
const OVERSHOOT: f64 = 1.5;
/// Requests allowed beyond that.
const SLACK: f64 = 5.0;

/// Maximum number of arrivals within one second.
fn max_in_a_second(arrivals: &[u64]) -> usize {
    let mut window = VecDeque::new();
    let mut max = 0;
    for &time in arrivals {
        window.push_back(time);
        while window.front().is_some_and(|first| time - first >= 1_000) {
            window.pop_front();
        }
        max = max.max(window.len());
    }
    max
}

proptest! {
    #![proptest_config(config(0xc0))]

    /// Entries send as often as allowed, two schedulers overlap for a while, and the target
    /// may start to warm up again at any time.
    #[test]
    fn rate_stays_bounded_with_two_schedulers(
        per_s in 1.0f64..60.0,
        entries in 1usize..100,
        travel_ms in proptest::collection::vec(0u64..60, 40),
        warm_ups in proptest::collection::vec((0u64..3_000, 500u64..3_000), 1..4),
        overlap_until in 0u64..9_000,
    ) {
        let mut schedulers = [WarmUpGate::default(); 2];
        let mut entry_gates = vec![WarmUpGate::default(); entries];
        let mut warm_ups = warm_ups.into_iter();
        let mut warm_up = WarmUp { until: 0, per_s };
        let mut starts_at = 0;
        let mut arrivals = Vec::new();
        for now in 0..9_000u64 {
            if now >= warm_up.until && now >= starts_at {
                let Some((pause, duration)) = warm_ups.next() else { break };
                starts_at = now + pause;
                warm_up.until = starts_at + duration;
            }
            if now < starts_at || now >= warm_up.until {
                continue;
            }
            let owners = if now < overlap_until { 2 } else { 1 };
            // The previous owner is settled, the next one is recent.
            let shares = [SETTLED_SCHEDULER_SHARE, SCHEDULER_SHARE];
            let owners = schedulers[..owners].iter_mut().zip(shares);
            let owners = owners.map(|(gate, share)| (gate, share, 0.0));
            let bypassing = entry_gates.iter_mut().enumerate().map(|(index, gate)| {
                let phase = index as f64 / entries as f64;
                (gate, BYPASS_SHARE / entries as f64, phase)
            });
            for (gate, share, phase) in owners.chain(bypassing) {
                gate.update(now, Some(warm_up), share, phase);
                if gate.is_open(now) {
                    gate.record_sent(now, share);
                    arrivals.push(now + travel_ms[arrivals.len() % travel_ms.len()]);
                }
            }
        }
        arrivals.sort_unstable();
        let max = max_in_a_second(&arrivals) as f64;
        prop_assert!(
            max <= per_s * OVERSHOOT + SLACK,
            "{max} requests in a second at a rate of {per_s}"
        );
    }
}

fn warm_up(until: u64) -> Option<WarmUp> {
    Some(WarmUp { until, per_s: 10.0 })
}

#[test]
fn warm_target_is_not_paced() {
    let mut gate = WarmUpGate::default();
    for _ in 0..100 {
        assert!(gate.is_open(0));
        gate.record_sent(0, SCHEDULER_SHARE);
    }
}

#[test]
fn requests_are_spaced_during_warm_up() {
    let mut gate = WarmUpGate::default();
    gate.update(0, warm_up(3_000), NO_SCHEDULER_SHARE, 0.0);
    assert!(gate.is_open(0));
    gate.record_sent(0, NO_SCHEDULER_SHARE);
    assert!(!gate.is_open(124));
    assert_eq!(gate.opens_at(0), 125);
    assert!(gate.is_open(125));
    gate.record_sent(2_990, NO_SCHEDULER_SHARE);
    assert_eq!(gate.opens_at(2_991), 3_000, "the warm-up ends then");
    gate.update(2_991, None, NO_SCHEDULER_SHARE, 0.0);
    assert!(gate.is_open(2_991));
}

#[test]
fn scheduler_paces_engines_that_warm_up() {
    let mut scheduler = EngineScheduler::default();
    let engine = |key: &'static str, warm_up| SchedulableEngine {
        key,
        slots: 64,
        hall: "hall-a".to_string(),
        version: String::new(),
        warm_up,
        limit: None,
        max_running: None,
    };
    let engines = [
        engine("warm", None),
        engine("warming-1", warm_up(3_000)),
        engine("warming-2", warm_up(3_000)),
    ];
    scheduler.set_engines(0, &engines);
    let mut placed_on: Vec<&str> = Vec::new();
    for number in 0..300u64 {
        let demand = Demand {
            from_hall: "hall-a".to_string(),
            part: format!("part-{number}"),
            shared_tokens: 0,
            prompt_tokens: 4_000,
            avoid: Vec::new(),
            versions: Versions::All,
            halls: None,
            results: Vec::new(),
            is_suspect: false,
            urgency: 0,
            max_wait_ms: 0,
        };
        let placement = scheduler.place(number * 10, &demand, |_| 0);
        placed_on.push(placement.expect("one engine is warm").1);
    }
    let count = |key: &str| placed_on.iter().filter(|engine| **engine == key).count();
    for key in ["warming-1", "warming-2"] {
        assert!((10..=18).contains(&count(key)), "{} placements", count(key));
    }
}

#[test]
fn closed_engines_get_no_placement() {
    let mut scheduler = EngineScheduler::default();
    let engine = SchedulableEngine {
        key: "warming",
        slots: 64,
        hall: "hall-a".to_string(),
        version: String::new(),
        warm_up: warm_up(3_000),
        limit: None,
        max_running: None,
    };
    scheduler.set_engines(0, &[engine]);
    let demand = Demand {
        from_hall: "hall-a".to_string(),
        part: "p".to_string(),
        shared_tokens: 0,
        prompt_tokens: 4_000,
        avoid: Vec::new(),
        versions: Versions::All,
        halls: None,
        results: Vec::new(),
        is_suspect: false,
        urgency: 0,
        max_wait_ms: 0,
    };
    assert!(scheduler.place(0, &demand, |_| 0).is_some());
    assert!(scheduler.place(50, &demand, |_| 0).is_none());
    assert!(scheduler.place(170, &demand, |_| 0).is_some());
}
