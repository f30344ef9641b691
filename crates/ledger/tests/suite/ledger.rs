//! State-machine test of ledgers that hand over to each other.
//!
//! The oracle records, per ticket, the first presenter, the number of runs and the final
//! answer. Each ledger has its own clock; ledgers stop, hand over, and receive hand-overs
//! repeatedly.

use std::collections::HashMap;

use hollowsail_ledger::{
    Bounds, HandOver, Identity, Ledger, PresentOutcome, RecordId, Slot, Ticket,
};
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

#[derive(Debug, Clone)]
enum Step {
    Issue {
        ledger: usize,
    },
    /// `ticket` counts from the newest; `presenter` is one of three.
    Present {
        ledger: usize,
        ticket: usize,
        presenter: u8,
    },
    Close {
        ticket: usize,
    },
    Wait {
        ms: u64,
    },
    /// Evicts expired records of one ledger.
    EvictExpired {
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
        index: usize,
    },
}

/// All steps are allowed at any time, so the reference machine has no state; [`World`]
/// checks the ledgers' answers.
#[derive(Debug, Clone)]
struct StatelessReference;

impl ReferenceStateMachine for StatelessReference {
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
                .prop_map(|(ledger, ticket, presenter)| Step::Present { ledger, ticket, presenter }),
            4 => (0usize..6).prop_map(|ticket| Step::Close { ticket }),
            2 => (0u64..1500).prop_map(|ms| Step::Wait { ms }),
            2 => ledger.clone().prop_map(|ledger| Step::EvictExpired { ledger }),
            1 => ledger.clone().prop_map(|ledger| Step::Stop { ledger }),
            2 => (ledger.clone(), ledger).prop_map(|(from, to)| Step::HandOver { from, to }),
            1 => (0usize..4).prop_map(|index| Step::Redeliver { index }),
        ]
        .boxed()
    }

    fn apply(_: (), _: &Step) {}
}

/// Expected state of one ticket.
struct TicketState {
    ticket: Ticket,
    issued_at: u64,
    runs: u32,
    /// Ledger with an open record for the ticket.
    open_at: Option<usize>,
    first_identity: Option<Identity>,
    answer: Option<Vec<u8>>,
    /// A presentation was refused with a promise that the request never runs.
    refused: bool,
}

struct World {
    now: u64,
    ledgers: Vec<Ledger>,
    stopped: [bool; LEDGERS],
    successors: [Option<usize>; LEDGERS],
    hand_overs: Vec<(usize, HandOver)>,
    tickets: Vec<TicketState>,
}

impl World {
    /// Each ledger's process has its own start time.
    fn clock(&self, ledger: usize) -> u64 {
        self.now + 1000 * ledger as u64
    }

    fn nth_newest(&self, index: usize) -> Option<usize> {
        self.tickets.len().checked_sub(1 + index)
    }

    fn present(&mut self, ledger: usize, index: usize, presenter: u8) {
        let clock = self.clock(ledger);
        let state = &mut self.tickets[index];
        let identity = Identity {
            org: if presenter == 2 { "q" } else { "o" }.into(),
            digest: [presenter.min(1); 32],
        };
        let expired = self.now >= state.issued_at + TICKET_MS;
        let presented = self.ledgers[ledger].present_ticket(clock, &state.ticket, &identity);
        match presented {
            PresentOutcome::Run => {
                assert_eq!(state.runs, 0, "ran twice");
                assert!(!state.refused, "ran after a permanent refusal");
                assert!(!expired, "ran after its expiry");
                assert!(!self.stopped[ledger], "run by a stopped ledger");
                assert_eq!(identity.org, state.ticket.org);
                state.runs += 1;
                state.open_at = Some(ledger);
                state.first_identity = Some(identity);
            }
            PresentOutcome::Wait => {
                assert_eq!(
                    state.open_at,
                    Some(ledger),
                    "waits for a request that doesn't run here"
                );
                assert_eq!(state.first_identity.as_ref(), Some(&identity));
            }
            PresentOutcome::Retained(answer) => {
                assert_eq!(state.answer.as_ref(), Some(&answer));
                assert_eq!(
                    state.first_identity.as_ref(),
                    Some(&identity),
                    "answer of another request"
                );
            }
            PresentOutcome::AnswerDropped => {
                assert!(state.answer.is_some());
                assert_eq!(state.first_identity.as_ref(), Some(&identity));
            }
            PresentOutcome::RequestMismatch => {
                assert!(
                    state.first_identity.as_ref() != Some(&identity)
                        || identity.org != state.ticket.org
                )
            }
            PresentOutcome::Expired => assert!(expired, "expired too early"),
            PresentOutcome::NotIssuer
            | PresentOutcome::RefusedUnrecorded
            | PresentOutcome::HandedOver => {
                assert_ne!(state.open_at, Some(ledger), "an open record was lost");
            }
            PresentOutcome::Full | PresentOutcome::Stopped | PresentOutcome::Refused => {
                assert_eq!(state.runs, 0, "permanently refused after it ran");
                state.refused = true;
            }
        }
    }

    fn close(&mut self, index: usize) {
        let state = &mut self.tickets[index];
        let Some(ledger) = state.open_at.take() else {
            return;
        };
        let answer = vec![index as u8; 12];
        let id = RecordId {
            issuer: state.ticket.issuer,
            slot: Slot::Ticket(state.ticket.number),
        };
        assert!(
            self.ledgers[ledger].close(id, answer.clone()),
            "close found no open record"
        );
        state.answer = Some(answer);
    }

    fn hand_over(&mut self, from: usize, to: usize) {
        let may_send = self.successors[from].is_none_or(|successor| successor == to);
        if from == to || !may_send {
            return;
        }
        let clock = self.clock(from);
        let open = self.tickets.iter().any(|state| state.open_at == Some(from));
        let Some(hand_over_state) = self.ledgers[from].hand_over(clock, |_| true) else {
            assert!(
                open || !self.stopped[from],
                "hand-over refused although nothing is open"
            );
            return;
        };
        assert!(
            !open && self.stopped[from],
            "handed over before stopping or with open records"
        );
        self.hand_overs.push((to, hand_over_state));
        self.successors[from] = Some(to);
        self.deliver(self.hand_overs.len() - 1);
    }

    fn deliver(&mut self, index: usize) {
        let Some((to, hand_over_state)) = self.hand_overs.get(index).cloned() else {
            return;
        };
        let clock = self.clock(to);
        let from = hand_over_state.from as usize;
        if !self.ledgers[to].adopt(clock, hand_over_state) && self.successors[from] == Some(to) {
            // Refused: the sender may choose another successor, unless this one took over
            // before.
            self.successors[from] = None;
        }
    }
}

struct LedgerTest;

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = World;
    type Reference = StatelessReference;

    fn init_test(_: &()) -> World {
        World {
            now: 0,
            ledgers: (0..LEDGERS as u64)
                .map(|own| Ledger::new(own, BOUNDS))
                .collect(),
            stopped: [false; LEDGERS],
            successors: [None; LEDGERS],
            hand_overs: Vec::new(),
            tickets: Vec::new(),
        }
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        match step {
            Step::Issue { ledger } => {
                let clock = world.clock(ledger);
                let ticket = world.ledgers[ledger].issue(clock, "o");
                world.tickets.push(TicketState {
                    ticket,
                    issued_at: world.now,
                    runs: 0,
                    open_at: None,
                    first_identity: None,
                    answer: None,
                    refused: false,
                });
            }
            Step::Present {
                ledger,
                ticket,
                presenter,
            } => {
                if let Some(index) = world.nth_newest(ticket) {
                    world.present(ledger, index, presenter);
                }
            }
            Step::Close { ticket } => {
                if let Some(index) = world.nth_newest(ticket) {
                    world.close(index);
                }
            }
            Step::Wait { ms } => world.now += ms,
            Step::EvictExpired { ledger } => {
                let clock = world.clock(ledger);
                world.ledgers[ledger].evict_expired(clock);
            }
            Step::Stop { ledger } => {
                world.ledgers[ledger].stop();
                world.stopped[ledger] = true;
            }
            Step::HandOver { from, to } => world.hand_over(from, to),
            Step::Redeliver { index } => world.deliver(index),
        }
        world
    }

    fn check_invariants(world: &World, _: &()) {
        for (index, ledger) in world.ledgers.iter().enumerate() {
            let open = world
                .tickets
                .iter()
                .filter(|state| state.open_at == Some(index))
                .count();
            assert_eq!(ledger.open_records(), open);
            let adopted: usize = world
                .hand_overs
                .iter()
                .filter(|(to, _)| *to == index)
                .count();
            assert!(ledger.len() <= BOUNDS.records * (1 + adopted));
        }
        let numbers: HashMap<(u64, u64), usize> =
            world
                .tickets
                .iter()
                .fold(HashMap::new(), |mut counts, state| {
                    *counts
                        .entry((state.ticket.issuer, state.ticket.number))
                        .or_default() += 1;
                    counts
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
    fn ticket_runs_once_and_retains_its_answer(sequential 1..80 => LedgerTest);
}

fn identity() -> Identity {
    Identity {
        org: "o".into(),
        digest: [1; 32],
    }
}

#[test]
fn memory_bound_drops_answers_not_records() {
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
            PresentOutcome::Run
        );
        let id = RecordId {
            issuer: 1,
            slot: Slot::Ticket(ticket.number),
        };
        assert!(ledger.close(id, vec![0; 15]));
    }
    let present_again =
        |ledger: &mut Ledger, index: usize| ledger.present_ticket(2, &tickets[index], &identity());
    assert_eq!(present_again(&mut ledger, 0), PresentOutcome::AnswerDropped);
    assert_eq!(
        present_again(&mut ledger, 4),
        PresentOutcome::Retained(vec![0; 15])
    );
}

#[test]
fn only_the_claimer_opens_a_claim_record() {
    let mut ledger = Ledger::new(1, BOUNDS);
    let id = RecordId {
        issuer: 1,
        slot: Slot::Claim([7; 32]),
    };
    assert_eq!(
        ledger.present_claim(0, id, &identity(), false),
        PresentOutcome::Expired
    );
    assert_eq!(
        ledger.present_claim(0, id, &identity(), true),
        PresentOutcome::Run
    );
    assert_eq!(
        ledger.present_claim(1, id, &identity(), false),
        PresentOutcome::Wait
    );
    assert_eq!(ledger.find_claim(&[7; 32]), Some(id));
}

#[test]
fn hand_over_omits_answers_not_allowed() {
    let mut ledger = Ledger::new(1, BOUNDS);
    let ticket = ledger.issue(0, "o");
    ledger.present_ticket(0, &ticket, &identity());
    let id = RecordId {
        issuer: 1,
        slot: Slot::Ticket(ticket.number),
    };
    ledger.close(id, vec![1]);
    ledger.stop();
    let hand_over_state = ledger.hand_over(5, |_| false).expect("no record is open");
    let mut successor = Ledger::new(2, BOUNDS);
    assert!(successor.adopt(100, hand_over_state));
    let presented = successor.present_ticket(101, &ticket, &identity());
    assert_eq!(presented, PresentOutcome::AnswerDropped);
}

#[test]
fn open_record_is_never_evicted() {
    let mut ledger = Ledger::new(1, BOUNDS);
    let ticket = ledger.issue(0, "o");
    ledger.present_ticket(0, &ticket, &identity());
    let after_expiry = 100 * TICKET_MS;
    ledger.evict_expired(after_expiry);
    let presented = ledger.present_ticket(after_expiry, &ticket, &identity());
    assert_eq!(presented, PresentOutcome::Wait);
    assert_eq!(ledger.open_records(), 1);
}

#[test]
fn refusal_by_full_ledger_is_permanent() {
    let mut ledger = Ledger::new(1, BOUNDS);
    let older: Vec<Ticket> = (0..BOUNDS.records).map(|_| ledger.issue(0, "o")).collect();
    let newest = ledger.issue(900, "o");
    for ticket in &older {
        ledger.present_ticket(900, ticket, &identity());
        let id = RecordId {
            issuer: 1,
            slot: Slot::Ticket(ticket.number),
        };
        ledger.close(id, vec![1]);
    }
    assert_eq!(
        ledger.present_ticket(900, &newest, &identity()),
        PresentOutcome::Full
    );
    let after_eviction = 1100;
    ledger.evict_expired(after_eviction);
    assert!(ledger.is_empty());
    let presented = ledger.present_ticket(after_eviction, &newest, &identity());
    assert_eq!(presented, PresentOutcome::Refused);
}

#[test]
fn evicted_claim_is_reported_once() {
    let mut ledger = Ledger::new(1, BOUNDS);
    let id = RecordId {
        issuer: 1,
        slot: Slot::Claim([7; 32]),
    };
    ledger.present_claim(0, id, &identity(), true);
    assert!(ledger.evict_expired(BOUNDS.claim_ms + 1).is_empty());
    ledger.close(id, vec![1]);
    assert_eq!(ledger.evict_expired(BOUNDS.claim_ms + 1), [[7; 32]]);
    assert!(ledger.evict_expired(BOUNDS.claim_ms + 2).is_empty());
}
