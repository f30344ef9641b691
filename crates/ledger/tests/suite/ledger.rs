//! Stateful fuzzing of ledgers that hand over to each other.
//!
//! The oracle is the list of tickets: who presented each first, how often it
//! was told to run, and the answer it was closed with. Ledgers have clocks of
//! their own, stop, hand over, and get the same hand-over twice.

use std::collections::HashMap;

use hollowsail_ledger::{Bounds, HandOver, Identity, Ledger, Presented, RecordId, Slot, Ticket};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{prop_state_machine, ReferenceStateMachine, StateMachineTest};

use crate::claim::cases;

const LEDGERS: usize = 3;
const TICKET_MS: u64 = 1000;
const BOUNDS: Bounds = Bounds {
    records: 3,
    bytes: 40,
    ticket_ms: TICKET_MS,
    claim_ms: 5000,
};

/// One step.
#[derive(Debug, Clone)]
enum Step {
    Issue {
        ledger: usize,
    },
    /// Ticket by age, newest first; one of three presenters.
    Present {
        ledger: usize,
        ticket: usize,
        who: u8,
    },
    Close {
        ticket: usize,
    },
    Wait {
        ms: u64,
    },
    /// Housekeeping of one ledger.
    Forget {
        ledger: usize,
    },
    Stop {
        ledger: usize,
    },
    HandOver {
        from: usize,
        to: usize,
    },
    /// The network delivers an old hand-over again.
    Redeliver {
        at: usize,
    },
}

/// The machine needs no model of its own to generate steps: all are allowed
/// at any time. What must hold is checked on the ledgers' answers.
#[derive(Debug, Clone)]
struct AnySteps;

impl ReferenceStateMachine for AnySteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let ledger = 0..LEDGERS;
        prop_oneof![
            3 => ledger.clone().prop_map(|ledger| Step::Issue { ledger }),
            8 => (ledger.clone(), 0usize..6, 0u8..3)
                .prop_map(|(ledger, ticket, who)| Step::Present { ledger, ticket, who }),
            4 => (0usize..6).prop_map(|ticket| Step::Close { ticket }),
            2 => (0u64..1500).prop_map(|ms| Step::Wait { ms }),
            2 => ledger.clone().prop_map(|ledger| Step::Forget { ledger }),
            1 => ledger.clone().prop_map(|ledger| Step::Stop { ledger }),
            2 => (ledger.clone(), ledger).prop_map(|(from, to)| Step::HandOver { from, to }),
            1 => (0usize..4).prop_map(|at| Step::Redeliver { at }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

/// What the oracle knows of one ticket.
struct Known {
    ticket: Ticket,
    issued_at: u64,
    runs: u32,
    /// Ledger that it runs at, while it is open.
    open_at: Option<usize>,
    first: Option<Identity>,
    answer: Option<Vec<u8>>,
    /// Somebody was told that it is not run.
    told_not_run: bool,
}

struct World {
    now: u64,
    ledgers: Vec<Ledger>,
    stopped: [bool; LEDGERS],
    given: [Option<usize>; LEDGERS],
    sent: Vec<(usize, HandOver)>,
    known: Vec<Known>,
}

impl World {
    /// Each ledger's process started at another moment.
    fn clock(&self, ledger: usize) -> u64 {
        self.now + 1000 * ledger as u64
    }

    fn nth_newest(&self, at: usize) -> Option<usize> {
        self.known.len().checked_sub(1 + at)
    }

    fn present(&mut self, ledger: usize, at: usize, who: u8) {
        let clock = self.clock(ledger);
        let known = &mut self.known[at];
        let identity = Identity {
            org: if who == 2 { "q" } else { "o" }.into(),
            digest: [who.min(1); 32],
        };
        let old = self.now >= known.issued_at + TICKET_MS;
        let presented = self.ledgers[ledger].present_ticket(clock, &known.ticket, &identity);
        match presented {
            Presented::Run => {
                assert_eq!(known.runs, 0, "told to run again");
                assert!(!known.told_not_run, "runs after somebody was told not run");
                assert!(!old, "told to run after its time");
                assert!(!self.stopped[ledger], "told to run by a stopped ledger");
                assert_eq!(identity.org, known.ticket.org);
                known.runs += 1;
                known.open_at = Some(ledger);
                known.first = Some(identity);
            }
            Presented::Wait => {
                assert_eq!(
                    known.open_at,
                    Some(ledger),
                    "waits for what does not run here"
                );
                assert_eq!(known.first.as_ref(), Some(&identity));
            }
            Presented::Kept(answer) => {
                assert_eq!(known.answer.as_ref(), Some(&answer));
                assert_eq!(known.first.as_ref(), Some(&identity), "another's answer");
            }
            Presented::AnswerDropped => {
                assert!(known.answer.is_some());
                assert_eq!(known.first.as_ref(), Some(&identity));
            }
            Presented::OtherRequest => {
                assert!(known.first.as_ref() != Some(&identity) || identity.org != known.ticket.org)
            }
            Presented::Expired => assert!(old, "refused as old before its time"),
            Presented::NotIssuer | Presented::Unsure | Presented::HandedOver => {
                assert_ne!(known.open_at, Some(ledger), "an open record is gone");
            }
            Presented::Full | Presented::Stopped | Presented::Refused => {
                assert_eq!(known.runs, 0, "told not run, and it ran");
                known.told_not_run = true;
            }
        }
    }

    fn close(&mut self, at: usize) {
        let known = &mut self.known[at];
        let Some(ledger) = known.open_at.take() else {
            return;
        };
        let answer = vec![at as u8; 12];
        let id = RecordId {
            issuer: known.ticket.issuer,
            slot: Slot::Ticket(known.ticket.number),
        };
        assert!(
            self.ledgers[ledger].close(id, answer.clone()),
            "the record was open"
        );
        known.answer = Some(answer);
    }

    fn hand_over(&mut self, from: usize, to: usize) {
        let may_go = self.given[from].is_none_or(|given| given == to);
        if from == to || !may_go {
            return;
        }
        let clock = self.clock(from);
        let open = self.known.iter().any(|known| known.open_at == Some(from));
        let Some(message) = self.ledgers[from].hand_over(clock, |_| true) else {
            assert!(open || !self.stopped[from], "refused without a reason");
            return;
        };
        assert!(
            !open && self.stopped[from],
            "handed over while it still runs"
        );
        self.sent.push((to, message));
        self.given[from] = Some(to);
        self.deliver(self.sent.len() - 1);
    }

    fn deliver(&mut self, at: usize) {
        let Some((to, message)) = self.sent.get(at).cloned() else {
            return;
        };
        let clock = self.clock(to);
        let from = message.from as usize;
        if !self.ledgers[to].adopt(clock, message) && self.given[from] == Some(to) {
            // Refused: the giver may choose another, unless it was taken before.
            self.given[from] = None;
        }
    }
}

struct LedgerTest;

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = World;
    type Reference = AnySteps;

    fn init_test(_: &()) -> World {
        World {
            now: 0,
            ledgers: (0..LEDGERS as u64)
                .map(|own| Ledger::new(own, BOUNDS))
                .collect(),
            stopped: [false; LEDGERS],
            given: [None; LEDGERS],
            sent: Vec::new(),
            known: Vec::new(),
        }
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        match step {
            Step::Issue { ledger } => {
                let clock = world.clock(ledger);
                let ticket = world.ledgers[ledger].issue(clock, "o");
                world.known.push(Known {
                    ticket,
                    issued_at: world.now,
                    runs: 0,
                    open_at: None,
                    first: None,
                    answer: None,
                    told_not_run: false,
                });
            }
            Step::Present {
                ledger,
                ticket,
                who,
            } => {
                if let Some(at) = world.nth_newest(ticket) {
                    world.present(ledger, at, who);
                }
            }
            Step::Close { ticket } => {
                if let Some(at) = world.nth_newest(ticket) {
                    world.close(at);
                }
            }
            Step::Wait { ms } => world.now += ms,
            Step::Forget { ledger } => {
                let clock = world.clock(ledger);
                world.ledgers[ledger].housekeep(clock);
            }
            Step::Stop { ledger } => {
                world.ledgers[ledger].stop();
                world.stopped[ledger] = true;
            }
            Step::HandOver { from, to } => world.hand_over(from, to),
            Step::Redeliver { at } => world.deliver(at),
        }
        world
    }

    fn check_invariants(world: &World, _: &()) {
        for (at, ledger) in world.ledgers.iter().enumerate() {
            let open = world.known.iter().filter(|k| k.open_at == Some(at)).count();
            assert_eq!(ledger.open_records(), open);
            let adopted: usize = world.sent.iter().filter(|(to, _)| *to == at).count();
            assert!(ledger.len() <= BOUNDS.records * (1 + adopted));
        }
        let numbers: HashMap<(u64, u64), usize> =
            world.known.iter().fold(HashMap::new(), |mut seen, known| {
                *seen
                    .entry((known.ticket.issuer, known.ticket.number))
                    .or_default() += 1;
                seen
            });
        assert!(
            numbers.values().all(|count| *count == 1),
            "a ticket was issued twice"
        );
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn a_ticket_runs_at_most_once_and_keeps_its_answer(sequential 1..80 => LedgerTest);
}

fn identity() -> Identity {
    Identity {
        org: "o".into(),
        digest: [1; 32],
    }
}

#[test]
fn under_pressure_the_answer_goes_and_the_fact_stays() {
    let mut ledger = Ledger::new(
        1,
        Bounds {
            records: 6,
            ..BOUNDS
        },
    );
    let tickets: Vec<Ticket> = (0..5).map(|_| ledger.issue(0, "o")).collect();
    for ticket in &tickets {
        assert_eq!(
            ledger.present_ticket(1, ticket, &identity()),
            Presented::Run
        );
        let id = RecordId {
            issuer: 1,
            slot: Slot::Ticket(ticket.number),
        };
        assert!(ledger.close(id, vec![0; 15]));
    }
    let again =
        |ledger: &mut Ledger, at: usize| ledger.present_ticket(2, &tickets[at], &identity());
    assert_eq!(again(&mut ledger, 0), Presented::AnswerDropped);
    assert_eq!(again(&mut ledger, 4), Presented::Kept(vec![0; 15]));
}

#[test]
fn nobody_but_the_claimer_opens_a_claim() {
    let mut ledger = Ledger::new(1, BOUNDS);
    let id = RecordId {
        issuer: 1,
        slot: Slot::Claim([7; 32]),
    };
    assert_eq!(
        ledger.present_claim(0, id, &identity(), false),
        Presented::Expired
    );
    assert_eq!(
        ledger.present_claim(0, id, &identity(), true),
        Presented::Run
    );
    assert_eq!(
        ledger.present_claim(1, id, &identity(), false),
        Presented::Wait
    );
    assert_eq!(ledger.find_claim(&[7; 32]), Some(id));
}

#[test]
fn an_answer_goes_only_where_it_may_be_held() {
    let mut ledger = Ledger::new(1, BOUNDS);
    let ticket = ledger.issue(0, "o");
    ledger.present_ticket(0, &ticket, &identity());
    let id = RecordId {
        issuer: 1,
        slot: Slot::Ticket(ticket.number),
    };
    ledger.close(id, vec![1]);
    ledger.stop();
    let message = ledger.hand_over(5, |_| false).expect("nothing is open");
    let mut successor = Ledger::new(2, BOUNDS);
    assert!(successor.adopt(100, message));
    let presented = successor.present_ticket(101, &ticket, &identity());
    assert_eq!(presented, Presented::AnswerDropped);
}

#[test]
fn an_open_record_is_never_forgotten() {
    let mut ledger = Ledger::new(1, BOUNDS);
    let ticket = ledger.issue(0, "o");
    ledger.present_ticket(0, &ticket, &identity());
    let long_after = 100 * TICKET_MS;
    ledger.housekeep(long_after);
    let presented = ledger.present_ticket(long_after, &ticket, &identity());
    assert_eq!(presented, Presented::Wait);
    assert_eq!(ledger.open_records(), 1);
}

#[test]
fn what_a_full_ledger_refused_stays_refused_when_there_is_room_again() {
    let mut ledger = Ledger::new(1, BOUNDS);
    let old: Vec<Ticket> = (0..BOUNDS.records).map(|_| ledger.issue(0, "o")).collect();
    let young = ledger.issue(900, "o");
    for ticket in &old {
        ledger.present_ticket(900, ticket, &identity());
        let id = RecordId {
            issuer: 1,
            slot: Slot::Ticket(ticket.number),
        };
        ledger.close(id, vec![1]);
    }
    assert_eq!(
        ledger.present_ticket(900, &young, &identity()),
        Presented::Full
    );
    let room_again = 1100;
    ledger.housekeep(room_again);
    assert!(ledger.is_empty());
    let presented = ledger.present_ticket(room_again, &young, &identity());
    assert_eq!(presented, Presented::Refused);
}

#[test]
fn a_claim_is_reported_once_when_it_is_forgotten_and_never_while_it_is_open() {
    let mut ledger = Ledger::new(1, BOUNDS);
    let id = RecordId {
        issuer: 1,
        slot: Slot::Claim([7; 32]),
    };
    ledger.present_claim(0, id, &identity(), true);
    assert!(ledger.housekeep(BOUNDS.claim_ms + 1).is_empty());
    ledger.close(id, vec![1]);
    assert_eq!(ledger.housekeep(BOUNDS.claim_ms + 1), [[7; 32]]);
    assert!(ledger.housekeep(BOUNDS.claim_ms + 2).is_empty());
}
