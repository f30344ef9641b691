//! The work that workers of different speed get.

use hollowsail_stages::{
    BatchQueue, CallEnd, GroupKey, HallKey, Halls, PieceKey, PieceOrder, PoolRules, StartedCall,
    WorkerKey, WorkerState,
};
use proptest::prelude::*;

const HALL: HallKey = HallKey(0);

/// A whole call takes 140 ms.
fn rules() -> PoolRules {
    PoolRules {
        running: 1,
        batch: 4,
        call_ms: 100.0,
        piece_ms: 10.0,
        result_bytes: 1_000_000,
    }
}

fn order(group: u64, due: u64) -> PieceOrder {
    PieceOrder {
        priority: 1,
        due,
        expires: 100_000,
        result_bytes: 1_000,
        group: GroupKey(group),
        has_large_inputs: false,
        hall: None,
        halls: Halls::ALL,
    }
}

fn push(queue: &mut BatchQueue<u64>, order: PieceOrder, count: usize) -> Vec<PieceKey> {
    (0..count)
        .map(|_| queue.push(order, order.group.0, 0))
        .collect()
}

fn groups(queue: &BatchQueue<u64>, call: &StartedCall) -> Vec<u64> {
    let jobs = call.pieces.iter().filter_map(|piece| queue.job(piece.key));
    jobs.copied().collect()
}

fn finish(queue: &mut BatchQueue<u64>, call: &StartedCall, now: u64) {
    for piece in &call.pieces {
        queue.finish(piece.key);
        queue.release_memory(call.worker, piece.result_bytes);
    }
    queue.end_call(call.call, CallEnd::Answered, now);
}

/// A queue with a usual and a slow worker, by their reports at `now`.
fn usual_and_slow(percent: u32, now: u64) -> (BatchQueue<u64>, WorkerKey, WorkerKey) {
    let mut queue = BatchQueue::new(rules());
    let usual = queue.add_worker(HALL);
    let slow = queue.add_worker(HALL);
    queue.set_reported_speed(usual, 100, now);
    queue.set_reported_speed(slow, percent, now);
    (queue, usual, slow)
}

/// Guards against a slow worker that is kept idle, and against one that makes groups late.
#[test]
fn slow_worker_gets_what_it_can_do_in_time() {
    let (mut queue, usual, slow) = usual_and_slow(400, 0);
    push(&mut queue, order(1, 300), 2);
    push(&mut queue, order(2, 5_000), 2);
    push(&mut queue, order(3, 350), 2);
    push(&mut queue, order(4, 5_000), 2);
    let first = queue.next_call(0).expect("the usual worker is free");
    assert_eq!(
        (first.worker, groups(&queue, &first)),
        (usual, vec![1, 1, 3, 3])
    );
    let second = queue.next_call(0).expect("the slow worker is free");
    assert_eq!(
        (second.worker, groups(&queue, &second)),
        (slow, vec![2, 2, 4, 4])
    );
}

/// Guards against late groups at a slow worker while a faster one ends them sooner.
#[test]
fn slow_worker_leaves_urgent_groups_to_faster_ones() {
    let (mut queue, usual, _) = usual_and_slow(400, 0);
    push(&mut queue, order(1, 150), 4);
    push(&mut queue, order(2, 330), 2);
    let first = queue.next_call(0).expect("the usual worker is free");
    assert_eq!((first.worker, groups(&queue, &first)), (usual, vec![1; 4]));
    assert!(queue.next_call(0).is_none(), "the usual worker is in time");
    finish(&mut queue, &first, 140);
    let next = queue.next_call(140).expect("the usual worker is free");
    assert_eq!((next.worker, groups(&queue, &next)), (usual, vec![2, 2]));
}

/// Guards against a slow worker that idles while the others can't keep up.
#[test]
fn slow_worker_helps_with_a_backlog() {
    let (mut queue, _, slow) = usual_and_slow(400, 0);
    for group in 0..20 {
        push(&mut queue, order(group, 150), 4);
    }
    queue.next_call(0).expect("the usual worker is free");
    let call = queue.next_call(0).expect("the slow worker is free");
    assert_eq!(call.worker, slow);
}

/// Guards against a call that becomes so long by its last group that the first one is late.
#[test]
fn call_of_a_slow_worker_stays_in_time_for_all_groups() {
    let (mut queue, usual, slow) = usual_and_slow(300, 0);
    queue.back_off(usual, 10_000);
    push(&mut queue, order(1, 340), 1);
    push(&mut queue, order(2, 5_000), 1);
    let call = queue.next_call(0).expect("the slow worker is free");
    assert_eq!(call.worker, slow);
    assert_eq!(groups(&queue, &call), [1], "two pieces take 360 ms there");
}

/// Guards against calls of a slow worker that are repeated elsewhere although they are on time
/// there, and against handing over the wrong speed.
#[test]
fn expected_time_follows_the_speed() {
    let (mut queue, usual, slow) = usual_and_slow(300, 0);
    push(&mut queue, order(1, 5_000), 4);
    push(&mut queue, order(2, 5_000), 4);
    queue.next_call(0).expect("the usual worker is free");
    let call = queue.next_call(0).expect("the slow worker is free");
    assert_eq!(call.worker, slow);
    let state = queue.worker_state(slow, 0).expect("the worker exists");
    assert_eq!(state.busy_ms, 420);
    assert!((state.slowness - 3.0).abs() < 0.01, "{state:?}");
    let overdue = queue.take_overdue(700, |_| true);
    assert_eq!(overdue, [usual], "only the usual worker's");
    assert_eq!(queue.take_overdue(840, |_| true), [slow]);
}

/// Guards against a worker whose speed is forgotten with its reports: answers count as well.
#[test]
fn lasting_slowness_shows_within_a_few_answers() {
    let (mut queue, usual, slow) = usual_and_slow(100, 0);
    queue.back_off(usual, 3_000);
    let mut now = 1_000;
    for group in 0..4 {
        push(&mut queue, order(group, 50_000), 4);
        let call = queue.next_call(now).expect("the worker is free");
        assert_eq!(call.worker, slow, "no pause between its calls");
        now += 420;
        finish(&mut queue, &call, now);
    }
    let state = queue.worker_state(slow, now).expect("the worker exists");
    assert!(state.slowness > 2.5, "{state:?}");
}

/// Guards against noise that costs a worker its share of work afterwards.
#[test]
fn noise_leaves_no_trace() {
    let (mut queue, _, noisy) = usual_and_slow(100, 0);
    queue.set_reported_speed(noisy, 500, 100);
    push(&mut queue, order(1, 5_000), 4);
    let call = queue.next_call(100).expect("a worker is free");
    assert_ne!(call.worker, noisy, "it is slow now");
    finish(&mut queue, &call, 240);
    let state = |queue: &BatchQueue<u64>, now| queue.worker_state(noisy, now);
    let slowness = |state: Option<WorkerState>| state.expect("the worker exists").slowness;
    assert!(slowness(state(&queue, 110)) > 4.0);
    assert!((slowness(state(&queue, 700)) - 1.0).abs() < 0.01);
}

/// Guards against a change of speed for queues whose workers don't report any.
#[test]
fn without_reports_the_expected_time_is_usual() {
    let mut queue = BatchQueue::new(rules());
    let worker = queue.add_worker(HALL);
    push(&mut queue, order(1, 5_000), 4);
    let call = queue.next_call(0).expect("the worker is free");
    finish(&mut queue, &call, 280);
    push(&mut queue, order(2, 5_000), 4);
    queue.next_call(280).expect("the worker is free");
    let state = queue.worker_state(worker, 280).expect("the worker exists");
    assert_eq!(state.busy_ms, 140);
}

/// Guards against a queue whose pieces wait although a worker, however slow, is free.
#[test]
fn only_worker_takes_everything() {
    let mut queue = BatchQueue::new(rules());
    let only = queue.add_worker(HALL);
    queue.set_reported_speed(only, 10_000, 0);
    push(&mut queue, order(1, 200), 2);
    push(&mut queue, order(2, 10), 2);
    let call = queue.next_call(0).expect("the worker is free");
    assert!(!call.pieces.is_empty());
}

/// Guards against pieces that wait for a faster worker whose call hangs.
#[test]
fn slow_worker_takes_over_when_the_faster_hangs() {
    let (mut queue, usual, slow) = usual_and_slow(400, 0);
    push(&mut queue, order(1, 150), 4);
    let hanging = queue.next_call(0).expect("the usual worker is free");
    assert_eq!(hanging.worker, usual);
    let now = 1_000;
    queue.set_reported_speed(slow, 400, now);
    push(&mut queue, order(2, now + 300), 1);
    let call = queue.next_call(now).expect("the slow worker is free");
    assert_eq!((call.worker, groups(&queue, &call)), (slow, vec![2]));
}

/// Guards against a slow worker that waits for a faster one which may not have the piece yet.
#[test]
fn slow_worker_of_the_preferred_hall_does_not_wait_for_another_hall() {
    let mut queue = BatchQueue::new(rules());
    let elsewhere = queue.add_worker(HallKey(1));
    let slow = queue.add_worker(HALL);
    queue.set_reported_speed(elsewhere, 100, 0);
    queue.set_reported_speed(slow, 150, 0);
    let preferring = PieceOrder {
        hall: Some(HALL),
        ..order(1, 150)
    };
    push(&mut queue, preferring, 1);
    let call = queue.next_call(0).expect("the slow worker is free");
    assert_eq!(call.worker, slow);
}

/// Groups with their number of pieces, and their due times.
fn any_groups() -> impl Strategy<Value = Vec<(usize, u64)>> {
    prop::collection::vec((1usize..8, 0u64..3_000), 1..40)
}

proptest! {
    /// Guards against pieces that wait for each other's workers: whatever the speeds and due
    /// times, some call is in progress while pieces wait, and all are completed.
    #[test]
    fn queue_never_idles_with_waiting_pieces(
        percents in prop::collection::vec(20u32..1_500, 1..6),
        groups in any_groups(),
    ) {
        let mut queue = BatchQueue::new(rules());
        let workers: Vec<WorkerKey> = percents.iter().map(|_| queue.add_worker(HALL)).collect();
        for (group, (pieces, due)) in groups.iter().enumerate() {
            push(&mut queue, order(group as u64, *due), *pieces);
        }
        let mut now = 0;
        let mut calls: Vec<(u64, StartedCall)> = Vec::new();
        while queue.waiting() > 0 {
            for (worker, percent) in workers.iter().zip(&percents) {
                queue.set_reported_speed(*worker, *percent, now);
            }
            while let Some(call) = queue.next_call(now) {
                let index = workers.iter().position(|worker| *worker == call.worker);
                let percent = percents[index.expect("the worker is known")];
                let usual_ms = 100 + 10 * call.pieces.len() as u64;
                calls.push((now + usual_ms * u64::from(percent) / 100, call));
            }
            prop_assert!(!calls.is_empty(), "{} pieces wait at {now}", queue.waiting());
            calls.sort_by_key(|(ends, _)| *ends);
            let (ends, call) = calls.remove(0);
            now = ends.max(now);
            finish(&mut queue, &call, now);
        }
    }
}
