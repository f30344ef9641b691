//! Tests for workers with a rate limit.

use hollowsail_routing::limit::SETTLED_AFTER_MS;
use hollowsail_routing::LimitShare;
use hollowsail_stages::{
    BatchQueue, CallEnd, GroupKey, HallKey, Halls, PieceOrder, PoolRules, WorkerKey,
};

const HERE: HallKey = HallKey(0);

fn queue() -> BatchQueue<()> {
    let mut queue = BatchQueue::new(PoolRules {
        running: 1,
        batch: 1,
        call_ms: 50.0,
        piece_ms: 0.0,
        result_bytes: 1_000_000,
    });
    queue.set_limit_share(LimitShare::owned_for(SETTLED_AFTER_MS));
    queue
}

fn push(queue: &mut BatchQueue<()>, group: u64, now: u64) {
    let order = PieceOrder {
        priority: 1,
        due: now + 10_000,
        expires: now + 20_000,
        result_bytes: 1_000,
        group: GroupKey(group),
        has_large_inputs: false,
        hall: None,
        halls: Halls::ALL,
    };
    queue.push(order, (), now);
}

/// Runs the queue for ten seconds; returns the worker of each call and the number of
/// releases. Every call takes 50 ms, and its result memory is released at once.
fn run_calls(queue: &mut BatchQueue<()>, with_releases: bool) -> (Vec<WorkerKey>, usize) {
    let (mut calls, mut releases, mut release_pending) = (Vec::new(), 0, false);
    let mut running = Vec::new();
    for now in (0..10_000).step_by(10) {
        push(queue, now, now);
        running.retain(|(until, call, worker)| {
            let has_ended = *until <= now;
            if has_ended {
                queue.end_call(*call, CallEnd::Answered, now);
                queue.release_memory(*worker, 1_000);
                release_pending |= with_releases;
            }
            !has_ended
        });
        if let Some(worker) = calls.last().filter(|_| release_pending) {
            let allowed = queue.try_start_release(*worker, now);
            releases += usize::from(allowed);
            release_pending = !allowed;
        }
        while let Some(started) = queue.next_call(now) {
            queue.finish(started.pieces[0].key);
            running.push((now + 50, started.call, started.worker));
            calls.push(started.worker);
        }
    }
    (calls, releases)
}

#[test]
fn limited_worker_gets_calls_at_its_limit() {
    let mut queue = queue();
    let (limited, unlimited) = (queue.add_worker(HERE), queue.add_worker(HERE));
    queue.set_limit(limited, Some(2.0));
    let (calls, _) = run_calls(&mut queue, false);
    let calls_to = |worker| calls.iter().filter(|called| **called == worker).count();
    assert!(
        (18..=22).contains(&calls_to(limited)),
        "{}",
        calls_to(limited)
    );
    assert!(calls_to(unlimited) > 150, "{}", calls_to(unlimited));
}

#[test]
fn releases_count_and_leave_most_calls_to_work() {
    let mut queue = queue();
    let limited = queue.add_worker(HERE);
    queue.set_limit(limited, Some(4.0));
    let (calls, releases) = run_calls(&mut queue, true);
    assert!(
        calls.len() + releases <= 42,
        "{} and {releases}",
        calls.len()
    );
    assert!(calls.len() >= 28, "{} and {releases}", calls.len());
    assert!(releases >= 4, "too few releases: {releases}");
}

#[test]
fn load_slots_reflect_worker_limits() {
    let mut queue = queue();
    let worker = queue.add_worker(HERE);
    let before = queue.load(0).slots;
    queue.set_limit(worker, Some(2.0));
    let limited = queue.load(0).slots;
    assert!(limited < before * 0.3, "{limited} slots of {before}");
    queue.set_limit(worker, Some(300.0));
    assert_eq!(queue.load(0).slots, before);
}
