//! What is begun, and in which order it is served.

use hollowsail_routing::{
    admit, Holding, Rank, ServiceLoad, StageDemand, StageExpectation, Verdict, WaitQueue,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn stage(ahead: f64, typical_ms: u64, slow_ms: u64) -> StageDemand {
    StageDemand {
        expected: StageExpectation {
            fast_ms: typical_ms / 2,
            typical_ms,
            slow_ms,
        },
        load: ServiceLoad { slots: 10.0, ahead },
    }
}

#[test]
fn a_backlog_that_leaves_no_time_refuses_with_what_is_needed() {
    assert_eq!(admit(300, &[stage(5.0, 100, 150)], 0.0), Verdict::Admit);
    let verdict = admit(300, &[stage(39.0, 100, 150)], 0.0);
    assert_eq!(verdict, Verdict::CannotFinish(400));
}

#[test]
fn caution_refuses_what_only_a_typical_request_would_make() {
    let stages = [stage(0.0, 100, 400)];
    assert_eq!(admit(200, &stages, 0.0), Verdict::Admit);
    assert_eq!(admit(200, &stages, 1.0), Verdict::CannotFinish(400));
}

fn rank(over_share: bool, latest_start: u64, arrival: u64) -> Rank {
    Rank {
        over_share,
        urgency: Rank::urgency_of(5),
        latest_start,
        arrival,
    }
}

#[test]
fn the_most_urgent_within_its_share_is_next() {
    let mut queue = WaitQueue::default();
    queue.push(rank(false, 900, 1), "long");
    queue.push(rank(true, 50, 2), "flooding");
    queue.push(rank(false, 100, 3), "short");
    let urgent = Rank {
        urgency: Rank::urgency_of(9),
        ..rank(false, 2000, 4)
    };
    queue.push(urgent, "urgent");
    assert_eq!(queue.ahead_of(&rank(false, 500, 5)), 2);
    assert!(queue.has_ahead_of(&rank(false, 20, 6)));
    assert!(!queue.has_ahead_of(&Rank {
        latest_start: 20,
        ..urgent
    }));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop())
        .map(|(_, name)| name)
        .collect();
    assert_eq!(order, ["urgent", "short", "long", "flooding"]);
}

/// Two organisations of equal weight at ten slots; one asks ten times as often.
/// Time is in steps; a request holds a slot for fifty.
#[test]
fn an_organisation_that_keeps_to_its_share_is_served_while_another_floods() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut queue: WaitQueue<usize> = WaitQueue::default();
    let mut running: Vec<(usize, u64)> = Vec::new();
    let mut holds = [0u32, 0];
    let (mut asked, mut served) = ([0u32, 0], [0u32, 0]);
    for step in 0..20_000u64 {
        for (org, chance) in [(0, 0.04), (1, 0.40)] {
            if !rng.random_bool(chance) {
                continue;
            }
            asked[org] += 1;
            let holding = Holding {
                own: holds[org],
                all: holds[0] + holds[1],
                share: 0.5,
            };
            let rank = rank(holding.is_over(), step + 100, step * 2 + org as u64);
            let ahead = (running.len() + queue.ahead_of(&rank)) as f64;
            if admit(150, &[stage(ahead, 50, 50)], 0.0) == Verdict::Admit {
                queue.push(rank, org);
                holds[org] += 1;
            }
        }
        running.retain(|(org, until)| {
            let runs = *until > step;
            holds[*org] -= u32::from(!runs);
            runs
        });
        while running.len() < 10 {
            let Some((rank, org)) = queue.pop() else {
                break;
            };
            if rank.latest_start < step {
                holds[org] -= 1;
                continue;
            }
            served[org] += 1;
            running.push((org, step + 50));
        }
    }
    let share = |org: usize| f64::from(served[org]) / f64::from(asked[org]);
    assert!(share(0) > 0.99, "the modest one got {}", share(0));
    assert!(
        served[1] > 2 * served[0],
        "what is left is lent: {served:?}"
    );
}
