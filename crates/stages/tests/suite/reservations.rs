//! Tests that play competing load against a queue with reservations.

use hollowsail_routing::RequestDigest;
use hollowsail_stages::{
    BatchQueue, CallEnd, Flow, GroupKey, HallKey, Halls, Millis, PieceOrder, QueueOrder,
    RefusalCause, ReservationKey, RoomDecision, RoomRequest, StageRoom,
};

use crate::simulation::{steady, Caller, Outcome, Simulation, RULES};

/// Workers of the simulations; each does 38 pieces in 430 ms.
const WORKERS: usize = 6;
/// Requests of four pieces that the workers complete per second.
const CAPACITY_PER_S: f64 = 132.0;
/// Rates are learned until then.
const WARM_UP_MS: Millis = 1_500;

fn late(outcomes: &[&Outcome]) -> usize {
    let admitted = outcomes
        .iter()
        .filter(|outcome| outcome.admitted_at.is_some());
    admitted.filter(|outcome| !outcome.is_in_time()).count()
}

fn run(callers: Vec<Caller>) -> Simulation {
    let mut simulation = Simulation::new(WORKERS, callers);
    simulation.run();
    simulation
}

/// Load of two flows, each with this share of the capacity, for 6 s.
fn two_flows(first: (Caller, f64), second: (Caller, f64)) -> Vec<Caller> {
    let mut callers = steady(0, 6_000, first.1 * CAPACITY_PER_S, first.0);
    callers.extend(steady(0, 6_000, second.1 * CAPACITY_PER_S, second.0));
    callers
}

fn after_warm_up(simulation: &Simulation, urgency: u8, organisation: u64) -> f64 {
    let flow = Flow {
        urgency,
        organisation,
    };
    simulation.served(|caller| caller.flow == flow && caller.at > WARM_UP_MS)
}

/// Guards against refusals in a queue that could serve everyone.
#[test]
fn queue_with_enough_capacity_refuses_nobody() {
    let callers = two_flows((Caller::new(0, 0, 1), 0.4), (Caller::new(0, 2, 2), 0.4));
    let simulation = run(callers);
    assert_eq!(simulation.served(|_| true), 1.0);
}

/// Guards against unused capacity, late work and a wrong order under overload.
#[test]
fn overloaded_queue_uses_its_capacity_and_serves_the_urgent_first() {
    let callers = two_flows((Caller::new(0, 0, 1), 0.75), (Caller::new(0, 2, 2), 0.75));
    let simulation = run(callers);
    let all: Vec<&Outcome> = simulation.outcomes.iter().collect();
    assert_eq!(late(&all), 0, "admitted requests are in time");
    let (urgent, other) = (
        after_warm_up(&simulation, 0, 1),
        after_warm_up(&simulation, 2, 2),
    );
    // Entitled to all and a third of what they offer.
    assert!(urgent > 0.93, "{urgent} of the urgent were served");
    assert!(other > 0.28, "{other} of the less urgent were served");
    assert!(urgent + other > 1.25, "{} of 1.33", urgent + other);
}

/// Guards against a new owner of a queue that refuses the urgent because it takes them for few, as
/// after a restart in a burst.
#[test]
fn urgent_flow_is_served_first_from_the_start_of_its_owner() {
    let callers = two_flows((Caller::new(0, 0, 1), 0.5), (Caller::new(0, 2, 2), 1.5));
    let simulation = run(callers);
    let served =
        |urgency| simulation.served(|caller| caller.flow.urgency == urgency && caller.at < 3_000);
    let (urgent, other) = (served(0), served(2));
    assert!(
        urgent > 0.9,
        "{urgent} of the urgent were served, {other} of the others"
    );
}

/// Guards against starvation: no level is served less than a quarter as often as all. Its
/// floor is 0.3 of its equal part, 0.12 of what it offers; it gets more where the urgent flow
/// leaves something.
#[test]
fn least_urgent_flow_is_not_starved() {
    let callers = two_flows((Caller::new(0, 0, 1), 2.0), (Caller::new(0, 3, 2), 0.5));
    let simulation = run(callers);
    let least = after_warm_up(&simulation, 3, 2);
    let all = simulation.served(|caller| caller.at > WARM_UP_MS);
    assert!(
        least > all / 4.0,
        "{least} of the least urgent, {all} of all"
    );
    assert!(least > 0.2, "{least} of the least urgent were served");
}

/// Guards against a burst whose cost falls on other organisations.
#[test]
fn burst_of_one_organisation_leaves_the_others_unharmed() {
    let mut callers = two_flows((Caller::new(0, 1, 1), 0.3), (Caller::new(0, 1, 2), 0.3));
    callers.extend(steady(
        2_000,
        5_000,
        2.0 * CAPACITY_PER_S,
        Caller::new(0, 1, 3),
    ));
    let simulation = run(callers);
    for organisation in [1, 2] {
        let served = after_warm_up(&simulation, 1, organisation);
        assert!(served > 0.95, "{served} of organisation {organisation}");
    }
}

/// Guards against capacity that is kept for flows that don't ask for it.
#[test]
fn unused_capacity_is_lent() {
    let callers = two_flows((Caller::new(0, 0, 1), 0.1), (Caller::new(0, 3, 2), 2.0));
    let simulation = run(callers);
    let urgent = after_warm_up(&simulation, 0, 1);
    let borrower = after_warm_up(&simulation, 3, 2);
    assert!(urgent > 0.97, "{urgent} of the urgent were served");
    assert!(borrower > 0.42, "{borrower} of 0.45 were served");
}

/// Guards against a weight of zero that divides by zero, or takes or loses everything.
#[test]
fn weight_of_zero_is_the_smallest_share() {
    let weightless = Caller {
        weight: 0.0,
        ..Caller::new(0, 1, 1)
    };
    let callers = two_flows((weightless, 1.0), (Caller::new(0, 1, 2), 0.8));
    let simulation = run(callers);
    let (without, with) = (
        after_warm_up(&simulation, 1, 1),
        after_warm_up(&simulation, 1, 2),
    );
    assert!(with > 0.9, "{with} of the weighted were served");
    assert!(without > 0.1, "{without} of the others use the rest");
}

/// Guards against refused callers that overtake each other, or wait in vain.
#[test]
fn refused_callers_return_in_the_order_of_their_refusal() {
    let patient = Caller {
        patience: 2_500,
        ..Caller::new(0, 1, 1)
    };
    let callers = steady(0, 3_000, 1.6 * CAPACITY_PER_S, patient);
    let simulation = run(callers);
    let mut returned: Vec<(Millis, Millis)> = simulation
        .outcomes
        .iter()
        .filter(|outcome| outcome.refusals.len() == 1)
        .filter_map(|outcome| Some((outcome.refusals[0].0, outcome.admitted_at?)))
        .collect();
    assert!(returned.len() > 50, "{} returned", returned.len());
    returned.sort_unstable();
    assert!(returned.is_sorted_by_key(|(_, admitted)| *admitted));
    let all: Vec<&Outcome> = simulation.outcomes.iter().collect();
    assert_eq!(late(&all), 0);
}

/// Guards against an overload in which capacity is used up by returning callers, so that
/// each new one is refused first and served late.
#[test]
fn returning_callers_leave_new_ones_their_share() {
    let patient = Caller {
        patience: 2_500,
        ..Caller::new(0, 1, 1)
    };
    let callers = steady(0, 6_000, 2.0 * CAPACITY_PER_S, patient);
    let simulation = run(callers);
    // Callers who return after the end of the overload are left out.
    let callers = simulation.callers.iter().zip(&simulation.outcomes);
    let during: Vec<&Outcome> = callers
        .filter(|(caller, _)| (WARM_UP_MS..3_500).contains(&caller.at))
        .map(|(_, outcome)| outcome)
        .collect();
    let count = |refusals: usize| {
        let served = during.iter().filter(|outcome| outcome.is_in_time());
        served
            .filter(|outcome| outcome.refusals.len() == refusals)
            .count()
    };
    let (at_once, later) = (count(0), count(1));
    assert!(
        at_once > 4 * later,
        "{at_once} at once, {later} after a refusal"
    );
}

/// Guards against callers that gain by returning before they were told to.
#[test]
fn caller_that_returns_early_gains_nothing() {
    let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
    queue.add_worker(HallKey(0));
    let admitted = fill(&mut queue);
    let RoomDecision::Refused(refusal) = queue.reserve(0, &request(1, 0)) else {
        panic!("the queue is full");
    };
    assert_eq!(refusal.cause, RefusalCause::Full);
    let back_at = refusal.retry_after_ms;
    for key in admitted {
        queue.cancel_reservation(key);
    }
    let other = queue.reserve(1, &request(2, 1));
    assert!(
        matches!(other, RoomDecision::Reserved(_)),
        "there is room now"
    );
    for early in [1, back_at / 2, back_at - 1] {
        let RoomDecision::Refused(again) = queue.reserve(early, &request(1, early)) else {
            panic!("admitted {early} ms after the refusal");
        };
        assert_eq!(again.cause, RefusalCause::TooEarly);
        assert_eq!(early + again.retry_after_ms, back_at, "the time stays");
    }
    let returned = queue.reserve(back_at, &request(1, back_at));
    assert!(
        matches!(returned, RoomDecision::Reserved(_)),
        "{returned:?}"
    );
}

/// Guards against capacity that stays held for callers that don't return.
#[test]
fn capacity_held_for_a_return_is_given_up_after_a_while() {
    let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
    queue.add_worker(HallKey(0));
    fill(&mut queue);
    let admitted = queue.reservations();
    let RoomDecision::Refused(refusal) = queue.reserve(0, &request(1, 0)) else {
        panic!("the queue is full");
    };
    assert_eq!(queue.reservations(), admitted + 1);
    queue.sweep_reservations(refusal.retry_after_ms + 301);
    assert!(queue.reservations() <= admitted);
}

/// Guards against reservations that outlive their requester.
#[test]
fn reservations_end_after_their_due_time() {
    let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
    queue.add_worker(HallKey(0));
    fill(&mut queue);
    queue.sweep_reservations(1_300);
    assert!(queue.reservations() > 0);
    queue.sweep_reservations(2_000);
    assert_eq!(queue.reservations(), 0);
}

/// Guards against admissions by the capacity that a lost worker had.
#[test]
fn lost_workers_lower_the_capacity_at_once() {
    let callers = two_flows((Caller::new(0, 0, 1), 0.45), (Caller::new(0, 2, 2), 0.45));
    let mut simulation = Simulation::new(WORKERS, callers);
    simulation.lose_workers(3_000, WORKERS / 2);
    simulation.run();
    // What was reserved before the loss may be late; what is asked for later isn't.
    let later = simulation.of(|caller| caller.at > 4_500);
    assert_eq!(late(&later), 0);
    let urgent = simulation.served(|caller| caller.flow.urgency == 0 && caller.at > 3_000);
    let other = simulation.served(|caller| caller.flow.urgency == 2 && caller.at > 3_000);
    assert!(urgent > 0.6 && urgent > other, "{urgent} and {other}");
}

/// Guards against a queue that admits by the model while its workers are slower.
#[test]
fn calibration_follows_the_measured_rate() {
    let callers = two_flows((Caller::new(0, 0, 1), 0.75), (Caller::new(0, 2, 2), 0.75));
    let mut simulation = Simulation::new(WORKERS, callers);
    simulation.call_factor = 1.3;
    simulation.run();
    let outcomes = simulation.of(|caller| caller.at > 2_000);
    let late = late(&outcomes) as f64 / outcomes.len() as f64;
    assert!(late < 0.02, "{late} were late");
    let served = simulation.served(|caller| caller.at > 2_000);
    assert!(served > 0.45, "{served} of 0.51 were served");
}

/// Guards against memory that limits the batches but not the admission, also where results
/// differ in size by a factor of 100.
#[test]
fn capacity_counts_the_memory_that_results_occupy() {
    let large = Caller {
        bytes: 120_000,
        ..Caller::new(0, 1, 1)
    };
    let small = Caller {
        bytes: 1_200,
        ..Caller::new(0, 1, 2)
    };
    let mut callers = steady(0, 6_000, 60.0, large);
    callers.extend(steady(0, 6_000, 60.0, small));
    let mut simulation = Simulation::new(WORKERS, callers);
    simulation.retention_after = 1_000;
    simulation.run();
    let outcomes = simulation.of(|caller| caller.at > WARM_UP_MS);
    let late = late(&outcomes) as f64 / outcomes.len() as f64;
    assert!(late < 0.02, "{late} were late");
    let large = after_warm_up(&simulation, 1, 1);
    let small = after_warm_up(&simulation, 1, 2);
    assert!(small > 0.9, "{small} of the small were served");
    assert!(large > 0.6, "{large} of the large were served");
}

/// Guards against refusals by a queue that has nothing to do, for requests that would be
/// late anywhere.
#[test]
fn idle_queue_admits_what_is_late_by_its_own_length() {
    let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
    queue.add_worker(HallKey(0));
    let mut tight = request(1, 0);
    tight.stages[0].due = 100;
    assert!(matches!(
        queue.reserve(0, &tight),
        RoomDecision::Reserved(_)
    ));
}

/// Guards against a wait of seconds for a turn that comes too late.
#[test]
fn pieces_whose_turn_comes_too_late_end_at_once() {
    let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
    queue.add_worker(HallKey(0));
    for group in 0..100 {
        let urgency = (group % 2) as u8;
        push(&mut queue, group, urgency, 1_000, 2_000);
    }
    assert!(
        queue.expired(0).is_empty(),
        "the order by priority is unchanged"
    );
    queue.set_order(QueueOrder::Deadline);
    let expired = queue.expired(0);
    let groups: Vec<u64> = expired
        .iter()
        .filter_map(|key| queue.job(*key))
        .copied()
        .collect();
    // 2 s are enough for four or five calls of 38 pieces, and the next one may start.
    assert!(
        (170..250).contains(&expired.len()),
        "{} pieces",
        expired.len()
    );
    assert!(groups.iter().filter(|group| *group % 2 == 1).count() > 160);
}

/// Guards against an urgent caller that takes the turn of one that is due earlier, and
/// against calls that are too long for their first group.
#[test]
fn admitted_pieces_go_by_due_time_in_calls_that_end_in_time() {
    let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
    queue.set_order(QueueOrder::Deadline);
    queue.add_worker(HallKey(0));
    push(&mut queue, 1, 0, 1_500, 3_000);
    push(&mut queue, 2, 3, 370, 3_000);
    for group in 3..10 {
        push(&mut queue, group, 0, 1_600, 3_000);
    }
    let call = queue.next_call(0).expect("a worker is free");
    assert_eq!(queue.job(call.pieces[0].key), Some(&2));
    let length = RULES.expected_ms(call.pieces.len());
    assert!(length <= 370.0, "{length} ms");
    assert!(
        call.pieces.len() >= 19,
        "calls aren't shorter than half a batch"
    );
    queue.end_call(call.call, CallEnd::Answered, length as Millis);
}

/// Guards against figures that don't add up in the logs.
#[test]
fn use_of_the_queue_is_reported_by_flow() {
    let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
    queue.add_worker(HallKey(0));
    queue.reserve(0, &request(1, 0));
    let RoomDecision::Reserved(second) = queue.reserve(100, &request(2, 100)) else {
        panic!("the queue is idle");
    };
    queue.begin_reserved(second, 3);
    push(&mut queue, 2, 1, 1_300, 3_000);
    let rooms = queue.room_by_flow(100);
    assert_eq!(rooms.len(), 1);
    assert_eq!((rooms[0].reserved, rooms[0].level_waiting), (5, 4));
    // 8 pieces, as a rate over 250 ms, the least time over which one is taken.
    let weight = 1.0 - (-0.25_f64).exp();
    let offered = rooms[0].offered_per_s * weight;
    assert!(offered > 7.0 && offered <= 8.0, "{offered}");
}

/// Guards against a message with extreme figures that stops the owner of a queue, or makes the
/// later requests of its flow wait for ever.
#[test]
fn extreme_requests_do_not_overflow() {
    let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
    queue.add_worker(HallKey(0));
    let extreme = StageRoom {
        pieces: u32::MAX,
        result_bytes: u64::MAX,
        ready: Millis::MAX,
        due: Millis::MAX,
    };
    let huge = |digest: u128, max_return_ms: Millis, weight: f64| RoomRequest {
        max_return_ms,
        weight,
        stages: vec![extreme; 3],
        ..request(digest, 0)
    };
    queue.reserve(0, &huge(1, Millis::MAX, f64::NAN));
    queue.reserve(0, &huge(2, 0, f64::INFINITY));
    queue.reserve(0, &huge(3, 2_000, f64::MAX));
    let now_due = StageRoom {
        ready: 0,
        due: 0,
        ..extreme
    };
    let nothing = RoomRequest {
        stages: Vec::new(),
        ..request(4, 0)
    };
    let late = RoomRequest {
        stages: vec![now_due; 3],
        ..request(5, 0)
    };
    queue.reserve(20, &nothing);
    queue.reserve(20, &late);
    queue.room_by_flow(20);
    queue.sweep_reservations(40);
    for room in queue.room_by_flow(40) {
        assert!(
            room.balance.is_finite() && room.entitled_per_s >= 0.0,
            "{room:?}"
        );
    }
    if let RoomDecision::Refused(refusal) = queue.reserve(40, &request(6, 40)) {
        assert!(refusal.retry_after_ms <= 2_000, "{refusal:?}");
    }
}

/// Guards against flows that pay twice: for a reservation that is cancelled because another
/// queue refused the request, and for capacity held for a return that is refused again.
#[test]
fn unused_reservations_are_not_charged() {
    let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
    let worker = queue.add_worker(HallKey(0));
    let balance = |queue: &BatchQueue<u64>| queue.room_by_flow(0)[0].balance;
    let RoomDecision::Reserved(key) = queue.reserve(0, &request(1, 0)) else {
        panic!("the queue is idle");
    };
    let charged = balance(&queue);
    assert!(charged < 0.0, "{charged}");
    queue.begin_reserved(key, 1);
    queue.cancel_reservation(key);
    let used = balance(&queue);
    assert!((used - charged / 4.0).abs() < 1e-6, "{used} of {charged}");

    let mut other = request(2, 0);
    other.flow.organisation = 2;
    fill(&mut queue);
    let RoomDecision::Refused(refusal) = queue.reserve(0, &other) else {
        panic!("the queue is full");
    };
    let held = queue.room_by_flow(0)[1];
    assert!(held.reserved == 4 && held.balance < 0.0, "{held:?}");
    queue.set_limit(worker, Some(0.0));
    let back_at = refusal.retry_after_ms;
    let again = queue.reserve(
        back_at,
        &RoomRequest {
            flow: other.flow,
            ..request(2, back_at)
        },
    );
    assert!(matches!(again, RoomDecision::Refused(_)), "{again:?}");
    let refused = queue.room_by_flow(0)[1];
    assert!(
        refused.reserved == 0 && refused.balance >= 0.0,
        "{refused:?}"
    );
}

/// Guards against a charge for capacity that isn't held: beyond the limit on remembered callers
/// a refused one gets only a time to return.
#[test]
fn callers_that_are_not_remembered_hold_and_pay_nothing() {
    let mut queue: BatchQueue<u64> = BatchQueue::new(RULES);
    queue.add_worker(HallKey(0));
    fill(&mut queue);
    for digest in 1_000..1_000 + 4_096 {
        // Too short a wait for capacity to be held.
        let hasty = RoomRequest {
            max_return_ms: 60,
            ..request(digest, 0)
        };
        let decision = queue.reserve(0, &hasty);
        assert!(matches!(decision, RoomDecision::Refused(_)), "{decision:?}");
    }
    let mut other = request(1, 0);
    other.flow.organisation = 2;
    let reservations = queue.reservations();
    let decision = queue.reserve(0, &other);
    assert!(matches!(decision, RoomDecision::Refused(_)), "{decision:?}");
    assert_eq!(queue.reservations(), reservations);
    let rooms = queue.room_by_flow(0);
    assert!(rooms[1].balance >= 0.0, "{rooms:?}");
}

/// Admits requests until one is refused.
fn fill(queue: &mut BatchQueue<u64>) -> Vec<ReservationKey> {
    let admitted = (100..400).map_while(|digest| match queue.reserve(0, &request(digest, 0)) {
        RoomDecision::Reserved(key) => Some(key),
        RoomDecision::Refused(_) => None,
    });
    let admitted: Vec<ReservationKey> = admitted.collect();
    assert!((1..200).contains(&admitted.len()));
    admitted
}

fn request(digest: u128, now: Millis) -> RoomRequest {
    RoomRequest {
        flow: Flow {
            urgency: 1,
            organisation: 1,
        },
        weight: 1.0,
        digest: RequestDigest(digest.to_be_bytes()),
        max_return_ms: 2_000,
        stages: vec![StageRoom {
            pieces: 4,
            result_bytes: 1_000,
            ready: now + 20,
            due: now + 1_300,
        }],
    }
}

/// Pushes a group of four pieces.
fn push(queue: &mut BatchQueue<u64>, group: u64, priority: u8, due: Millis, expires: Millis) {
    let order = PieceOrder {
        priority,
        due,
        expires,
        halls: Halls::ALL,
        result_bytes: 1_000,
        group: GroupKey(group),
        has_large_inputs: false,
        hall: None,
    };
    for _ in 0..4 {
        queue.push(order, group, 0);
    }
}
