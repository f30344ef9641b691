//! Concurrent applies against a model of a store that loses replies and delays writes.
//!
//! Revisions must increase by one, an apply id may be accepted only once, and each operator's
//! outcome must match the store's history.

use hollowsail_config::chunk::Head;
use hollowsail_fleet::{Accept, AcceptStep, Apply, ApplyOutcome, HeadReply};
use proptest::prelude::*;

/// Delivery of one call.
#[derive(Debug, Clone, Copy)]
enum Delivery {
    Replied,
    ReplyLost,
    /// Takes effect after later calls; the reply is lost.
    Delayed,
    NotSent,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        6 => Just(Delivery::Replied),
        2 => Just(Delivery::ReplyLost),
        2 => Just(Delivery::Delayed),
        1 => Just(Delivery::NotSent),
    ]
}

#[derive(Default)]
struct Store {
    version: u64,
    history: Vec<Head>,
    delayed: Vec<(Option<u64>, Head)>,
}

impl Store {
    fn write(&mut self, over: Option<u64>, head: &Head) -> HeadReply {
        if over.unwrap_or(0) != self.version {
            return HeadReply::VersionMismatch;
        }
        self.version += 1;
        self.history.push(head.clone());
        HeadReply::Written
    }

    fn call(&mut self, step: &AcceptStep, delivery: Delivery) -> HeadReply {
        let reply = match (step, delivery) {
            (_, Delivery::NotSent) => return HeadReply::NotDone,
            (AcceptStep::WriteHead { over, head }, Delivery::Delayed) => {
                self.delayed.push((*over, head.clone()));
                return HeadReply::Lost;
            }
            (AcceptStep::WriteHead { over, head }, _) => self.write(*over, head),
            (AcceptStep::ReadHead, _) => {
                let found = self.history.last().map(|head| (self.version, head.clone()));
                HeadReply::Read(found)
            }
        };
        match (step, delivery) {
            (AcceptStep::ReadHead, Delivery::ReplyLost | Delivery::Delayed) => HeadReply::NotDone,
            (_, Delivery::ReplyLost) => HeadReply::Lost,
            _ => reply,
        }
    }
}

/// Next step of the schedule.
#[derive(Debug, Clone)]
enum Step {
    Call {
        operator: usize,
        delivery: Delivery,
    },
    /// A delayed write takes effect.
    Deliver {
        index: usize,
    },
    /// An operator whose apply has ended starts another one, or resends one with unknown
    /// outcome.
    Restart {
        operator: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0usize..3, delivery()).prop_map(|(operator, delivery)| Step::Call { operator, delivery }),
        2 => (0usize..4).prop_map(|index| Step::Deliver { index }),
        2 => (0usize..3).prop_map(|operator| Step::Restart { operator }),
    ]
}

struct Operator {
    id: String,
    base: u64,
    accept: Accept,
    outcome: Option<ApplyOutcome>,
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
        outcome: None,
    }
}

fn check(store: &Store, operator: &Operator) {
    let accepted = store
        .history
        .iter()
        .find(|head| head.apply_id == operator.id);
    match &operator.outcome {
        Some(ApplyOutcome::Accepted { revision, .. }) => {
            let head = accepted.expect("outcome is accepted, but the store has no such head");
            assert_eq!(head.revision, *revision);
            assert_eq!(head.parent, operator.base, "accepted on a different base");
        }
        Some(ApplyOutcome::Conflict(_)) => assert!(
            accepted.is_none(),
            "outcome is conflict, but it was accepted"
        ),
        Some(ApplyOutcome::Unavailable) => assert!(
            accepted.is_none(),
            "outcome is unavailable, but it was accepted"
        ),
        Some(ApplyOutcome::Unknown) | None => {}
    }
}

proptest! {
    #![proptest_config(crate::config(11))]
    #[test]
    fn outcomes_match_store_history(steps in prop::collection::vec(step(), 1..120)) {
        let mut store = Store::default();
        let mut next = 0;
        let mut new_id = move || { next += 1; format!("id-{next}") };
        let mut operators: Vec<Operator> = (0..3).map(|_| begin(new_id(), 0, false)).collect();
        let mut past: Vec<Operator> = Vec::new();
        for step in steps {
            match step {
                Step::Call { operator, delivery } => {
                    let operator = &mut operators[operator];
                    if operator.outcome.is_none() {
                        let reply = store.call(&operator.accept.step().clone(), delivery);
                        operator.outcome = operator.accept.answer(reply);
                    }
                }
                Step::Deliver { index } => {
                    if index < store.delayed.len() {
                        let (over, head) = store.delayed.remove(index);
                        store.write(over, &head);
                    }
                }
                Step::Restart { operator } => {
                    let base = store.history.last().map_or(0, |head| head.revision);
                    let slot = &mut operators[operator];
                    let next = match &slot.outcome {
                        None => continue,
                        Some(ApplyOutcome::Unknown) => begin(slot.id.clone(), slot.base, true),
                        Some(_) => begin(new_id(), base, false),
                    };
                    past.push(std::mem::replace(slot, next));
                }
            }
            operators.iter().chain(&past).for_each(|operator| check(&store, operator));
        }
        for (index, head) in store.history.iter().enumerate() {
            prop_assert_eq!(head.revision, index as u64 + 1);
            let same = store.history.iter().filter(|h| h.apply_id == head.apply_id).count();
            prop_assert_eq!(same, 1, "an apply id was accepted twice");
        }
    }
}
