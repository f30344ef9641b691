//! Tests in which the load of a queue comes from few or from many flows.

use hollowsail_stages::{Millis, PoolRules};

use crate::simulation::{steady, Caller, Simulation};

/// A stage service with short calls of few pieces.
const RULES: PoolRules = PoolRules {
    running: 1,
    batch: 8,
    call_ms: 150.0,
    piece_ms: 16.0,
    result_bytes: 42_000_000,
};
const WORKERS: usize = 40;
/// Pieces that the workers complete per second: 8 each in 278 ms.
const CAPACITY_PER_S: f64 = 1_151.0;
/// Urgency, share of the pieces, pieces of a request, and time until its results are due.
const LEVELS: [(u8, f64, u32, Millis); 3] = [(0, 0.4, 3, 450), (1, 0.2, 1, 800), (2, 0.4, 2, 700)];
const ORGANISATIONS: [u64; 4] = [1, 5, 40, 130];
const WARM_UP_MS: Millis = 1_500;
const END_MS: Millis = 8_000;

/// Uniform numbers in 0..1, the same in each run.
struct Numbers(u64);

impl Numbers {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) as f64 / (1_u64 << 31) as f64
    }
}

/// Independent callers of `organisations` organisations, which offer this share of the
/// capacity together. A quarter of the organisations sends half of the requests.
fn callers(load: f64, organisations: u64, seed: u64) -> Vec<Caller> {
    let mut numbers = Numbers(seed);
    let mut callers = Vec::new();
    for (urgency, share, pieces, due_in) in LEVELS {
        let per_ms = load * share * CAPACITY_PER_S / f64::from(pieces) / 1_000.0;
        let mut at = 0.0;
        while at < END_MS as f64 {
            at += -(1.0 - numbers.next()).ln() / per_ms;
            let large = (organisations / 4).max(1);
            let among = if numbers.next() < 0.5 {
                large
            } else {
                organisations
            };
            callers.push(Caller {
                pieces,
                due_in,
                ready_in: 5,
                ..Caller::new(
                    at as Millis,
                    urgency,
                    (numbers.next() * among as f64) as u64,
                )
            });
        }
    }
    callers
}

/// What was served of what was asked for after the rates are known.
struct Served {
    /// By level of [`LEVELS`], as a share of its requests.
    levels: Vec<f64>,
    /// Pieces, as a share of the capacity.
    capacity: f64,
    all: f64,
}

fn play(callers: Vec<Caller>) -> Served {
    let mut simulation = Simulation::with_rules(RULES, WORKERS, callers);
    simulation.run();
    let until = END_MS - 500;
    let counts = |caller: &Caller| (WARM_UP_MS..until).contains(&caller.at);
    let outcomes = simulation.callers.iter().zip(&simulation.outcomes);
    let served = outcomes.filter(|(caller, outcome)| counts(caller) && outcome.is_in_time());
    let pieces: u32 = served.map(|(caller, _)| caller.pieces).sum();
    let levels = LEVELS.iter().map(|(urgency, ..)| {
        simulation.served(|caller| counts(caller) && caller.flow.urgency == *urgency)
    });
    Served {
        levels: levels.collect(),
        capacity: f64::from(pieces) / (CAPACITY_PER_S * (until - WARM_UP_MS) as f64 / 1_000.0),
        all: simulation.served(counts),
    }
}

/// Guards against capacity that is kept for each of many flows, and adds up to more than they use.
#[test]
fn queue_with_enough_capacity_serves_many_flows_like_few() {
    for organisations in ORGANISATIONS {
        for seed in 1..4 {
            let served = play(callers(0.8, organisations, seed)).all;
            assert!(
                served > 0.98,
                "{served} of {organisations} organisations, seed {seed}"
            );
        }
    }
}

/// Guards against an overloaded queue that keeps workers idle for flows that don't come.
#[test]
fn overloaded_queue_uses_its_capacity_for_many_flows() {
    for organisations in ORGANISATIONS {
        let used = play(callers(1.2, organisations, 1)).capacity;
        assert!(
            used > 0.95,
            "{used} of the capacity, {organisations} organisations"
        );
    }
}

/// Guards against an urgent level that is served less often than the others because it consists of
/// many small flows.
#[test]
fn urgent_level_of_many_flows_is_served_first() {
    for organisations in ORGANISATIONS {
        let served = play(callers(1.2, organisations, 1)).levels;
        assert!(
            served.windows(2).all(|pair| pair[0] > pair[1] - 0.05),
            "{served:?}, {organisations} organisations"
        );
    }
}

/// Guards against one organisation whose burst falls on many small ones.
#[test]
fn burst_of_one_organisation_leaves_many_others_unharmed() {
    for organisations in ORGANISATIONS {
        let mut callers = callers(0.6, organisations, 1);
        let burst = Caller {
            pieces: 2,
            due_in: 700,
            ready_in: 5,
            ..Caller::new(0, 2, organisations)
        };
        callers.extend(steady(3_000, 6_000, CAPACITY_PER_S / 2.0, burst));
        let mut simulation = Simulation::with_rules(RULES, WORKERS, callers);
        simulation.run();
        let others = simulation.served(|caller| {
            caller.flow.organisation < organisations && (3_000..6_000).contains(&caller.at)
        });
        assert!(others > 0.95, "{others} of {organisations} organisations");
    }
}
