//! Attribution of crashes to parts of prompts.

use std::collections::{BTreeSet, HashMap, HashSet};

use hollowsail_routing::crashes::parts::{
    BEGINNING_MS, CONTROL_MS, CRASHES_TO_REFUSE, CRASHES_TO_REFUSE_PASSED, FIRST_REFUSAL_MS,
    MIN_CONTROLS,
};
use hollowsail_routing::crashes::requests::MAX_REFUSAL_MS;
use hollowsail_routing::crashes::{
    CrashKey, CrashedAnswer, CrashedPart, PartEvidence, PartLedger, TrialDecision,
};
use hollowsail_routing::{Millis, RequestDigest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn part(name: &str) -> RequestDigest {
    RequestDigest::of_part("engines", name)
}

/// A ledger, and a target for each crash.
#[derive(Default)]
struct Crashes {
    ledger: PartLedger,
    targets: u64,
}

/// Usual time of a run until its target crashes.
const RUN_MS: Millis = 100;

impl Crashes {
    /// A target crashes under a run of [`RUN_MS`] with a part that hasn't passed.
    fn crash(&mut self, now: Millis, name: &str) -> PartEvidence {
        self.targets += 1;
        self.crash_of(self.targets, now, now - RUN_MS, name, MIN_CONTROLS, None)
    }

    fn crash_of(
        &mut self,
        target: u64,
        now: Millis,
        sent: Millis,
        name: &str,
        controls: u32,
        last_pass: Option<Millis>,
    ) -> PartEvidence {
        let answer = CrashedAnswer {
            crash: CrashKey(target),
            sent,
            crashed_at: now,
            controls,
        };
        let part = CrashedPart {
            part: part(name),
            last_pass,
            was_suspect: false,
        };
        self.ledger.record_crash(now, answer, part)
    }

    /// Crashes one target after the other, until a part is refused for long; returns when.
    fn refuse(&mut self, from: Millis, name: &str) -> Millis {
        for now in (from..from + 10_000).step_by(500) {
            if let PartEvidence::Refused { for_ms, .. } = self.crash(now, name) {
                assert_eq!(for_ms, FIRST_REFUSAL_MS);
                return now;
            }
        }
        panic!("the part isn't refused");
    }
}

#[test]
fn part_of_crashes_in_a_row_is_isolated_then_refused() {
    let mut crashes = Crashes::default();
    assert_eq!(crashes.crash(1_000, "bad"), PartEvidence::None);
    let suspect = PartEvidence::Suspect { crashes: 2 };
    assert_eq!(crashes.crash(1_500, "bad"), suspect);
    crashes.crash(2_000, "bad");
    let refused = PartEvidence::Refused {
        crashes: CRASHES_TO_REFUSE,
        for_ms: FIRST_REFUSAL_MS,
    };
    assert_eq!(crashes.crash(2_500, "bad"), refused);
}

/// Guards against counting one crash for each of the entries that saw it.
#[test]
fn crash_that_several_entries_report_counts_once() {
    let mut crashes = Crashes::default();
    for entry in 0..20 {
        let now = 1_000 + entry;
        let evidence = crashes.crash_of(1, now, 900, "good", MIN_CONTROLS, None);
        assert_eq!(evidence, PartEvidence::None);
    }
}

/// Guards against letting a burst crash as many targets as it has requests, each time.
#[test]
fn burst_is_refused_for_a_second_and_tried_by_one() {
    let mut crashes = Crashes::default();
    let evidence: Vec<PartEvidence> = (0..6)
        .map(|target| crashes.crash_of(target, 1_000, 900, "bad", MIN_CONTROLS, None))
        .collect();
    let is_short = |evidence: &&PartEvidence| matches!(evidence, PartEvidence::Refused { for_ms, .. } if *for_ms < FIRST_REFUSAL_MS);
    assert!(evidence.iter().any(|evidence| is_short(&evidence)));
    let begin = |crashes: &mut Crashes, now| crashes.ledger.begin_trial(now, part("bad"));
    let is_granted = |decision| decision == TrialDecision::Granted;
    assert!(!is_granted(begin(&mut crashes, 1_500)));
    assert!(is_granted(begin(&mut crashes, 8_000)));
    assert!(!is_granted(begin(&mut crashes, 8_000)), "one at a time");
    let evidence = crashes.crash_of(7, 8_200, 8_010, "bad", 0, None);
    let is_long = |evidence| matches!(evidence, PartEvidence::Refused { for_ms, .. } if for_ms == FIRST_REFUSAL_MS);
    assert!(is_long(evidence), "{evidence:?}");
}

#[test]
fn trials_are_further_apart_each_time() {
    let mut crashes = Crashes::default();
    let mut now = crashes.refuse(1_000, "bad");
    let mut last = FIRST_REFUSAL_MS;
    for _ in 0..4 {
        let refused = TrialDecision::Refused { for_ms: 1 };
        assert_eq!(
            crashes.ledger.begin_trial(now + last - 1, part("bad")),
            refused
        );
        now += last + 10;
        let granted = crashes.ledger.begin_trial(now, part("bad"));
        assert_eq!(granted, TrialDecision::Granted);
        now += RUN_MS + 200;
        let PartEvidence::Refused { for_ms, .. } = crashes.crash(now, "bad") else {
            panic!("the trial crashed its target");
        };
        assert_eq!(for_ms, (last * 4).min(MAX_REFUSAL_MS));
        last = for_ms;
    }
}

/// Guards against escalating for requests that were under way when their part was refused.
#[test]
fn crashes_of_runs_from_before_the_refusal_change_nothing() {
    let mut crashes = Crashes::default();
    let now = crashes.refuse(1_000, "bad");
    for target in 100..105 {
        let evidence = crashes.crash_of(target, now + 50, now - 50, "bad", 9, None);
        assert_eq!(evidence, PartEvidence::None);
    }
}

#[test]
fn pass_clears_a_part() {
    let mut crashes = Crashes::default();
    let now = crashes.refuse(1_000, "good");
    assert!(crashes.ledger.record_pass(part("good"), now + 5));
    let again = crashes.crash(now + 1_000, "good");
    assert_eq!(again, PartEvidence::None);
}

/// Guards against refusing a part for crashes of targets that nothing passes at.
#[test]
fn nothing_is_refused_where_all_answers_break_off() {
    let mut crashes = Crashes::default();
    for target in 0..50 {
        let now = 1_000 + target * 300;
        let evidence = crashes.crash_of(target, now, now - RUN_MS, "good", 0, None);
        let is_refused = matches!(evidence, PartEvidence::Refused { .. });
        assert!(!is_refused, "{evidence:?}");
    }
}

/// Guards against refusing the first part of many prompts when a rack ends.
#[test]
fn part_that_passes_isnt_refused_when_many_targets_end_at_once() {
    let mut crashes = Crashes::default();
    for target in 0..12 {
        let evidence = crashes.crash_of(target, 5_000, 4_900, "first", 40, Some(4_950));
        assert_eq!(evidence, PartEvidence::None);
    }
}

/// Guards against never refusing a part that was harmless before, under another software version.
#[test]
fn part_that_passed_before_is_refused_after_more_crashes() {
    let mut crashes = Crashes::default();
    let mut count = 0;
    for target in 0..20 {
        count += 1;
        let now = 1_000 + target * 500;
        let evidence = crashes.crash_of(target, now, now - RUN_MS, "turned", 2, Some(900));
        if matches!(evidence, PartEvidence::Refused { .. }) {
            break;
        }
    }
    assert_eq!(count, CRASHES_TO_REFUSE_PASSED);
}

/// Guards against losing the count with the entry that kept it.
#[test]
fn count_goes_on_at_another_entry() {
    let mut crashes = Crashes::default();
    let answer = |target, now| CrashedAnswer {
        crash: CrashKey(target),
        sent: now - RUN_MS,
        crashed_at: now,
        controls: MIN_CONTROLS,
    };
    let known = CrashedPart {
        part: part("bad"),
        last_pass: None,
        was_suspect: true,
    };
    let first = crashes.ledger.record_crash(1_000, answer(1, 1_000), known);
    assert_eq!(first, PartEvidence::Suspect { crashes: 3 });
    let second = crashes.ledger.record_crash(1_500, answer(2, 1_500), known);
    assert!(matches!(second, PartEvidence::Refused { .. }), "{second:?}");
}

#[test]
fn ledger_is_bounded() {
    let mut crashes = Crashes::default();
    for number in 0..20_000 {
        crashes.crash(1_000 + number, &format!("part-{number}"));
    }
    assert!(crashes.ledger.len() <= 2_000, "{}", crashes.ledger.len());
}

/// Time from the fifth crash until a part that crashes targets has to be known everywhere.
const CONTACT_MS: Millis = 3_000;

/// Requests of a simulated minute: what they share, and how often.
struct Load {
    /// Each request has the first part, one of many second parts, and none or one bad part.
    second_parts: usize,
    bad_per_s: f64,
    /// Targets that end by the clock, in a second.
    ends_per_s: f64,
}

/// A run of a simulated request.
struct Run {
    target: usize,
    sent: Millis,
    /// When it is whole; never for a bad one.
    ends: Millis,
    /// When it crashes its target; never for a good one.
    crashes: Millis,
    parts: Vec<String>,
}

/// What a simulated minute showed.
struct Outcome {
    refused_good_parts: usize,
    /// When the fifth target crashed, and when the bad part was refused for long.
    fifth_crash: Option<Millis>,
    bad_refused: Option<Millis>,
}

/// Simulates a minute at 12 targets with 30 good requests a second.
fn simulate(seed: u64, load: &Load) -> Outcome {
    const TARGETS: usize = 12;
    const GOOD_PER_S: f64 = 30.0;
    const STEP_MS: Millis = 20;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ledger = PartLedger::default();
    let mut passes: HashMap<String, Millis> = HashMap::new();
    let mut answers: Vec<Millis> = Vec::new();
    let mut running: Vec<Run> = Vec::new();
    let mut refused = HashSet::new();
    let (mut crashes, mut fifth_crash, mut bad_refused) = (0_u64, None, None);
    for now in (1_000..61_000).step_by(STEP_MS as usize) {
        let is_due = |rng: &mut SmallRng, per_s: f64| rng.random_bool(per_s * STEP_MS as f64 / 1e3);
        let draw = |rng: &mut SmallRng, bad: &[&str]| {
            let second = format!("c{}", rng.random_range(0..load.second_parts));
            let parts = ["first"].iter().chain(bad).map(|part| part.to_string());
            Run {
                target: rng.random_range(0..TARGETS),
                sent: now,
                ends: now + rng.random_range(300..2_500),
                crashes: Millis::MAX,
                parts: parts.chain([second]).collect(),
            }
        };
        if is_due(&mut rng, GOOD_PER_S) {
            running.push(draw(&mut rng, &[]));
        }
        if is_due(&mut rng, load.bad_per_s) && bad_refused.is_none() {
            running.push(Run {
                ends: Millis::MAX,
                crashes: now + rng.random_range(60..400),
                ..draw(&mut rng, &["bad"])
            });
        }
        for run in running.extract_if(.., |run| run.ends <= now) {
            answers.push(now);
            for name in run.parts {
                if ledger.record_pass(part(&name), now) {
                    refused.remove(&name);
                }
                passes.insert(name, now);
            }
        }
        let crashing = running.iter().filter(|run| run.crashes <= now);
        let mut ending: BTreeSet<usize> = crashing.map(|run| run.target).collect();
        if is_due(&mut rng, load.ends_per_s) {
            ending.insert(rng.random_range(0..TARGETS));
        }
        for target in ending {
            crashes += 1;
            if crashes == 5 {
                fifth_crash = Some(now);
            }
            for run in running.extract_if(.., |run| run.target == target) {
                // Reads its prompt for 50 ms.
                if run.sent + 50 > now || run.sent + 50 + BEGINNING_MS < now {
                    continue;
                }
                let answer = CrashedAnswer {
                    crash: CrashKey(crashes),
                    sent: run.sent,
                    crashed_at: now,
                    controls: answers.iter().filter(|at| **at + CONTROL_MS >= now).count() as u32,
                };
                for name in run.parts {
                    let crashed = CrashedPart {
                        part: part(&name),
                        last_pass: passes.get(&name).copied(),
                        was_suspect: false,
                    };
                    match ledger.record_crash(now, answer, crashed) {
                        PartEvidence::Refused { for_ms, .. } if name == "bad" => {
                            let is_long = for_ms >= FIRST_REFUSAL_MS;
                            bad_refused = bad_refused.or(is_long.then_some(now));
                        }
                        PartEvidence::Refused { .. } => drop(refused.insert(name)),
                        PartEvidence::Suspect { .. } | PartEvidence::None => {}
                    }
                }
            }
        }
    }
    Outcome {
        refused_good_parts: refused.len(),
        fifth_crash,
        bad_refused,
    }
}

/// Guards against refusing good parts beside a bad one, be they common or rare.
#[test]
fn good_parts_beside_a_bad_one_arent_refused() {
    for second_parts in [3, 30, 300] {
        for seed in 0..20 {
            let load = Load {
                second_parts,
                bad_per_s: 2.0,
                ends_per_s: 0.0,
            };
            let outcome = simulate(seed, &load);
            let refused = outcome.refused_good_parts;
            assert_eq!(refused, 0, "{second_parts} parts, seed {seed}");
            let refused_at = outcome.bad_refused.expect("the bad part is refused");
            // Requests that were sent before that arrive within the contact time, too.
            let latest = outcome.fifth_crash.map(|at| at + CONTACT_MS / 2);
            assert!(
                latest.is_none_or(|latest| refused_at <= latest),
                "seed {seed}: refused at {refused_at}, latest {latest:?}"
            );
        }
    }
}

/// Guards against refusing parts for targets that end by the clock.
#[test]
fn nothing_is_refused_for_targets_that_end_by_the_clock() {
    let mut refused = 0;
    for second_parts in [3, 30, 300] {
        for seed in 0..20 {
            let load = Load {
                second_parts,
                bad_per_s: 0.0,
                ends_per_s: 1.5,
            };
            refused += simulate(seed, &load).refused_good_parts;
        }
    }
    assert_eq!(refused, 0);
}
