//! Property test: random events on a batch queue, checked against its capacity rules.

use std::collections::{HashMap, HashSet};

use hollowsail_stages::{
    BatchQueue, CallEnd, GroupKey, HallKey, Halls, PieceKey, PieceOrder, PoolRules, StartedCall,
    WorkerKey,
};
use proptest::prelude::*;

const RULES: PoolRules = PoolRules {
    running: 1,
    batch: 4,
    call_ms: 100.0,
    piece_ms: 10.0,
    result_bytes: 1_000,
};

#[derive(Debug, Clone)]
enum Event {
    Push {
        group: u64,
        pieces: usize,
        bytes: u64,
        priority: u8,
        hall: Option<u16>,
    },
    Call,
    End {
        index: usize,
        call_end: u8,
    },
    Cancel {
        index: usize,
    },
    Release {
        index: usize,
    },
    AddWorker {
        hall: u16,
    },
    RemoveWorker {
        index: usize,
    },
    Advance {
        ms: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let push = (
        0u64..20,
        1usize..7,
        0u64..400,
        0u8..3,
        prop::option::of(0u16..2),
    )
        .prop_map(|(group, pieces, bytes, priority, hall)| Event::Push {
            group,
            pieces,
            bytes,
            priority,
            hall,
        });
    prop_oneof![
        4 => push,
        6 => Just(Event::Call),
        4 => (any::<usize>(), 0u8..3).prop_map(|(index, call_end)| Event::End { index, call_end }),
        1 => any::<usize>().prop_map(|index| Event::Cancel { index }),
        4 => any::<usize>().prop_map(|index| Event::Release { index }),
        1 => (0u16..2).prop_map(|hall| Event::AddWorker { hall }),
        1 => any::<usize>().prop_map(|index| Event::RemoveWorker { index }),
        3 => (1u64..400).prop_map(|ms| Event::Advance { ms }),
    ]
}

#[derive(Default)]
struct World {
    now: u64,
    workers: Vec<WorkerKey>,
    removed: HashSet<WorkerKey>,
    running: Vec<StartedCall>,
    /// Results that workers retain: worker and bytes.
    unreleased: Vec<(WorkerKey, u64)>,
    unfinished: HashMap<PieceKey, u64>,
}

proptest! {
    #[test]
    fn calls_respect_limits_and_no_piece_is_lost(
        events in prop::collection::vec(event(), 1..300),
    ) {
        let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
        let mut world = World::default();
        world.workers.push(queue.add_worker(HallKey(0)));
        for event in events {
            apply_event(&mut queue, &mut world, event)?;
        }
        // Without further faults and with a new worker, every piece completes.
        for (worker, bytes) in world.unreleased.drain(..) {
            queue.release_memory(worker, bytes);
        }
        while let Some(call) = world.running.pop() {
            end_call(&mut queue, &mut world, call, CallEnd::Answered);
        }
        for (worker, bytes) in world.unreleased.drain(..) {
            queue.release_memory(worker, bytes);
        }
        queue.add_worker(HallKey(0));
        for _ in 0..3_000 {
            world.now += 200;
            queue.take_overdue(world.now, |_| true);
            while let Some(call) = queue.next_call(world.now) {
                end_call(&mut queue, &mut world, call, CallEnd::Answered);
                for (worker, bytes) in world.unreleased.drain(..) {
                    queue.release_memory(worker, bytes);
                }
            }
            if world.unfinished.is_empty() {
                break;
            }
        }
        prop_assert!(world.unfinished.is_empty(), "pieces never completed: {:?}", world.unfinished);
        prop_assert_eq!(queue.waiting(), 0);
    }
}

fn apply_event(
    queue: &mut BatchQueue<u64>,
    world: &mut World,
    event: Event,
) -> Result<(), TestCaseError> {
    match event {
        Event::Push {
            group,
            pieces,
            bytes,
            priority,
            hall,
        } => {
            let order = PieceOrder {
                priority,
                due: world.now + 500,
                expires: world.now + 10_000,
                result_bytes: bytes,
                has_large_inputs: group % 3 == 0,
                group: GroupKey(group),
                hall: hall.map(HallKey),
                halls: Halls::ALL,
            };
            for _ in 0..pieces {
                let key = queue.push(order, group, world.now);
                world.unfinished.insert(key, bytes);
            }
        }
        Event::Call => {
            if let Some(call) = queue.next_call(world.now) {
                check_call(world, &call)?;
                world.running.push(call);
            }
        }
        Event::End { index, call_end } => {
            if !world.running.is_empty() {
                let call = world.running.swap_remove(index % world.running.len());
                let call_end =
                    [CallEnd::Answered, CallEnd::Refused, CallEnd::Failed][usize::from(call_end)];
                end_call(queue, world, call, call_end);
            }
        }
        Event::Cancel { index } => {
            let mut keys: Vec<PieceKey> = world.unfinished.keys().copied().collect();
            keys.sort();
            if !keys.is_empty() {
                let key = keys[index % keys.len()];
                prop_assert!(queue.finish(key).is_some());
                prop_assert!(queue.finish(key).is_none());
                world.unfinished.remove(&key);
            }
        }
        Event::Release { index } => {
            if !world.unreleased.is_empty() {
                let (worker, bytes) = world.unreleased.swap_remove(index % world.unreleased.len());
                queue.release_memory(worker, bytes);
            }
        }
        Event::AddWorker { hall } => world.workers.push(queue.add_worker(HallKey(hall))),
        Event::RemoveWorker { index } => {
            let worker = world.workers[index % world.workers.len()];
            queue.remove_worker(worker);
            world.removed.insert(worker);
        }
        Event::Advance { ms } => {
            world.now += ms;
            queue.take_overdue(world.now, |_| true);
        }
    }
    Ok(())
}

fn check_call(world: &World, call: &StartedCall) -> Result<(), TestCaseError> {
    prop_assert!(!call.pieces.is_empty() && call.pieces.len() <= RULES.batch);
    prop_assert!(
        !world.removed.contains(&call.worker),
        "call to a removed worker"
    );
    let busy = world
        .running
        .iter()
        .any(|other| other.worker == call.worker);
    prop_assert!(!busy, "two calls at one worker");
    let distinct: HashSet<_> = call.pieces.iter().map(|piece| piece.key).collect();
    prop_assert_eq!(distinct.len(), call.pieces.len());
    prop_assert!(call
        .pieces
        .iter()
        .all(|piece| world.unfinished.contains_key(&piece.key)));
    let at_worker = world
        .unreleased
        .iter()
        .filter(|(worker, _)| *worker == call.worker);
    let unreleased: u64 = at_worker.map(|(_, bytes)| bytes).sum();
    let added: u64 = call.pieces.iter().map(|piece| piece.result_bytes).sum();
    prop_assert!(
        unreleased + added <= RULES.result_bytes,
        "{unreleased} + {added} bytes"
    );
    Ok(())
}

fn end_call(queue: &mut BatchQueue<u64>, world: &mut World, call: StartedCall, call_end: CallEnd) {
    for piece in &call.pieces {
        if call_end == CallEnd::Answered && queue.finish(piece.key).is_some() {
            world.unfinished.remove(&piece.key);
        }
        if call_end != CallEnd::Refused {
            world.unreleased.push((call.worker, piece.result_bytes));
        }
    }
    for piece in queue.end_call(call.call, call_end, world.now) {
        queue.requeue(piece);
    }
}
