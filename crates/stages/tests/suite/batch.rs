//! Tests for batching: which pieces share a call, and which worker gets it.

use std::time::{Duration, Instant};

use hollowsail_stages::{
    BatchQueue, CallEnd, GroupKey, HallKey, Halls, PieceKey, PieceOrder, PoolRules, QueueOrder,
    StartedCall, WorkerKey, WorkerState,
};

const HERE: HallKey = HallKey(0);
const THERE: HallKey = HallKey(1);

fn rules() -> PoolRules {
    PoolRules {
        running: 1,
        batch: 4,
        call_ms: 100.0,
        piece_ms: 10.0,
        result_bytes: 1_000_000,
    }
}

fn order(group: u64) -> PieceOrder {
    PieceOrder {
        priority: 1,
        due: 10_000,
        expires: 20_000,
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

/// Groups of the pieces of a call.
fn groups(queue: &BatchQueue<u64>, call: &StartedCall) -> Vec<u64> {
    let jobs = call.pieces.iter().filter_map(|piece| queue.job(piece.key));
    jobs.copied().collect()
}

/// Completes every piece of a call and releases the results.
fn finish(queue: &mut BatchQueue<u64>, call: &StartedCall, now: u64) {
    for piece in &call.pieces {
        queue.finish(piece.key);
        queue.release_memory(call.worker, piece.result_bytes);
    }
    queue.end_call(call.call, CallEnd::Answered, now);
}

/// Completes every piece of a call; the worker retains the results.
fn finish_retaining_results(queue: &mut BatchQueue<u64>, call: &StartedCall, now: u64) {
    for piece in &call.pieces {
        queue.finish(piece.key);
    }
    queue.end_call(call.call, CallEnd::Answered, now);
}

#[test]
fn requests_share_a_call() {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    push(&mut queue, order(1), 2);
    push(&mut queue, order(2), 2);
    push(&mut queue, order(3), 1);
    let call = queue.next_call(0).expect("a worker is free");
    assert_eq!(groups(&queue, &call), [1, 1, 2, 2]);
    assert!(queue.next_call(0).is_none(), "one call at a time");
    finish(&mut queue, &call, 140);
    let call = queue.next_call(140).expect("the worker is free again");
    assert_eq!(groups(&queue, &call), [3]);
}

#[test]
fn urgent_pieces_first_late_pieces_last() {
    let mut queue = BatchQueue::new(PoolRules {
        batch: 1,
        ..rules()
    });
    queue.add_worker(HERE);
    push(&mut queue, PieceOrder { due: 5, ..order(1) }, 1);
    push(&mut queue, order(2), 1);
    push(
        &mut queue,
        PieceOrder {
            priority: 0,
            ..order(3)
        },
        1,
    );
    let mut served = Vec::new();
    for round in 0..3 {
        let now = round * 110;
        let call = queue.next_call(now).expect("a worker is free");
        served.extend(groups(&queue, &call));
        finish(&mut queue, &call, now + 110);
    }
    assert_eq!(served, [3, 2, 1]);
}

#[test]
fn late_piece_holding_inputs_goes_first() {
    let mut queue = BatchQueue::new(PoolRules {
        batch: 1,
        ..rules()
    });
    queue.add_worker(HERE);
    push(&mut queue, order(1), 1);
    let late = PieceOrder {
        due: 5,
        has_large_inputs: true,
        ..order(2)
    };
    push(&mut queue, late, 1);
    let call = queue.next_call(0).expect("a worker is free");
    assert_eq!(groups(&queue, &call), [2]);
}

#[test]
fn large_group_is_not_split() {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    let large = |group| PieceOrder {
        result_bytes: 300_000,
        ..order(group)
    };
    push(&mut queue, large(1), 2);
    push(&mut queue, large(2), 2);
    let call = queue.next_call(0).expect("a worker is free");
    assert_eq!(
        groups(&queue, &call),
        [1, 1],
        "600 kB of 950 kB are used; 600 kB more don't fit"
    );
}

#[test]
fn released_memory_is_reserved_for_first_group() {
    let mut queue = BatchQueue::new(PoolRules {
        running: 2,
        ..rules()
    });
    queue.add_worker(HERE);
    let large = |group| PieceOrder {
        result_bytes: 400_000,
        ..order(group)
    };
    push(&mut queue, large(1), 2);
    let first = queue.next_call(0).expect("the group fits");
    push(&mut queue, large(2), 2);
    push(
        &mut queue,
        PieceOrder {
            result_bytes: 100_000,
            ..order(3)
        },
        1,
    );
    push(&mut queue, order(4), 1);
    let second = queue.next_call(0).expect("a small result fits");
    assert_eq!(
        groups(&queue, &second),
        [4],
        "group 3 would take memory reserved for group 2"
    );
    finish(&mut queue, &second, 10);
    finish(&mut queue, &first, 100);
    let third = queue.next_call(100).expect("there is enough memory");
    assert_eq!(groups(&queue, &third)[..2], [2, 2]);
}

/// Two workers have about half of their memory free; the first group fits at neither, the
/// second at both.
#[test]
fn memory_is_reserved_at_one_worker_only() {
    let mut queue = BatchQueue::new(PoolRules {
        running: 2,
        ..rules()
    });
    let sized = |group, result_bytes| PieceOrder {
        result_bytes,
        ..order(group)
    };
    let reserving = queue.add_worker(HERE);
    push(&mut queue, sized(1, 400_000), 1);
    queue.next_call(0).expect("the group fits");
    let other = queue.add_worker(HERE);
    push(&mut queue, sized(2, 500_000), 1);
    let second = queue
        .next_call(0)
        .expect("the idle worker has the lower score");
    assert_eq!(second.worker, other);
    push(&mut queue, sized(3, 350_000), 2);
    push(&mut queue, sized(4, 300_000), 1);
    let third = queue
        .next_call(0)
        .expect("group 4 fits at the worker without a reservation");
    assert_eq!(third.worker, other);
    assert_eq!(groups(&queue, &third), [4]);
    assert!(
        queue.next_call(0).is_none(),
        "the other worker's memory is reserved for group 3"
    );
    queue.release_memory(reserving, 400_000);
    let fourth = queue.next_call(1).expect("there is enough memory");
    assert_eq!(groups(&queue, &fourth), [3, 3]);
}

#[test]
fn failing_worker_reserves_no_memory() {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    push(&mut queue, order(1), 1);
    let failed = queue.next_call(0).expect("a worker is free");
    queue.end_call(failed.call, CallEnd::Failed, 5);
    let working = queue.add_worker(HERE);
    let large = |group, result_bytes| PieceOrder {
        result_bytes,
        ..order(group)
    };
    push(&mut queue, large(2, 600_000), 1);
    let first = queue.next_call(10).expect("the other worker is free");
    finish_retaining_results(&mut queue, &first, 20);
    push(&mut queue, large(3, 300_000), 2);
    push(&mut queue, large(4, 300_000), 1);
    assert!(
        queue.next_call(30).is_none(),
        "the memory is reserved for group 3"
    );
    queue.release_memory(working, 600_000);
    let next = queue.next_call(40).expect("there is enough memory");
    assert_eq!(groups(&queue, &next), [3, 3, 4]);
}

#[test]
fn full_worker_gets_only_small_results() {
    let mut queue = BatchQueue::new(rules());
    let worker = queue.add_worker(HERE);
    queue.mark_memory_full(worker, 300_000, 100, 0);
    push(
        &mut queue,
        PieceOrder {
            result_bytes: 300_000,
            ..order(1)
        },
        1,
    );
    assert!(queue.next_call(0).is_none());
    assert!(queue.next_call(100).is_some());
}

// Guards against calls in short intervals to a worker that is full of results of an earlier owner.
#[test]
fn worker_that_stays_full_is_tried_less_and_less_often() {
    let mut queue = BatchQueue::new(rules());
    let worker = queue.add_worker(HERE);
    let order = PieceOrder {
        result_bytes: 20_000,
        ..order(1)
    };
    push(&mut queue, order, 1);
    let mut calls = Vec::new();
    for now in (0..4_000).step_by(10) {
        let Some(call) = queue.next_call(now) else {
            continue;
        };
        calls.push(now);
        queue.release_memory(worker, 20_000);
        queue.mark_memory_full(worker, 20_000, 4_000, now);
        let unfinished = queue.end_call(call.call, CallEnd::Answered, now);
        unfinished
            .into_iter()
            .for_each(|piece| queue.requeue(piece));
    }
    assert!(calls.len() <= 10, "{calls:?}");
}

#[test]
fn full_worker_is_tried_again_when_it_has_released_results() {
    let mut queue = BatchQueue::new(rules());
    let worker = queue.add_worker(HERE);
    queue.mark_memory_full(worker, 300_000, 100, 0);
    let order = PieceOrder {
        result_bytes: 300_000,
        ..order(1)
    };
    push(&mut queue, order, 1);
    assert!(queue.next_call(35).is_none());
    queue.record_released(worker, 0);
    assert!(queue.next_call(35).is_some());
}

/// A queue with a piece that prefers `HERE`, where the worker is busy until 110 ms, and an
/// idle worker `THERE`.
fn queue_with_preferred_hall(due: u64) -> (BatchQueue<u64>, StartedCall, WorkerKey) {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    push(&mut queue, order(9), 1);
    let busy = queue.next_call(0).expect("a worker is free");
    let remote = queue.add_worker(THERE);
    let preferring_here = PieceOrder {
        hall: Some(HERE),
        due,
        ..order(1)
    };
    push(&mut queue, preferring_here, 1);
    (queue, busy, remote)
}

#[test]
fn piece_waits_for_preferred_hall_until_limit() {
    // A whole call takes 140 ms, so with `due` 300 the piece is late from 160 ms on.
    for (due, start) in [(1_000, 300), (300, 160)] {
        let (mut queue, _busy, remote) = queue_with_preferred_hall(due);
        assert!(queue.next_call(start - 1).is_none(), "due {due}");
        let call = queue.next_call(start).expect("the wait has ended");
        assert_eq!(call.worker, remote, "due {due}");
    }
    let (mut queue, busy, _remote) = queue_with_preferred_hall(1_000);
    finish(&mut queue, &busy, 110);
    let call = queue
        .next_call(110)
        .expect("the preferred hall's worker is free");
    assert_eq!(call.worker, busy.worker);
}

#[test]
fn piece_skips_wait_for_unavailable_hall() {
    let (mut queue, _busy, remote) = queue_with_preferred_hall(0);
    let call = queue.next_call(0).expect("the wait is at most 60 ms");
    assert_eq!(call.worker, remote);

    let (mut queue, busy, remote) = queue_with_preferred_hall(1_000);
    assert!(queue.next_call(0).is_none());
    queue.remove_worker(busy.worker);
    let call = queue.next_call(1).expect("the hall's worker is draining");
    assert_eq!(call.worker, remote);

    let (mut queue, busy, remote) = queue_with_preferred_hall(1_000);
    queue.end_call(busy.call, CallEnd::Failed, 10);
    let call = queue
        .next_call(11)
        .expect("the hall's worker is backing off");
    assert_eq!(call.worker, remote);

    let (mut queue, _busy, remote) = queue_with_preferred_hall(1_000);
    assert_eq!(queue.take_overdue(290, |_| true).len(), 1);
    let call = queue.next_call(290).expect("the hall's worker is overdue");
    assert_eq!(call.worker, remote);
}

#[test]
fn overdue_pieces_requeue_and_first_result_wins() {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    push(&mut queue, order(1), 1);
    let slow = queue.next_call(0).expect("a worker is free");
    let other = queue.add_worker(HERE);
    assert!(queue.take_overdue(200, |_| true).is_empty());
    assert_eq!(queue.take_overdue(400, |_| true), [slow.worker]);
    let second = queue.next_call(400).expect("the piece was queued again");
    assert_eq!(second.worker, other);
    assert_eq!(queue.finish(second.pieces[0].key), Some(1));
    assert_eq!(
        queue.finish(slow.pieces[0].key),
        None,
        "the piece was finished before"
    );
    assert!(queue
        .end_call(second.call, CallEnd::Answered, 510)
        .is_empty());
    assert!(queue.end_call(slow.call, CallEnd::Answered, 900).is_empty());
}

/// Guards against workers that are slow to their queue because the host's links were lost.
#[test]
fn overdue_call_over_a_lost_link_leaves_no_trace_at_its_worker() {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    push(&mut queue, order(1), 1);
    let call = queue.next_call(0).expect("the worker is free");
    assert_eq!(queue.take_overdue(400, |_| true), [call.worker]);
    queue.end_call(call.call, CallEnd::LinkLost, 600);
    push(&mut queue, order(2), 1);
    let call = queue.next_call(650).expect("the worker is free");
    // A little longer than usual, as through a peer.
    finish(&mut queue, &call, 650 + 2 * 110);
    push(&mut queue, order(3), 1);
    assert!(queue.next_call(880).is_some(), "the worker isn't slow");
}

#[test]
fn slow_worker_is_probed_at_intervals() {
    let mut queue = BatchQueue::new(rules());
    let slow = queue.add_worker(HERE);
    push(&mut queue, order(1), 1);
    let call = queue.next_call(0).expect("a worker is free");
    finish(&mut queue, &call, 900);
    push(&mut queue, order(2), 1);
    push(&mut queue, order(3), 1);
    assert!(queue.next_call(901).is_none());
    let call = queue.next_call(1_800).expect("the worker is probed");
    assert_eq!((call.worker, groups(&queue, &call)), (slow, vec![2]));
}

#[test]
fn failed_call_returns_pieces_drained_gets_none() {
    let mut queue = BatchQueue::new(rules());
    let worker = queue.add_worker(HERE);
    let pieces = push(&mut queue, order(1), 2);
    let call = queue.next_call(0).expect("a worker is free");
    assert_eq!(queue.end_call(call.call, CallEnd::Failed, 50), pieces);
    pieces.iter().for_each(|piece| queue.requeue(*piece));
    assert!(queue.next_call(60).is_none(), "the worker is backing off");
    queue.remove_worker(worker);
    assert!(queue.next_call(10_000).is_none());
}

#[test]
fn handover_takes_waiting_pieces_and_state() {
    let mut queue = BatchQueue::new(rules());
    let worker = queue.add_worker(HERE);
    push(&mut queue, order(1), 4);
    let call = queue.next_call(0).expect("a worker is free");
    let waiting = push(&mut queue, order(2), 2);
    assert_eq!(queue.take_waiting(), waiting);
    let state = WorkerState {
        retained_bytes: 4_000,
        busy_ms: 100,
        slowness: 1.0,
    };
    assert_eq!(queue.worker_state(worker, 40), Some(state));
    let mut next: BatchQueue<u64> = BatchQueue::new(rules());
    let worker = next.add_worker(HERE);
    next.take_over(worker, &state, 800, 40);
    push(&mut next, order(2), 2);
    assert!(
        next.next_call(100).is_none(),
        "the previous owner's call still runs"
    );
    assert!(next.next_call(140).is_some());
    finish(&mut queue, &call, 140);
}

#[test]
fn load_counts_pieces_ahead_by_priority() {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    push(&mut queue, order(1), 4);
    queue.next_call(0).expect("a worker is free");
    push(
        &mut queue,
        PieceOrder {
            priority: 0,
            ..order(2)
        },
        3,
    );
    push(
        &mut queue,
        PieceOrder {
            priority: 2,
            ..order(3)
        },
        5,
    );
    let load = queue.load(0);
    assert_eq!(
        (load.ahead_of(0), load.ahead_of(1), load.ahead_of(2)),
        (7, 7, 12)
    );
    assert!((load.slots - 4.0).abs() < 0.01);
}

#[test]
fn shorter_retention_increases_slots() {
    // A worker has memory for four results of this size; a whole call takes 140 ms.
    let large = PieceOrder {
        result_bytes: 250_000,
        ..order(1)
    };
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    push(&mut queue, large, 1);
    let slots = |queue: &BatchQueue<u64>| queue.load(0).slots;
    assert!(
        (slots(&queue) - 4.0 / 1.5).abs() < 0.01,
        "no retention observed yet"
    );
    queue.record_retention(250_000, 280);
    assert!(
        (slots(&queue) - 2.0).abs() < 0.01,
        "each result is retained for two calls"
    );
    for _ in 0..1_000 {
        queue.record_retention(250_000, 140);
        queue.record_retention(100, 100_000);
    }
    assert!(slots(&queue) > 3.0, "small results have little weight");
}

#[test]
fn slowness_survives_change_of_owner() {
    let mut queue = BatchQueue::new(rules());
    let worker = queue.add_worker(HERE);
    push(&mut queue, order(1), 1);
    let call = queue.next_call(0).expect("the worker is free");
    finish(&mut queue, &call, 900);
    let state = queue
        .worker_state(worker, 2_000)
        .expect("the worker exists");
    let mut next = BatchQueue::new(rules());
    let worker = next.add_worker(HERE);
    next.take_over(worker, &state, 800, 2_000);
    push(&mut next, order(2), 1);
    push(&mut next, order(3), 2);
    let probe = next.next_call(2_000).expect("the worker is probed");
    assert_eq!(groups(&next, &probe), [2], "one group, not a batch");
}

/// Groups of the first two calls of an idle worker, for a piece of priority 0 that is due
/// at `due` and one of priority 2. A whole call takes 140 ms.
fn first_two_groups(due: u64, low_priority_due: u64) -> [u64; 2] {
    let mut queue = BatchQueue::new(PoolRules {
        batch: 1,
        call_ms: 130.0,
        ..rules()
    });
    queue.add_worker(HERE);
    let piece = |group, priority, due| PieceOrder {
        priority,
        due,
        ..order(group)
    };
    push(&mut queue, piece(1, 0, due), 1);
    push(&mut queue, piece(2, 2, low_priority_due), 1);
    [0, 140].map(|now| {
        let call = queue.next_call(now).expect("the worker is free");
        let called = groups(&queue, &call);
        finish(&mut queue, &call, now + 140);
        called[0]
    })
}

#[test]
fn urgent_group_precedes_one_that_can_wait() {
    assert_eq!(first_two_groups(300, 200), [2, 1]);
    assert_eq!(first_two_groups(200, 200), [1, 2], "neither can wait");
    assert_eq!(first_two_groups(300, 300), [1, 2], "both can wait");
    assert_eq!(
        first_two_groups(300, 100),
        [1, 2],
        "the other is already late"
    );
}

#[test]
fn isolated_group_shares_no_call() {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    push(&mut queue, order(1), 1);
    let isolated = push(&mut queue, order(2), 2);
    push(&mut queue, order(3), 1);
    queue.isolate(isolated[0]);
    let call = queue.next_call(0).expect("a worker is free");
    assert_eq!(
        groups(&queue, &call),
        [1, 3],
        "the other groups share a call"
    );
    finish(&mut queue, &call, 120);
    let call = queue.next_call(120).expect("the worker is free again");
    assert_eq!(groups(&queue, &call), [2, 2]);
}

#[test]
fn isolated_group_has_one_call_at_a_time() {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    queue.add_worker(HERE);
    let isolated = push(&mut queue, order(1), 6);
    queue.isolate(isolated[0]);
    let call = queue.next_call(0).expect("a worker is free");
    assert_eq!(call.pieces.len(), 4, "a whole batch");
    assert!(queue.next_call(0).is_none(), "the rest of the group waits");
    finish(&mut queue, &call, 140);
    let call = queue.next_call(140).expect("the first call has ended");
    assert_eq!(call.pieces.len(), 2);
}

#[test]
fn pieces_of_crashed_worker_run_isolated() {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    queue.add_worker(HERE);
    for group in 1..=3 {
        push(&mut queue, order(group), 1);
    }
    let call = queue.next_call(0).expect("a worker is free");
    assert_eq!(groups(&queue, &call), [1, 2, 3]);
    for piece in queue.end_call(call.call, CallEnd::Failed, 50) {
        queue.isolate(piece);
        queue.requeue(piece);
    }
    let call = queue.next_call(50).expect("the other worker is free");
    assert_eq!(groups(&queue, &call), [1]);
}

#[test]
fn piece_runs_only_in_allowed_halls() {
    let mut queue = BatchQueue::new(rules());
    queue.add_worker(HERE);
    let only_there = PieceOrder {
        halls: Halls::only([THERE]),
        hall: Some(HERE),
        ..order(1)
    };
    push(&mut queue, only_there, 2);
    assert!(queue.next_call(0).is_none(), "no worker in an allowed hall");
    assert!(
        queue.next_call(9_000).is_none(),
        "waiting doesn't change that"
    );
    let there = queue.add_worker(THERE);
    let call = queue.next_call(9_000).expect("a worker in an allowed hall");
    assert_eq!((call.worker, call.pieces.len()), (there, 2));
}

#[test]
fn hall_set_excludes_numbers_above_127() {
    let halls = Halls::only([HERE, HallKey(127), HallKey(128)]);
    assert!(halls.contains(HERE) && halls.contains(HallKey(127)));
    assert!(!halls.contains(THERE) && !halls.contains(HallKey(128)));
    assert!(Halls::ALL.contains(HallKey(128)));
}

/// A queue with 120 free workers in three halls, where 700 requests wait with eight pieces each.
fn taken_over_backlog(rules: PoolRules) -> BatchQueue<u64> {
    let mut queue = BatchQueue::new(rules);
    queue.set_order(QueueOrder::Deadline);
    for worker in 0..120 {
        queue.add_worker(HallKey(worker % 3));
    }
    for group in 0..700 {
        let waiting = PieceOrder {
            priority: (group % 3) as u8,
            due: 1_000 + group,
            hall: Some(HallKey((group % 3) as u16)),
            ..order(group)
        };
        push(&mut queue, waiting, 8);
    }
    queue
}

// Guards against a new owner that lags for longer than its calls last while it chooses them.
#[test]
fn owner_that_takes_over_a_backlog_starts_its_calls_in_time() {
    let rules = PoolRules {
        batch: 38,
        call_ms: 240.0,
        piece_ms: 5.0,
        ..rules()
    };
    let start_all = |_| {
        let mut queue = taken_over_backlog(rules);
        let began = Instant::now();
        let calls = std::iter::from_fn(|| queue.next_call(1)).count();
        assert_eq!(calls, 120);
        began.elapsed()
    };
    let fastest = (0..3).map(start_all).min().expect("three tries");
    let call = Duration::from_millis(rules.expected_ms(rules.batch) as u64);
    assert!(fastest < call, "took {fastest:?}, a call takes {call:?}");
}
