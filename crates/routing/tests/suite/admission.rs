//! Admission decisions and queue order.

use hollowsail_routing::{
    admit, OrgUsage, Rank, ServiceLoad, StageDemand, StageExpectation, Verdict, WaitQueue,
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
fn backlog_rejects_with_needed_time() {
    assert_eq!(admit(300, &[stage(5.0, 100, 150)], 0.0), Verdict::Admit);
    let verdict = admit(300, &[stage(39.0, 100, 150)], 0.0);
    assert_eq!(verdict, Verdict::CannotFinish(400));
}

#[test]
fn caution_rejects_by_the_slow_quantile() {
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
fn queue_orders_by_share_urgency_deadline() {
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

/// Two organisations of equal weight share ten slots; one sends ten times as many requests.
/// Time is in steps; a request holds a slot for 50.
#[test]
fn flooding_organisation_starves_no_other() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut queue: WaitQueue<usize> = WaitQueue::default();
    let mut running: Vec<(usize, u64)> = Vec::new();
    let mut held = [0u32, 0];
    let (mut sent, mut served) = ([0u32, 0], [0u32, 0]);
    for step in 0..20_000u64 {
        for (org, probability) in [(0, 0.04), (1, 0.40)] {
            if !rng.random_bool(probability) {
                continue;
            }
            sent[org] += 1;
            let usage = OrgUsage {
                own: held[org],
                all: held[0] + held[1],
                share: 0.5,
            };
            let rank = rank(usage.is_over_share(), step + 100, step * 2 + org as u64);
            let ahead = (running.len() + queue.ahead_of(&rank)) as f64;
            if admit(150, &[stage(ahead, 50, 50)], 0.0) == Verdict::Admit {
                queue.push(rank, org);
                held[org] += 1;
            }
        }
        running.retain(|(org, until)| {
            let runs = *until > step;
            held[*org] -= u32::from(!runs);
            runs
        });
        while running.len() < 10 {
            let Some((rank, org)) = queue.pop() else {
                break;
            };
            if rank.latest_start < step {
                held[org] -= 1;
                continue;
            }
            served[org] += 1;
            running.push((org, step + 50));
        }
    }
    let share = |org: usize| f64::from(served[org]) / f64::from(sent[org]);
    assert!(
        share(0) > 0.99,
        "share served of the organisation within its share: {}",
        share(0)
    );
    assert!(
        served[1] > 2 * served[0],
        "unused capacity must go to the other: {served:?}"
    );
}
