//! What is begun, and whose.

use hollowsail_routing::{admit, Holding, ServiceLoad, StageDemand, StageExpectation, Verdict};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn stage(held: f64, typical_ms: u64, slow_ms: u64) -> StageDemand {
    StageDemand {
        expected: StageExpectation {
            fast_ms: typical_ms / 2,
            typical_ms,
            slow_ms,
        },
        load: ServiceLoad { slots: 10.0, held },
    }
}

#[test]
fn a_backlog_that_leaves_no_time_refuses_with_what_is_needed() {
    assert_eq!(
        admit(300, &[stage(5.0, 100, 150)], None, 0.0),
        Verdict::Admit
    );
    let verdict = admit(300, &[stage(39.0, 100, 150)], None, 0.0);
    assert_eq!(verdict, Verdict::CannotFinish(400));
}

#[test]
fn caution_refuses_what_only_a_typical_request_would_make() {
    let stages = [stage(0.0, 100, 400)];
    assert_eq!(admit(200, &stages, None, 0.0), Verdict::Admit);
    assert_eq!(admit(200, &stages, None, 1.0), Verdict::CannotFinish(400));
}

#[test]
fn shares_bind_only_while_a_service_is_contended() {
    let holding = Holding {
        own: 50,
        all: 60,
        share: 0.5,
    };
    let idle = admit(1000, &[stage(5.0, 10, 10)], Some(holding), 0.0);
    assert_eq!(idle, Verdict::Admit);
    let busy = admit(1000, &[stage(10.0, 10, 10)], Some(holding), 0.0);
    assert_eq!(busy, Verdict::OverShare);
    let modest = Holding { own: 10, ..holding };
    let busy = admit(1000, &[stage(10.0, 10, 10)], Some(modest), 0.0);
    assert_eq!(busy, Verdict::Admit);
}

/// Two organisations of equal weight at a service of ten slots; one asks ten
/// times as often. Time is in steps; each request holds a slot for some.
#[test]
fn an_organisation_that_keeps_to_its_share_is_served_while_another_floods() {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut held: Vec<(usize, u32)> = Vec::new();
    let (mut asked, mut served) = ([0, 0], [0, 0]);
    for step in 0..20_000 {
        held.retain(|(_, until)| *until > step);
        for (org, chance) in [(0, 0.04), (1, 0.40)] {
            if !rng.random_bool(chance) {
                continue;
            }
            asked[org] += 1;
            let own = held.iter().filter(|(o, _)| *o == org).count() as u32;
            let others = held.iter().any(|(o, _)| *o != org);
            let holding = Holding {
                own,
                all: held.len() as u32,
                share: if others { 0.5 } else { 1.0 },
            };
            let verdict = admit(60, &[stage(held.len() as f64, 50, 50)], Some(holding), 0.0);
            if verdict == Verdict::Admit {
                served[org] += 1;
                held.push((org, step + 50));
            }
        }
    }
    let share = |org: usize| f64::from(served[org]) / f64::from(asked[org]);
    assert!(share(0) > 0.97, "the modest one got {}", share(0));
    assert!(
        served[1] > 2 * served[0],
        "what is left is lent: {served:?}"
    );
}
