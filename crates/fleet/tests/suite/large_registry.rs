//! Tests of the target registry with the records of a whole fleet.

use std::time::Duration;

use hollowsail_fleet::{Position, RecordMeta, RegistryTiming, TargetRegistry};
use rustix::time::{clock_gettime, ClockId};

const TIMING: RegistryTiming = RegistryTiming {
    return_ms: 2_000,
    lost_ms: 3_000,
    expiry_ms: 5_000,
};

/// Maximum ratio of the durations for four times as many records: linear, with a margin for
/// cache misses.
const MAX_RATIO: f64 = 4.0 * 2.2;

fn ids(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("i-{index:016x}")).collect()
}

/// Processor time of this thread. Beside other work, wall time also measures preemption, which
/// hits the longer run more often.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The shortest of five durations of `change` on a registry with `count` records.
fn min_duration(count: usize, change: fn(&mut TargetRegistry<u32>, &[&str])) -> Duration {
    let ids = ids(count);
    let mut registry = TargetRegistry::new(TIMING);
    for id in &ids {
        let meta = RecordMeta {
            at: Position::new(0, 1),
            incarnation: 0,
            draining: false,
        };
        registry.put(id, meta, 1);
    }
    let present: Vec<&str> = ids.iter().map(String::as_str).collect();
    let runs = (0..5).map(|_| {
        let started = processor_time();
        change(&mut registry, &present);
        processor_time() - started
    });
    runs.min().unwrap_or_default()
}

fn assert_linear(change: fn(&mut TargetRegistry<u32>, &[&str])) {
    let (few, many) = (min_duration(2_500, change), min_duration(10_000, change));
    let ratio = many.as_secs_f64() / few.as_secs_f64();
    assert!(ratio < MAX_RATIO, "{few:?} and {many:?}: ratio {ratio:.1}");
}

#[test]
fn reconcile_takes_linear_time() {
    assert_linear(|registry, present| {
        assert!(registry
            .reconcile(present, Position::new(0, 2), 0)
            .is_empty());
    });
}

#[test]
fn adopt_takes_linear_time() {
    assert_linear(|registry, present| {
        assert!(registry.adopt(present, Position::new(0, 2), 0).is_empty());
    });
}

#[test]
fn every_entry_change_is_counted() {
    let mut registry = TargetRegistry::new(TIMING);
    let meta = |revision, draining| RecordMeta {
        at: Position::new(0, revision),
        incarnation: 0,
        draining,
    };
    let mut seen = vec![registry.change_count()];
    registry.put("a", meta(1, false), 1);
    seen.push(registry.change_count());
    registry.put("a", meta(2, true), 1);
    seen.push(registry.change_count());
    registry.put("b", meta(3, false), 1);
    seen.push(registry.change_count());
    registry.apply_deletion("b", Position::new(0, 4), true);
    seen.push(registry.change_count());
    registry.settle(10);
    seen.push(registry.change_count());
    registry.mark_malformed("a", Position::new(0, 5));
    seen.push(registry.change_count());
    seen.dedup();
    assert_eq!(seen.len(), 7, "{seen:?}");
    registry.reconcile(&[], Position::new(0, 6), 20);
    assert_eq!(
        seen.last(),
        Some(&registry.change_count()),
        "the registry was already empty"
    );
}
