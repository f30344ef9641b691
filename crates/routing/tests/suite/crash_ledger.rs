//! Detection of requests that crash targets, among those that ran beside them.

use hollowsail_routing::crashes::requests::{FIRST_REFUSAL_MS, MAX_REFUSAL_MS};
use hollowsail_routing::{
    CrashLedger, CrashVerdict, CrashedRun, Demand, EngineScheduler, Millis, PlacementEnd,
    PlacementKey, RequestDigest, SchedulableEngine, Versions,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn digest(number: u32) -> RequestDigest {
    let mut bytes = [0; RequestDigest::BYTES];
    bytes[..4].copy_from_slice(&number.to_be_bytes());
    RequestDigest(bytes)
}

/// Records a crash at `now` under a request sent at `sent`.
fn record_crash(
    ledger: &mut CrashLedger,
    now: Millis,
    request: RequestDigest,
    sent: Millis,
) -> Option<u32> {
    ledger.record_crash(
        now,
        request,
        CrashedRun {
            sent,
            crashed_at: now,
            was_suspect: false,
        },
    )
}

#[test]
fn second_crash_suspects_and_third_refuses() {
    let mut ledger = CrashLedger::default();
    assert_eq!(record_crash(&mut ledger, 1_000, digest(1), 500), Some(1));
    assert_eq!(ledger.verdict(1_000, digest(1)), CrashVerdict::Unsuspected);
    assert_eq!(record_crash(&mut ledger, 2_000, digest(1), 1_500), Some(2));
    assert_eq!(ledger.verdict(2_000, digest(1)), CrashVerdict::Suspect);
    assert_eq!(record_crash(&mut ledger, 3_000, digest(1), 2_500), Some(3));
    let until = 3_000 + FIRST_REFUSAL_MS;
    assert_eq!(
        ledger.verdict(3_000, digest(1)),
        CrashVerdict::Refused { until }
    );
    assert_eq!(ledger.verdict(3_000, digest(2)), CrashVerdict::Unsuspected);
}

#[test]
fn simultaneous_crashes_count_once() {
    let mut ledger = CrashLedger::default();
    assert_eq!(record_crash(&mut ledger, 1_000, digest(1), 700), Some(1));
    for later in 1_001..1_010 {
        assert_eq!(record_crash(&mut ledger, later, digest(1), 850), None);
    }
    assert_eq!(
        record_crash(&mut ledger, 1_020, digest(1), 1_001),
        Some(2),
        "sent after the first crash"
    );
}

#[test]
fn immediate_retry_counts_within_tolerance() {
    let mut ledger = CrashLedger::default();
    let first = CrashedRun {
        sent: 900,
        crashed_at: 1_000,
        was_suspect: false,
    };
    let second = CrashedRun {
        sent: 993,
        crashed_at: 1_100,
        was_suspect: false,
    };
    assert_eq!(ledger.record_crash(1_050, digest(1), first), Some(1));
    assert_eq!(ledger.record_crash(1_150, digest(1), second), Some(2));
}

#[test]
fn complete_answer_clears_a_suspect() {
    let mut ledger = CrashLedger::default();
    record_crash(&mut ledger, 1_000, digest(1), 0);
    assert!(
        !ledger.record_success(digest(1)),
        "no suspect yet, so no entry to notify"
    );
    record_crash(&mut ledger, 2_000, digest(1), 1_500);
    record_crash(&mut ledger, 3_000, digest(1), 2_500);
    assert!(
        ledger.record_success(digest(1)),
        "the entries were notified"
    );
    assert_eq!(record_crash(&mut ledger, 4_000, digest(1), 3_500), Some(1));
}

#[test]
fn refusal_doubles_with_each_further_crash() {
    let mut ledger = CrashLedger::default();
    record_crash(&mut ledger, 1_000, digest(1), 0);
    record_crash(&mut ledger, 2_000, digest(1), 1_500);
    let mut now = 3_000;
    for minutes in [1, 2, 4, 8, 10, 10] {
        record_crash(&mut ledger, now, digest(1), now - 1);
        let until = now + minutes * FIRST_REFUSAL_MS;
        let verdict = ledger.verdict(now, digest(1));
        assert_eq!(verdict, CrashVerdict::Refused { until });
        assert_eq!(ledger.verdict(until, digest(1)), CrashVerdict::Suspect);
        now = until + 500;
    }
    assert_eq!(MAX_REFUSAL_MS, 10 * FIRST_REFUSAL_MS);
}

#[test]
fn lifted_refusal_leaves_a_suspect() {
    let mut ledger = CrashLedger::default();
    ledger.learn(0, digest(1), CrashVerdict::Refused { until: 60_000 });
    assert!(ledger.lift_refusal(10, digest(1)));
    assert_eq!(ledger.verdict(10, digest(1)), CrashVerdict::Suspect);
    assert!(!ledger.lift_refusal(20, digest(1)), "it was lifted already");
}

#[test]
fn repeated_verdicts_change_nothing() {
    let mut ledger = CrashLedger::default();
    assert!(ledger.learn(0, digest(1), CrashVerdict::Refused { until: 60_000 }));
    assert!(!ledger.learn(5, digest(1), CrashVerdict::Refused { until: 60_005 }));
    assert!(!ledger.learn(5, digest(1), CrashVerdict::Suspect));
    let verdict = ledger.verdict(5, digest(1));
    assert_eq!(verdict, CrashVerdict::Refused { until: 60_000 });
}

#[test]
fn oldest_records_are_evicted_when_full() {
    let mut ledger = CrashLedger::default();
    for number in 0..20_000u32 {
        record_crash(&mut ledger, u64::from(number) + 1, digest(number), 0);
    }
    assert!(ledger.len() <= 5_000);
    assert_eq!(
        record_crash(&mut ledger, 30_000, digest(19_999), 29_999),
        Some(2)
    );
    assert_eq!(
        record_crash(&mut ledger, 30_001, digest(1), 30_000),
        Some(1)
    );
}

#[test]
fn single_crash_expires_after_an_hour() {
    let mut ledger = CrashLedger::default();
    record_crash(&mut ledger, 1_000, digest(1), 0);
    assert_eq!(
        record_crash(&mut ledger, 3_700_000, digest(1), 3_600_000),
        Some(1)
    );
}

#[test]
fn digest_parses_its_own_text() {
    let digest = RequestDigest([0xa7; RequestDigest::BYTES]);
    assert_eq!(RequestDigest::parse(&digest.to_string()), Some(digest));
    for bad in ["", "a7", "zz", "ä", "A7", "+7"] {
        assert_eq!(RequestDigest::parse(bad), None);
        assert_eq!(RequestDigest::parse(&bad.repeat(16)).is_some(), bad == "a7");
    }
}

/// Engines of the simulation.
const ENGINES: usize = 12;
/// Time until a crashed engine serves again.
const DOWN_MS: Millis = 3_000;
/// Duration of a generation.
const RUN_MS: Millis = 900;
/// Time until a fatal request crashes its engine.
const FATAL_AFTER_MS: Millis = 100;
/// Interval between two sends of each fatal request.
const FATAL_INTERVAL_MS: Millis = 700;

/// Load of a simulated minute.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Number of fatal requests; these have the lowest numbers.
    fatal: u32,
    /// Maximum number of attempts for an innocent request.
    attempts: u32,
    has_ledger: bool,
}

/// One attempt of a request.
struct Run {
    request: u32,
    engine: usize,
    sent: Millis,
    key: PlacementKey,
    attempts: u32,
}

/// Counts of a simulated minute.
#[derive(Debug, Default)]
struct Outcome {
    engine_crashes: u32,
    /// Innocent requests: all, those whose attempts all failed, and those refused.
    innocent: u32,
    lost: u32,
    refused_innocent: u32,
}

/// Simulated minute with 12 engines and 30 innocent requests per second.
struct Minute {
    load: Load,
    scheduler: EngineScheduler<usize>,
    ledger: CrashLedger,
    rng: SmallRng,
    down_until: [Millis; ENGINES],
    running: Vec<Run>,
    /// Pending retries: time, request, attempts so far.
    retries: Vec<(Millis, u32, u32)>,
    outcome: Outcome,
}

impl Minute {
    fn run(seed: u64, load: Load) -> Outcome {
        let mut minute = Minute {
            load,
            scheduler: EngineScheduler::default(),
            ledger: CrashLedger::default(),
            rng: SmallRng::seed_from_u64(seed),
            down_until: [0; ENGINES],
            running: Vec::new(),
            retries: Vec::new(),
            outcome: Outcome::default(),
        };
        for now in (0..60_000).step_by(10) {
            minute.step(now);
        }
        minute.outcome
    }

    fn step(&mut self, now: Millis) {
        self.set_engines(now);
        self.end_runs(now);
        for fatal in 0..self.load.fatal {
            if (now + u64::from(fatal) * 230).is_multiple_of(FATAL_INTERVAL_MS) {
                self.send(now, fatal, 0);
            }
        }
        if self.rng.random_bool(0.3) {
            let number = self.load.fatal + self.outcome.innocent;
            self.outcome.innocent += 1;
            self.send(now, number, 0);
        }
        let retries = std::mem::take(&mut self.retries).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = retries.partition(|(time, _, _)| *time <= now);
        self.retries = later;
        for (_, request, attempts) in due {
            self.send(now, request, attempts);
        }
    }

    fn set_engines(&mut self, now: Millis) {
        let up = (0..ENGINES).filter(|engine| self.down_until[*engine] <= now);
        let engines: Vec<_> = up
            .map(|engine| SchedulableEngine {
                key: engine,
                slots: 64,
                hall: "hall-a".to_string(),
                version: String::new(),
                warm_up: None,
                limit: None,
                max_running: None,
            })
            .collect();
        self.scheduler.set_engines(now, &engines);
    }

    fn is_fatal(&self, request: u32) -> bool {
        request < self.load.fatal
    }

    fn send(&mut self, now: Millis, request: u32, attempts: u32) {
        let verdict = match self.load.has_ledger {
            true => self.ledger.verdict(now, digest(request)),
            false => CrashVerdict::Unsuspected,
        };
        if let CrashVerdict::Refused { .. } = verdict {
            self.outcome.refused_innocent += u32::from(!self.is_fatal(request));
            return;
        }
        let demand = Demand {
            from_hall: "hall-a".to_string(),
            part: format!("part-{}", request % 40),
            shared_tokens: 300,
            prompt_tokens: 1_400,
            avoid: Vec::new(),
            versions: Versions::All,
            halls: None,
            results: Vec::new(),
            is_suspect: verdict == CrashVerdict::Suspect,
            urgency: 0,
            max_wait_ms: 0,
        };
        let salt: u64 = self.rng.random();
        let affinity = |engine: &usize| (*engine as u64 + 1).wrapping_mul(salt);
        let Some((key, engine)) = self.scheduler.place(now, &demand, affinity) else {
            self.outcome.lost += u32::from(!self.is_fatal(request));
            return;
        };
        self.running.push(Run {
            request,
            engine,
            sent: now,
            key,
            attempts: attempts + 1,
        });
    }

    fn end_runs(&mut self, now: Millis) {
        let running = self.running.iter();
        let crashed_engines: Vec<usize> = running
            .filter(|run| self.is_fatal(run.request) && now >= run.sent + FATAL_AFTER_MS)
            .map(|run| run.engine)
            .collect();
        for engine in crashed_engines {
            self.crash_engine(now, engine);
        }
        let running = std::mem::take(&mut self.running).into_iter();
        let (whole, running): (Vec<_>, Vec<_>) = running.partition(|run| now >= run.sent + RUN_MS);
        self.running = running;
        for run in whole {
            self.scheduler
                .record_end(run.key, PlacementEnd::Completed, now);
            self.ledger.record_success(digest(run.request));
        }
    }

    fn crash_engine(&mut self, now: Millis, engine: usize) {
        if self.down_until[engine] > now {
            return;
        }
        self.down_until[engine] = now + DOWN_MS;
        self.outcome.engine_crashes += 1;
        let running = std::mem::take(&mut self.running).into_iter();
        let (interrupted, running): (Vec<_>, Vec<_>) =
            running.partition(|run| run.engine == engine);
        self.running = running;
        for run in interrupted {
            self.scheduler
                .record_end(run.key, PlacementEnd::Failed, now);
            let request = digest(run.request);
            let crash = CrashedRun {
                sent: run.sent,
                crashed_at: now,
                was_suspect: self.ledger.verdict(now, request) == CrashVerdict::Suspect,
            };
            self.ledger.record_crash(now, request, crash);
            if self.is_fatal(run.request) {
                continue;
            }
            match run.attempts < self.load.attempts {
                true => self.retries.push((now + 100, run.request, run.attempts)),
                false => self.outcome.lost += 1,
            }
        }
    }
}

#[test]
fn fatal_request_crashes_only_three_engines() {
    let load = |has_ledger| Load {
        fatal: 1,
        attempts: 2,
        has_ledger,
    };
    for seed in 1..=20 {
        let without = Minute::run(seed, load(false));
        let with = Minute::run(seed, load(true));
        assert_eq!(without.engine_crashes, 86, "seed {seed}: {without:?}");
        assert_eq!(with.engine_crashes, 3, "seed {seed}: {with:?}");
        assert_eq!(with.refused_innocent, 0, "seed {seed}: {with:?}");
        assert!(with.lost <= 1 && without.lost > 10, "seed {seed}: {with:?}");
    }
}

#[test]
fn two_fatal_requests_implicate_no_other() {
    let load = Load {
        fatal: 2,
        attempts: 6,
        has_ledger: true,
    };
    for seed in 1..=40 {
        let outcome = Minute::run(seed, load);
        assert_eq!(outcome.refused_innocent, 0, "seed {seed}: {outcome:?}");
        assert_eq!(outcome.engine_crashes, 6, "seed {seed}: {outcome:?}");
    }
}

#[test]
fn four_fatal_requests_implicate_few_others() {
    let load = Load {
        fatal: 4,
        attempts: 6,
        has_ledger: true,
    };
    let minutes = (1..=40).map(|seed| Minute::run(seed, load));
    let (refused, innocent) = minutes.fold((0, 0), |(refused, innocent), outcome| {
        (
            refused + outcome.refused_innocent,
            innocent + outcome.innocent,
        )
    });
    assert!(
        refused * 100 <= innocent,
        "{refused} of {innocent} innocent requests refused"
    );
}

/// The count of a fatal request must survive the crash of the entry that kept it.
#[test]
fn count_survives_loss_of_the_counting_entry() {
    let mut ledger = CrashLedger::default();
    let run = CrashedRun {
        sent: 500,
        crashed_at: 900,
        was_suspect: true,
    };
    assert_eq!(ledger.record_crash(1_000, digest(1), run), Some(3));
    let verdict = ledger.verdict(1_000, digest(1));
    assert!(
        matches!(verdict, CrashVerdict::Refused { .. }),
        "{verdict:?}"
    );
    assert_eq!(
        ledger.record_crash(1_010, digest(1), run),
        None,
        "the same crash"
    );
}

/// A second report of a crash finds the request marked as a suspect by the first.
#[test]
fn two_reports_of_one_crash_count_once() {
    let mut ledger = CrashLedger::default();
    record_crash(&mut ledger, 1_000, digest(1), 500);
    assert_eq!(record_crash(&mut ledger, 2_000, digest(1), 1_500), Some(2));
    let late = CrashedRun {
        sent: 1_450,
        crashed_at: 2_000,
        was_suspect: true,
    };
    assert_eq!(ledger.record_crash(2_020, digest(1), late), None);
}
