//! Requests at engines that must not refuse any.

use hollowsail_routing::{
    Demand, EngineScheduler, LimitShare, Millis, PlacementEnd, PlacementKey, SchedulableEngine,
    Versions,
};

use crate::limit::{demand, scheduler};

const SLOTS: u32 = 8;

fn engine(key: &'static str, max_running: Option<u32>) -> SchedulableEngine<&'static str> {
    SchedulableEngine {
        key,
        slots: SLOTS,
        hall: "hall-a".to_string(),
        version: String::new(),
        warm_up: None,
        limit: None,
        max_running,
    }
}

/// Places demands until no engine is open, 100 at most.
fn place_all(scheduler: &mut EngineScheduler<&'static str>, now: Millis) -> Vec<PlacementKey> {
    let place = || Some(scheduler.place(now, &demand(Vec::new()), |_| 0)?.0);
    std::iter::from_fn(place).take(100).collect()
}

fn end_all(scheduler: &mut EngineScheduler<&'static str>, now: Millis, placed: Vec<PlacementKey>) {
    for key in placed {
        scheduler.record_end(key, PlacementEnd::Completed, now);
    }
}

#[test]
fn engine_that_must_not_refuse_gets_no_more_than_it_runs() {
    let mut scheduler = scheduler(&[engine("one", Some(SLOTS)), engine("two", Some(SLOTS))]);
    let mut placed = place_all(&mut scheduler, 0);
    assert_eq!(placed.len(), 2 * SLOTS as usize);
    let ended = placed.split_off(13);
    end_all(&mut scheduler, 50, ended);
    assert_eq!(place_all(&mut scheduler, 50).len(), 3);
}

#[test]
fn engine_without_this_limit_takes_the_excess() {
    let mut scheduler = scheduler(&[engine("one", Some(SLOTS)), engine("two", None)]);
    assert_eq!(place_all(&mut scheduler, 0).len(), 100);
}

/// Requests that its predecessor placed may still run.
#[test]
fn recent_owner_uses_half_of_the_room() {
    let mut scheduler = scheduler(&[engine("one", Some(SLOTS))]);
    scheduler.set_limit_share(LimitShare::owned_for(0));
    assert_eq!(place_all(&mut scheduler, 0).len(), SLOTS as usize / 2);
}

#[test]
fn engine_that_refused_rests_and_then_its_room_grows() {
    let mut scheduler = scheduler(&[engine("one", Some(SLOTS))]);
    let mut placed = place_all(&mut scheduler, 0);
    let ended = placed.split_off(5);
    scheduler.record_refusal(&"one", 10);
    end_all(&mut scheduler, 20, ended);
    assert!(place_all(&mut scheduler, 1_009).is_empty(), "it rests");
    assert_eq!(place_all(&mut scheduler, 1_010).len(), 2, "7 at once");
    assert_eq!(place_all(&mut scheduler, 1_259).len(), 0);
    assert_eq!(place_all(&mut scheduler, 1_260).len(), 1, "8 again");
}

#[test]
fn wait_for_a_full_engine_follows_its_rate() {
    let mut scheduler = scheduler(&[engine("one", Some(SLOTS))]);
    assert!(scheduler
        .queue_estimate(0, &demand(Vec::new()), 0)
        .is_some());
    for now in (0..4_000).step_by(200) {
        let placed = place_all(&mut scheduler, now);
        end_all(&mut scheduler, now + 200, placed);
    }
    place_all(&mut scheduler, 4_000);
    let estimate = scheduler.queue_estimate(4_000, &demand(Vec::new()), 80);
    let estimate = estimate.expect("it is closed only by its room");
    assert!((38.0..=42.0).contains(&estimate.per_s), "{estimate:?}");
    assert!((1_900..=2_200).contains(&estimate.wait_ms), "{estimate:?}");
}

#[test]
fn lifted_limit_opens_the_engine_at_once() {
    let mut scheduler = scheduler(&[engine("one", Some(SLOTS))]);
    place_all(&mut scheduler, 0);
    scheduler.record_refusal(&"one", 10);
    scheduler.set_engines(20, &[engine("one", None)]);
    assert_eq!(place_all(&mut scheduler, 20).len(), 100);
}

#[test]
fn demand_of_one_version_waits_while_another_has_room() {
    let version = |key, version: &str| SchedulableEngine {
        version: version.to_string(),
        ..engine(key, Some(1))
    };
    let mut scheduler = scheduler(&[version("old", "v1"), version("new", "v2")]);
    let only_old = Demand {
        versions: Versions::Only("v1".to_string()),
        ..demand(Vec::new())
    };
    let (first, _) = scheduler.place(0, &only_old, |_| 0).expect("it is open");
    assert_eq!(scheduler.place(10, &only_old, |_| 0), None);
    assert!(scheduler.queue_estimate(10, &only_old, 0).is_some());
    scheduler.record_end(first, PlacementEnd::Completed, 20);
    let placed = scheduler.place(20, &only_old, |_| 0);
    assert_eq!(placed.map(|(_, engine)| engine), Some("old"));
}
