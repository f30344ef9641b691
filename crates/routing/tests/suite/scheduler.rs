//! The scheduler that places generations on engines.

use hollowsail_routing::{
    Demand, EngineScheduler, PlacementEnd, PlacementKey, SchedulableEngine, Versions,
};
use proptest::prelude::*;

fn scheduler(engines: &[&'static str]) -> EngineScheduler<&'static str> {
    let mut scheduler = EngineScheduler::default();
    let engines: Vec<SchedulableEngine<&'static str>> = engines
        .iter()
        .map(|key| SchedulableEngine {
            key: *key,
            slots: 64,
            hall: format!("hall-{key}"),
            version: String::new(),
            warm_up: None,
            limit: None,
            max_running: None,
        })
        .collect();
    scheduler.set_engines(0, &engines);
    scheduler
}

fn demand(part: &str) -> Demand<&'static str> {
    Demand {
        from_hall: "hall-a".to_string(),
        part: part.to_string(),
        shared_tokens: 10_000,
        prompt_tokens: 12_000,
        avoid: Vec::new(),
        versions: Versions::All,
        halls: None,
        results: Vec::new(),
        is_suspect: false,
        urgency: 0,
        max_wait_ms: 0,
    }
}

/// Rendezvous order in which engine `c` is first for every part.
fn order(key: &&'static str) -> u64 {
    u64::from(key.as_bytes()[0])
}

fn place(
    scheduler: &mut EngineScheduler<&'static str>,
    now: u64,
    part: &str,
) -> (PlacementKey, &'static str) {
    scheduler
        .place(now, &demand(part), order)
        .expect("an engine is chosen")
}

#[test]
fn requests_follow_the_cached_prefix() {
    let mut scheduler = scheduler(&["a", "b", "c"]);
    let (key, first) = place(&mut scheduler, 0, "p");
    assert_eq!(first, "c");
    scheduler.prefill_done(key, 200);
    assert_eq!(place(&mut scheduler, 300, "p").1, "c");
}

#[test]
fn busy_engine_is_passed_over() {
    let mut scheduler = scheduler(&["a", "b", "c"]);
    let busy: Vec<_> = (0..6)
        .map(|n| place(&mut scheduler, 0, &format!("p{n}")).1)
        .collect();
    let at_c = busy.iter().filter(|engine| **engine == "c").count();
    assert!(
        (2..=4).contains(&at_c),
        "requests must spread beyond the first engine: {busy:?}"
    );
}

#[test]
fn finished_prefill_no_longer_counts() {
    let mut scheduler = scheduler(&["a", "c"]);
    let keys: Vec<_> = (0..8)
        .map(|n| place(&mut scheduler, 0, &format!("p{n}")).0)
        .collect();
    keys.iter()
        .for_each(|key| scheduler.prefill_done(*key, 400));
    assert_eq!(
        place(&mut scheduler, 500, "new").1,
        "c",
        "no prefill is pending there"
    );
}

#[test]
fn avoid_list_and_result_halls_are_respected() {
    let mut scheduler = scheduler(&["a", "b", "c"]);
    let avoiding = Demand {
        avoid: vec!["c"],
        ..demand("p")
    };
    assert_eq!(
        scheduler
            .place(0, &avoiding, order)
            .map(|(_, engine)| engine),
        Some("b")
    );
    let all_tried = Demand {
        avoid: vec!["a", "b", "c"],
        ..demand("p")
    };
    assert!(scheduler.place(0, &all_tried, order).is_none());
    let short = Demand {
        shared_tokens: 100,
        prompt_tokens: 200,
        results: vec![("hall-a".into(), 9_000_000)],
        is_suspect: false,
        urgency: 0,
        max_wait_ms: 0,
        ..demand("q")
    };
    assert_eq!(
        scheduler.place(0, &short, order).map(|(_, engine)| engine),
        Some("a")
    );
}

/// Places a demand from a hall and ends it at once; returns the engine and those ejected.
fn end_from(
    scheduler: &mut EngineScheduler<&'static str>,
    now: u64,
    hall: &str,
    end: PlacementEnd,
) -> (&'static str, Vec<&'static str>) {
    let demand = Demand {
        from_hall: hall.to_string(),
        ..demand("p")
    };
    let (key, engine) = scheduler
        .place(now, &demand, order)
        .expect("an engine is chosen");
    if end == PlacementEnd::Completed {
        scheduler.prefill_done(key, now + 100);
    }
    (engine, scheduler.record_end(key, end, now + 100))
}

#[test]
fn engine_failing_one_hall_serves_others() {
    let mut scheduler = scheduler(&["a", "b", "c"]);
    end_from(&mut scheduler, 0, "hall-b", PlacementEnd::Completed);
    for n in 0..3 {
        let (engine, ejected) = end_from(&mut scheduler, 10 + n, "hall-a", PlacementEnd::Failed);
        assert_eq!((engine, ejected.len()), ("c", usize::from(n == 2)));
    }
    let (for_a, _) = end_from(&mut scheduler, 200, "hall-a", PlacementEnd::Completed);
    assert_ne!(for_a, "c", "ejected for this hall");
    let (for_b, _) = end_from(&mut scheduler, 200, "hall-b", PlacementEnd::Completed);
    assert_eq!(for_b, "c", "not ejected for this hall");
}

#[test]
fn engine_failing_two_halls_is_ejected_for_all() {
    let mut scheduler = scheduler(&["a", "b", "c"]);
    for (n, hall) in ["hall-a", "hall-b", "hall-a"].into_iter().enumerate() {
        let (engine, _) = end_from(&mut scheduler, n as u64, hall, PlacementEnd::Failed);
        assert_eq!(engine, "c");
    }
    let (for_c, _) = end_from(&mut scheduler, 200, "hall-c", PlacementEnd::Completed);
    assert_ne!(for_c, "c", "ejected without failures from this hall");
}

#[test]
fn ejected_engine_returns_after_its_time() {
    let mut scheduler = scheduler(&["a", "b", "c"]);
    let mut ejected = Vec::new();
    for n in 0..3 {
        let (key, engine) = place(&mut scheduler, n, "p");
        assert_eq!(engine, "c");
        ejected.extend(scheduler.record_end(key, PlacementEnd::Failed, n));
    }
    assert_eq!(ejected, ["c"]);
    assert_ne!(place(&mut scheduler, 10, "p").1, "c");
    assert_eq!(
        place(&mut scheduler, 3_000, "r").1,
        "c",
        "the ejection has ended"
    );
}

#[test]
fn timeouts_eject_a_silent_engine() {
    let mut scheduler = scheduler(&["a", "b", "c"]);
    let mut ejected = Vec::new();
    for n in 0..3 {
        let (key, _) = scheduler
            .place(
                n,
                &Demand {
                    avoid: vec!["a", "b"],
                    ..demand("p")
                },
                order,
            )
            .expect("engine c is chosen");
        ejected.extend(scheduler.record_end(key, PlacementEnd::Abandoned, n + 4_000));
    }
    assert_eq!(ejected, ["c"]);
}

#[test]
fn cached_prefix_survives_an_abandoned_request() {
    let mut scheduler = scheduler(&["a", "b", "c"]);
    let not_c = Demand {
        avoid: vec!["c"],
        ..demand("p")
    };
    let (key, engine) = scheduler
        .place(0, &not_c, order)
        .expect("an engine is chosen");
    assert_eq!(engine, "b");
    scheduler.prefill_done(key, 200);
    scheduler.record_end(key, PlacementEnd::Completed, 900);
    let (key, engine) = place(&mut scheduler, 1_000, "p");
    assert_eq!(engine, "b", "it caches the prefix");
    scheduler.record_end(key, PlacementEnd::Abandoned, 1_001);
    assert_eq!(
        place(&mut scheduler, 1_100, "p").1,
        "b",
        "it still caches the prefix"
    );
}

#[test]
fn stale_prefill_is_dropped() {
    let mut scheduler = scheduler(&["c"]);
    place(&mut scheduler, 0, "p");
    assert!(!scheduler.is_idle());
    scheduler.sweep(15_000);
    assert!(scheduler.is_idle());
}

#[test]
fn at_most_half_of_the_engines_are_ejected() {
    let mut scheduler = scheduler(&["a", "b", "c", "d"]);
    let mut ejected = Vec::new();
    for n in 0..40 {
        let (key, _) = place(&mut scheduler, n, &format!("p{n}"));
        ejected.extend(scheduler.record_end(key, PlacementEnd::Failed, n));
    }
    assert_eq!(ejected.len(), 2);
}

proptest! {
    /// No sequence of events leaves load accounted to an engine after its placements ended.
    #[test]
    fn ended_placements_leave_no_load(steps in prop::collection::vec((0u8..6, any::<usize>()), 1..200)) {
        let mut scheduler = scheduler(&["a", "b", "c"]);
        let mut open: Vec<PlacementKey> = Vec::new();
        let mut now = 0;
        for (step, pick) in steps {
            now += 7;
            match step {
                0..=2 => open.push(place(&mut scheduler, now, &format!("p{}", pick % 5)).0),
                3 => {
                    if !open.is_empty() {
                        scheduler.prefill_done(open[pick % open.len()], now);
                    }
                }
                _ => {
                    if !open.is_empty() {
                        let key = open.swap_remove(pick % open.len());
                        let ends = [PlacementEnd::Completed, PlacementEnd::Abandoned, PlacementEnd::Failed];
                        scheduler.record_end(key, ends[pick % 3], now);
                    }
                }
            }
        }
        for key in open {
            scheduler.record_end(key, PlacementEnd::Completed, now);
        }
        prop_assert!(scheduler.is_idle());
    }
}

fn suspect() -> Demand<&'static str> {
    Demand {
        is_suspect: true,
        urgency: 0,
        max_wait_ms: 0,
        ..demand("p")
    }
}

#[test]
fn suspects_are_isolated() {
    let mut scheduler = scheduler(&["a", "b", "c", "d", "e"]);
    let place = |scheduler: &mut EngineScheduler<&'static str>, demand: &Demand<&'static str>| {
        let placed = scheduler.place(0, demand, order);
        placed.expect("an engine is chosen")
    };
    for _ in 0..12 {
        place(&mut scheduler, &demand("p"));
    }
    let idle = place(&mut scheduler, &suspect());
    let other = place(&mut scheduler, &suspect());
    assert_ne!(idle.1, other.1, "two suspects never share an engine");
    scheduler.record_end(other.0, PlacementEnd::Abandoned, 0);
    for number in 0..20 {
        let (_, engine) = place(&mut scheduler, &demand(&format!("p{number}")));
        assert_ne!(engine, idle.1, "placed beside a suspect");
    }
    scheduler.record_end(idle.0, PlacementEnd::Completed, 0);
    let engines = (0..20).map(|number| place(&mut scheduler, &demand(&format!("q{number}"))).1);
    let engines: Vec<&str> = engines.collect();
    assert!(
        engines.contains(&idle.1),
        "the engine is used again after the suspect ended"
    );
}

#[test]
fn no_isolation_if_most_engines_run_suspects() {
    let mut scheduler = scheduler(&["a", "b"]);
    let (_, taken) = scheduler
        .place(0, &suspect(), order)
        .expect("an engine is chosen");
    let engines = (0..10).map(|number| {
        let placed = scheduler.place(0, &demand(&format!("p{number}")), order);
        placed.expect("an engine is chosen").1
    });
    let engines: Vec<&str> = engines.collect();
    assert!(
        engines.contains(&taken),
        "half of the engines must not be reserved"
    );
}

/// A restarted engine has a new incarnation and an empty cache.
#[test]
fn restarted_engine_caches_no_prefix() {
    let engine = |id: &'static str, started: u64| SchedulableEngine {
        key: (id, started),
        slots: 64,
        hall: "hall-a".to_string(),
        version: String::new(),
        warm_up: None,
        limit: None,
        max_running: None,
    };
    let demand: Demand<(&str, u64)> = Demand {
        from_hall: "hall-a".to_string(),
        part: "p".to_string(),
        shared_tokens: 10_000,
        prompt_tokens: 12_000,
        avoid: Vec::new(),
        versions: Versions::All,
        halls: None,
        results: Vec::new(),
        is_suspect: false,
        urgency: 0,
        max_wait_ms: 0,
    };
    let prefers = |id: &'static str| move |key: &(&str, u64)| u64::from(key.0 == id);
    let next_after = |restarted: &[SchedulableEngine<(&'static str, u64)>]| {
        let mut scheduler = EngineScheduler::default();
        scheduler.set_engines(0, &[engine("a", 1), engine("b", 1)]);
        let (first, _) = scheduler
            .place(0, &demand, prefers("a"))
            .expect("an engine is chosen");
        scheduler.prefill_done(first, 100);
        scheduler.record_end(first, PlacementEnd::Completed, 150);
        scheduler.set_engines(200, restarted);
        scheduler
            .place(200, &demand, prefers("b"))
            .expect("an engine is chosen")
            .1
    };
    assert_eq!(
        next_after(&[engine("a", 1), engine("b", 1)]),
        ("a", 1),
        "the prefix is cached on a"
    );
    assert_eq!(next_after(&[engine("a", 2), engine("b", 1)]), ("b", 1));
}
