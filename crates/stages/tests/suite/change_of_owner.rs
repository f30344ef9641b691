//! What a change of its owner, or an owner that lags, does to a queue.

use hollowsail_stages::{
    BatchQueue, CallEnd, GroupKey, HallKey, Halls, PieceOrder, PoolRules, StartedCall, WorkerKey,
    WorkerState,
};

const WORKERS: usize = 12;
const RESULT_BYTES: u64 = 6_000;

fn rules() -> PoolRules {
    PoolRules {
        running: 1,
        batch: 66,
        call_ms: 150.0,
        piece_ms: 1.9,
        result_bytes: 1_200_000,
    }
}

fn push_group(queue: &mut BatchQueue<()>, group: u64, now: u64) {
    let order = PieceOrder {
        priority: 1,
        due: now + 2_000,
        expires: now + 100_000,
        result_bytes: RESULT_BYTES,
        group: GroupKey(group),
        has_large_inputs: false,
        hall: None,
        halls: Halls::ALL,
    };
    for _ in 0..16 {
        queue.push(order, (), now);
    }
}

fn queue_with_workers() -> (BatchQueue<()>, Vec<WorkerKey>) {
    let mut queue = BatchQueue::new(rules());
    let workers = (0..WORKERS).map(|_| queue.add_worker(HallKey(0))).collect();
    (queue, workers)
}

fn finish(queue: &mut BatchQueue<()>, call: &StartedCall, now: u64) {
    for piece in &call.pieces {
        queue.finish(piece.key);
        queue.release_memory(call.worker, piece.result_bytes);
    }
    queue.end_call(call.call, CallEnd::Answered, now);
}

/// Pieces completed in 10 seconds under a backlog, when each call takes `factor` times as long as usual.
fn completed_pieces(factor: f64) -> usize {
    let (mut queue, _) = queue_with_workers();
    let mut running: Vec<(u64, StartedCall)> = Vec::new();
    let (mut completed, mut group) = (0, 0);
    for now in 0..10_000 {
        while queue.waiting() < 5_000 {
            group += 1;
            push_group(&mut queue, group, now);
        }
        for (_, call) in running.extract_if(.., |(ends, _)| *ends <= now) {
            finish(&mut queue, &call, now);
            completed += call.pieces.len();
        }
        if now % 25 == 0 {
            queue.take_overdue(now, |_| false);
        }
        while let Some(call) = queue.next_call(now) {
            let usual_ms = 150.0 + 1.9 * call.pieces.len() as f64;
            running.push((now + (usual_ms * factor) as u64, call));
        }
    }
    completed
}

/// Guards against a queue that does a tenth of its work because its owner lags, or shares the workers
/// with another owner for a moment.
#[test]
fn workers_that_seem_slow_all_at_once_go_on_with_whole_calls() {
    let possible = completed_pieces(1.0) as f64 / 2.6;
    let completed = completed_pieces(2.6) as f64;
    assert!(
        completed >= 0.9 * possible,
        "{completed} of {possible} pieces"
    );
}

/// Guards against workers that seem full since their state is handed over again and again.
#[test]
fn state_that_is_handed_over_again_counts_once() {
    let (mut queue, workers) = queue_with_workers();
    let state = WorkerState {
        retained_bytes: 400_000,
        busy_ms: 0,
        slowness: 1.0,
    };
    for now in [0, 20, 40, 60] {
        queue.take_over(workers[0], &state, 800, now);
    }
    let known = queue
        .worker_state(workers[0], 60)
        .expect("the worker exists");
    assert!(known.retained_bytes <= 400_000, "{known:?}");
    push_group(&mut queue, 1, 60);
    let call = queue.next_call(60).expect("the workers have memory");
    assert_ne!(call.worker, workers[0], "it has least memory");
}
