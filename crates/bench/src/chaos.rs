//! Random faults drawn from a seed, with random kinds, targets and times.

use hollowsail_config::Deployment;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::scenario::{FaultKind, FaultPlan};

/// Makes the random sequence of faults differ from that of arrivals.
const SEED_OFFSET: u64 = 0x00c0_ffee;

/// Draws `count` faults that begin within a run of `seconds`.
pub fn draw(
    count: usize,
    seed: u64,
    seconds: f64,
    entries: usize,
    deployment: &Deployment,
) -> Vec<FaultPlan> {
    let mut rng = SmallRng::seed_from_u64(seed ^ SEED_OFFSET);
    let run_ms = (seconds * 1000.0) as u64;
    (0..count)
        .map(|index| FaultPlan {
            name: format!("drawn-{index}"),
            kind: draw_kind(&mut rng, entries, deployment),
            at_ms: rng.random_range(0..run_ms.max(1)),
            for_ms: rng.random_range(200..run_ms.max(400) / 2 + 201),
        })
        .collect()
}

fn draw_kind(rng: &mut SmallRng, entries: usize, deployment: &Deployment) -> FaultKind {
    let target = rng.random_range(0..deployment.targets.len());
    let targets = deployment.targets[target].name.clone();
    match rng.random_range(0..9) {
        0 => FaultKind::Slow {
            targets,
            factor: rng.random_range(2.0..10.0),
        },
        1 => FaultKind::Hang { targets },
        2 => FaultKind::Errors { targets },
        3 => FaultKind::Cut { targets },
        4 => FaultKind::FrozenLoad { targets },
        5 => FaultKind::StoreDown,
        6 => FaultKind::StoreLosesAnswers {
            share: rng.random_range(0.1..0.9),
        },
        7 => FaultKind::EntryKilled {
            entry: rng.random_range(0..entries),
        },
        _ => FaultKind::RacingApplies {
            every_ms: rng.random_range(200..1000),
        },
    }
}
