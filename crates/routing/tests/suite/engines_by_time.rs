//! The choice of engines by the expected time to the first event.

use hollowsail_routing::{
    Demand, EngineScheduler, PlacementEnd, PlacementKey, SchedulableEngine, Versions,
};

/// Actual prefill time per token of a usual engine, in milliseconds.
const MS_PER_TOKEN: f64 = 0.01;
/// Actual time to a first event besides prefill, in milliseconds.
const BASE_MS: u64 = 30;
/// Tokens of a shared prefix.
const SHARED_TOKENS: u64 = 5_000;
/// Half of what is left of a target latency of 1,000 ms after 400 ms in stages.
const MAX_WAIT_MS: u64 = 300;

fn scheduler(engines: usize) -> EngineScheduler<usize> {
    let mut scheduler = EngineScheduler::default();
    scheduler.set_by_time(true);
    let engines: Vec<_> = (0..engines)
        .map(|key| SchedulableEngine {
            key,
            slots: 64,
            hall: "hall-a".to_string(),
            version: String::new(),
            warm_up: None,
            limit: None,
            max_running: None,
        })
        .collect();
    scheduler.set_engines(0, &engines);
    scheduler
}

fn demand(part: &str, own_tokens: u64) -> Demand<usize> {
    Demand {
        from_hall: "hall-a".to_string(),
        part: part.to_string(),
        shared_tokens: SHARED_TOKENS,
        prompt_tokens: SHARED_TOKENS + own_tokens,
        avoid: Vec::new(),
        versions: Versions::All,
        halls: None,
        results: Vec::new(),
        is_suspect: false,
        urgency: 0,
        max_wait_ms: MAX_WAIT_MS,
    }
}

/// Engine 0 is first for every part.
fn order(key: &usize) -> u64 {
    u64::MAX - *key as u64
}

fn place(
    scheduler: &mut EngineScheduler<usize>,
    now: u64,
    demand: &Demand<usize>,
) -> (PlacementKey, usize) {
    let placed = scheduler.place(now, demand, order);
    placed.expect("an engine is chosen")
}

/// Places a demand at an idle engine that prefills at `ms_per_token`, and completes it.
fn serve_at(
    scheduler: &mut EngineScheduler<usize>,
    now: u64,
    engine: usize,
    tokens: u64,
    ms: u64,
) -> u64 {
    let only = Demand {
        avoid: (0..8).filter(|other| *other != engine).collect(),
        shared_tokens: 0,
        prompt_tokens: tokens,
        ..demand("unshared", 0)
    };
    let (key, at) = place(scheduler, now, &only);
    assert_eq!(at, engine);
    let end = now + ms;
    scheduler.prefill_done(key, end);
    scheduler.record_end(key, PlacementEnd::Completed, end);
    end
}

fn prefill_ms(tokens: u64, slowness: f64) -> u64 {
    BASE_MS + (tokens as f64 * MS_PER_TOKEN * slowness) as u64
}

/// A scheduler that has learned the usual time per token at every engine.
fn trained(engines: usize) -> (EngineScheduler<usize>, u64) {
    let mut scheduler = scheduler(engines);
    let mut now = 0;
    for _ in 0..10 {
        for engine in 0..engines {
            let ms = prefill_ms(10_000, 1.0);
            now = serve_at(&mut scheduler, now, engine, 10_000, ms) + 10;
        }
    }
    (scheduler, now)
}

/// A demand for the cached prefix `part` of `shared_tokens`.
fn with_prefix(part: &str, shared_tokens: u64, own_tokens: u64) -> Demand<usize> {
    Demand {
        shared_tokens,
        prompt_tokens: shared_tokens + own_tokens,
        ..demand(part, 0)
    }
}

/// Guards against short prompts that wait behind a long one because of their prefix.
#[test]
fn short_prompt_is_not_placed_behind_a_long_one() {
    let (mut scheduler, now) = trained(3);
    let (first, home) = place(&mut scheduler, now, &with_prefix("p", 30_000, 1_000));
    assert_eq!(home, 0);
    scheduler.prefill_done(first, now + 340);
    let now = now + 400;
    let long = Demand {
        avoid: vec![1, 2],
        ..with_prefix("p", 30_000, 50_000)
    };
    place(&mut scheduler, now, &long);
    let patient = Demand {
        max_wait_ms: 1_500,
        ..with_prefix("p", 30_000, 600)
    };
    let (key, engine) = place(&mut scheduler, now + 10, &patient);
    assert_eq!(engine, 0, "affinity wins while all are in time");
    scheduler.record_end(key, PlacementEnd::Completed, now + 10);
    let urgent = Demand {
        max_wait_ms: 200,
        ..with_prefix("p", 30_000, 600)
    };
    let (_, other) = place(&mut scheduler, now + 20, &urgent);
    assert_ne!(other, 0, "the long prompt takes 500 ms, of 400 ms left");
}

/// Guards against the loss of the cached prefix where no engine is late.
#[test]
fn affinity_wins_while_all_are_in_time() {
    let (mut scheduler, mut now) = trained(8);
    let (first, home) = place(&mut scheduler, now, &demand("p", 1_000));
    scheduler.prefill_done(first, now + 90);
    for _ in 0..5 {
        now += 100;
        let (key, engine) = place(&mut scheduler, now, &demand("p", 3_000));
        assert_eq!(engine, home);
        scheduler.prefill_done(key, now + prefill_ms(3_000, 1.0));
        scheduler.record_end(key, PlacementEnd::Completed, now + 90);
    }
}

/// Guards against long prompts that are late at the cheapest engine.
#[test]
fn long_prompt_goes_to_the_first_engine_to_deliver() {
    let (mut scheduler, now) = trained(3);
    for (engine, tokens) in [(0, 40_000), (1, 50_000), (2, 20_000)] {
        let only = Demand {
            avoid: (0..3).filter(|other| *other != engine).collect(),
            ..demand(&format!("q{engine}"), tokens)
        };
        place(&mut scheduler, now, &only);
    }
    // Prefilled tokens before its first event: 95,000 at engine 0, which caches the prefix and
    // costs least, and 90,000 at engine 2.
    let (_, engine) = place(&mut scheduler, now, &with_prefix("q0", 15_000, 50_000));
    assert_eq!(engine, 2, "none is in time, and its prefill is done first");
}

/// Guards against an estimate that assumes that an engine works off what was placed there
/// while it stalls.
#[test]
fn stalled_engine_is_not_taken_for_free() {
    let (mut scheduler, now) = trained(2);
    let (_, stalled) = place(&mut scheduler, now, &demand("p", 1_000));
    let (_, engine) = place(&mut scheduler, now + 2_000, &demand("p", 1_000));
    assert_ne!(engine, stalled);
}

/// Serves requests one at a time at engines of which engine 0 is slow; returns how many of
/// these it got, and how many were late.
fn served_with_slow_engine(slowness: f64, own_tokens: u64) -> (usize, usize) {
    let (mut scheduler, mut now) = trained(4);
    for _ in 0..10 {
        let ms = prefill_ms(10_000, slowness);
        now = serve_at(&mut scheduler, now, 0, 10_000, ms) + 10;
    }
    let (mut at_slow, mut late) = (0, 0);
    for n in 0..100 {
        let demand = Demand {
            shared_tokens: 0,
            prompt_tokens: own_tokens,
            ..demand(&format!("p{n}"), 0)
        };
        let (key, engine) = place(&mut scheduler, now, &demand);
        let factor = if engine == 0 { slowness } else { 1.0 };
        let ms = prefill_ms(own_tokens, factor);
        at_slow += usize::from(engine == 0);
        late += usize::from(ms > 2 * MAX_WAIT_MS);
        scheduler.prefill_done(key, now + ms);
        scheduler.record_end(key, PlacementEnd::Completed, now + ms);
        now += ms + 5;
    }
    (at_slow, late)
}

/// Guards against late requests at a slow engine, and against one that gets nothing.
#[test]
fn slow_engine_serves_only_what_it_can_in_time() {
    let (short, late) = served_with_slow_engine(4.0, 2_000);
    assert!(
        short > 0 && late == 0,
        "{short} at the slow engine, {late} late"
    );
    let (long, late) = served_with_slow_engine(4.0, 40_000);
    assert_eq!((long, late), (0, 0), "40,000 tokens take 1,630 ms there");
}

/// Guards against choices that follow a single delay: noise of less than half a second in one
/// answer of a short prompt mustn't keep long prompts away from an engine.
#[test]
fn noise_passes_and_lasting_change_shows() {
    let (mut scheduler, now) = trained(2);
    let choice = |scheduler: &mut EngineScheduler<usize>, now: u64| {
        let (key, engine) = place(scheduler, now, &demand("p", 25_000));
        scheduler.record_end(key, PlacementEnd::Completed, now);
        engine
    };
    let mut now = serve_at(&mut scheduler, now, 0, 10_000, 130 + 400) + 10;
    for _ in 0..4 {
        now = serve_at(&mut scheduler, now, 0, 10_000, 130) + 10;
    }
    assert_eq!(choice(&mut scheduler, now), 0, "one late answer of five");
    for _ in 0..4 {
        let ms = prefill_ms(10_000, 4.0);
        now = serve_at(&mut scheduler, now, 0, 10_000, ms) + 10;
    }
    assert_eq!(choice(&mut scheduler, now), 1, "four slow answers in a row");
}

/// Places a demand with the prefix that engine 0 caches behind `pending_tokens` of prefill there.
fn placed_behind(pending_tokens: u64, max_wait_ms: u64) -> usize {
    let (mut scheduler, now) = trained(3);
    let (first, home) = place(&mut scheduler, now, &demand("p", 1_000));
    assert_eq!(home, 0);
    scheduler.prefill_done(first, now + prefill_ms(6_000, 1.0));
    scheduler.record_end(first, PlacementEnd::Completed, now + 100);
    let now = now + 200;
    let ahead = Demand {
        avoid: vec![1, 2],
        shared_tokens: 0,
        prompt_tokens: pending_tokens,
        ..demand("ahead", 0)
    };
    place(&mut scheduler, now, &ahead);
    let demand = Demand {
        max_wait_ms,
        ..demand("p", 1_000)
    };
    place(&mut scheduler, now, &demand).1
}

/// Guards against a prefix that is prefilled again although the engine that caches it would be
/// in time: 20,000 tokens take 200 ms of the 600 ms left, and cost twice as much as the prefix.
#[test]
fn affinity_wins_behind_pending_prefill_while_there_is_a_margin() {
    assert_eq!(placed_behind(20_000, MAX_WAIT_MS), 0);
}

/// Guards against requests that are kept behind pending prefill when a small error of the
/// estimate makes them late: 240 ms of 280 ms left are expected.
#[test]
fn affinity_yields_to_pending_prefill_without_a_margin() {
    assert_ne!(placed_behind(20_000, 140), 0);
}

/// Guards against an unbounded preference: moving is worth it when the pending prefill is large,
/// also with a margin.
#[test]
fn large_pending_prefill_outweighs_a_prefix_with_a_margin() {
    assert_ne!(placed_behind(60_000, 1_500), 0);
}

/// Guards against a prompt length from a caller's header that overflows the expected times, and
/// against one that keeps an engine's estimates wrong after its end.
#[test]
fn absurd_prompt_length_is_bounded() {
    let (mut scheduler, now) = trained(1);
    let absurd = Demand {
        shared_tokens: 0,
        prompt_tokens: u64::MAX,
        ..demand("absurd", 0)
    };
    let keys = [0, 1, 2].map(|_| place(&mut scheduler, now, &absurd).0);
    scheduler.prefill_done(keys[0], now + 50);
    for key in keys {
        scheduler.record_end(key, PlacementEnd::Completed, now + 60);
    }
    assert!(scheduler.is_idle());
}

/// Guards against load that is subtracted from an engine which was listed anew after it was
/// counted.
#[test]
fn placement_from_before_a_new_listing_does_not_change_the_load() {
    let (mut scheduler, now) = trained(2);
    let engine = |key| SchedulableEngine {
        key,
        slots: 64,
        hall: "hall-a".to_string(),
        version: String::new(),
        warm_up: None,
        limit: None,
        max_running: None,
    };
    let long = Demand {
        avoid: vec![1],
        shared_tokens: 0,
        prompt_tokens: 60_000,
        max_wait_ms: 1_500,
        ..demand("long", 0)
    };
    let (before, _) = place(&mut scheduler, now, &long);
    scheduler.set_engines(now, &[engine(1)]);
    scheduler.set_engines(now, &[engine(0), engine(1)]);
    place(&mut scheduler, now, &long);
    scheduler.record_end(before, PlacementEnd::Completed, now);
    let next = Demand {
        avoid: Vec::new(),
        prompt_tokens: 1_000,
        ..long
    };
    let (_, at) = place(&mut scheduler, now, &next);
    assert_eq!(at, 1, "60,000 tokens are pending at engine 0");
}
