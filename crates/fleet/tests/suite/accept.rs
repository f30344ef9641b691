//! Racing applies against a model of the store that loses answers and delays
//! writes.
//!
//! Oracle: the list of heads that were ever in the store. Revisions grow by
//! one; an apply id stands there at most once; what an operator was told is
//! what the list says.

use hollowsail_config::chunk::Head;
use hollowsail_fleet::{Accept, AcceptStep, Accepted, Apply, HeadAnswer};
use proptest::prelude::*;

/// What the network does with one call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    AnswerLost,
    /// Takes effect after some other calls; the answer is lost.
    Delayed,
    NotSent,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::Delayed),
        1 => Just(Fate::NotSent),
    ]
}

#[derive(Default)]
struct Store {
    version: u64,
    history: Vec<Head>,
    delayed: Vec<(Option<u64>, Head)>,
}

impl Store {
    fn write(&mut self, over: Option<u64>, head: &Head) -> HeadAnswer {
        if over.unwrap_or(0) != self.version {
            return HeadAnswer::Moved;
        }
        self.version += 1;
        self.history.push(head.clone());
        HeadAnswer::Written
    }

    fn call(&mut self, step: &AcceptStep, fate: Fate) -> HeadAnswer {
        let answer = match (step, fate) {
            (_, Fate::NotSent) => return HeadAnswer::NotDone,
            (AcceptStep::WriteHead { over, head }, Fate::Delayed) => {
                self.delayed.push((*over, head.clone()));
                return HeadAnswer::Lost;
            }
            (AcceptStep::WriteHead { over, head }, _) => self.write(*over, head),
            (AcceptStep::ReadHead, _) => {
                let found = self.history.last().map(|head| (self.version, head.clone()));
                HeadAnswer::Read(found)
            }
        };
        match (step, fate) {
            (AcceptStep::ReadHead, Fate::AnswerLost | Fate::Delayed) => HeadAnswer::NotDone,
            (_, Fate::AnswerLost) => HeadAnswer::Lost,
            _ => answer,
        }
    }
}

/// Scheduling: which operator's call is next, or which delayed write arrives.
#[derive(Debug, Clone)]
enum Turn {
    Call {
        operator: usize,
        fate: Fate,
    },
    Arrive {
        at: usize,
    },
    /// An operator whose apply has ended begins another on what is in force,
    /// or, when it ended in doubt, the same again.
    Again {
        operator: usize,
    },
}

fn turn() -> impl Strategy<Value = Turn> {
    prop_oneof![
        8 => (0usize..3, fate()).prop_map(|(operator, fate)| Turn::Call { operator, fate }),
        2 => (0usize..4).prop_map(|at| Turn::Arrive { at }),
        2 => (0usize..3).prop_map(|operator| Turn::Again { operator }),
    ]
}

struct Operator {
    id: String,
    base: u64,
    accept: Accept,
    ended: Option<Accepted>,
}

fn begin(id: String, base: u64, resent: bool) -> Operator {
    let apply = Apply {
        base,
        apply_id: id.clone(),
        files: Vec::new(),
        resent,
    };
    Operator {
        accept: Accept::new(apply, 3),
        id,
        base,
        ended: None,
    }
}

fn check(store: &Store, operator: &Operator) {
    let accepted = store
        .history
        .iter()
        .find(|head| head.apply_id == operator.id);
    match &operator.ended {
        Some(Accepted::Yes { revision, .. }) => {
            let head = accepted.expect("told accepted, and it is not in the store");
            assert_eq!(head.revision, *revision);
            assert_eq!(head.parent, operator.base, "accepted on another base");
        }
        Some(Accepted::Conflict(_)) => assert!(accepted.is_none(), "told conflict, yet accepted"),
        Some(Accepted::Unavailable) => assert!(accepted.is_none(), "told unchanged, yet accepted"),
        Some(Accepted::Unknown) | None => {}
    }
}

proptest! {
    #![proptest_config(crate::config(11))]
    #[test]
    fn operators_are_told_what_the_store_holds(turns in prop::collection::vec(turn(), 1..120)) {
        let mut store = Store::default();
        let mut next = 0;
        let mut new_id = move || { next += 1; format!("id-{next}") };
        let mut operators: Vec<Operator> = (0..3).map(|_| begin(new_id(), 0, false)).collect();
        let mut past: Vec<Operator> = Vec::new();
        for turn in turns {
            match turn {
                Turn::Call { operator, fate } => {
                    let operator = &mut operators[operator];
                    if operator.ended.is_none() {
                        let answer = store.call(&operator.accept.step().clone(), fate);
                        operator.ended = operator.accept.answer(answer);
                    }
                }
                Turn::Arrive { at } => {
                    if at < store.delayed.len() {
                        let (over, head) = store.delayed.remove(at);
                        store.write(over, &head);
                    }
                }
                Turn::Again { operator } => {
                    let base = store.history.last().map_or(0, |head| head.revision);
                    let slot = &mut operators[operator];
                    let next = match &slot.ended {
                        None => continue,
                        Some(Accepted::Unknown) => begin(slot.id.clone(), slot.base, true),
                        Some(_) => begin(new_id(), base, false),
                    };
                    past.push(std::mem::replace(slot, next));
                }
            }
            operators.iter().chain(&past).for_each(|operator| check(&store, operator));
        }
        for (at, head) in store.history.iter().enumerate() {
            prop_assert_eq!(head.revision, at as u64 + 1);
            let same = store.history.iter().filter(|h| h.apply_id == head.apply_id).count();
            prop_assert_eq!(same, 1, "an apply id was accepted twice");
        }
    }
}
