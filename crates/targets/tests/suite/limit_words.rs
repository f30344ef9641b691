//! What targets said of how much they take, by whatever way and in whatever order it comes.

use hollowsail_platform::targets::Incarnation;
use hollowsail_targets::{LimitWord, Words};
use proptest::prelude::*;

fn start(born: u64) -> Incarnation {
    Incarnation {
        id: "i-1".to_string(),
        born,
    }
}

fn word(per_s: Option<f64>, asked: u64, heard: u64) -> LimitWord {
    LimitWord {
        per_s,
        asked,
        heard,
    }
}

#[test]
fn a_limit_holds_for_its_start_until_an_answer_names_none() {
    let mut words = Words::default();
    assert!(!words.names_limit(0, &start(1), word(None, 0, 0)), "none");
    assert!(
        words.is_empty(),
        "nothing is kept of a target without a limit"
    );
    assert!(words.names_limit(10, &start(1), word(Some(4.0), 5, 10)));
    assert!(
        !words.names_limit(20, &start(1), word(Some(4.0), 15, 20)),
        "the same"
    );
    assert_eq!(words.limit(&start(1)), Some(4.0));
    assert_eq!(words.limit(&start(2)), None, "the next start named none");
    assert_eq!(words.limited().count(), 1);
    assert!(words.names_limit(30, &start(1), word(None, 25, 30)));
    assert_eq!((words.limit(&start(1)), words.limited().count()), (None, 0));
}

#[test]
fn of_two_words_that_cross_the_stricter_holds_until_the_next_answer() {
    let mut words = Words::default();
    words.names_limit(100, &start(0), word(Some(1.0), 50, 100));
    assert!(
        !words.names_limit(110, &start(0), word(None, 60, 110)),
        "it may be older"
    );
    assert!(
        !words.names_limit(110, &start(0), word(Some(9.0), 99, 110)),
        "so may this"
    );
    assert!(
        words.names_limit(120, &start(0), word(Some(9.0), 100, 120)),
        "surely newer"
    );
    assert!(
        words.names_limit(130, &start(0), word(Some(2.0), 60, 130)),
        "stricter"
    );
    assert!(words.names_limit(150, &start(0), word(None, 131, 150)));
    assert!(
        !words.names_limit(160, &start(0), word(Some(1.0), 50, 100)),
        "surely older"
    );
}

#[test]
fn the_end_of_a_limit_is_kept_for_a_minute() {
    let mut words = Words::default();
    words.names_limit(0, &start(0), word(Some(1.0), 0, 0));
    words.names_limit(10, &start(0), word(None, 10, 10));
    words.forget(60_009, |_| true);
    assert!(words.limit_word(&start(0)).is_some());
    words.forget(60_010, |_| true);
    assert!(words.limit_word(&start(0)).is_none());
}

#[derive(Debug, Clone)]
struct Spoken {
    asked: u64,
    said: u64,
    heard: u64,
}

fn spoken() -> impl Strategy<Value = Spoken> {
    (0_u64..1_000, 0_u64..200, 0_u64..200).prop_map(|(asked, work, way)| Spoken {
        asked,
        said: asked + work,
        heard: asked + work + way,
    })
}

proptest! {
    /// However answers overtake each other, a limit is never taken for over, or for higher,
    /// while the target's own last word, by when it was written, is a stricter one that was
    /// heard.
    #[test]
    fn no_order_lets_more_through_than_the_newest_word_heard(
        mut answers in prop::collection::vec(spoken(), 1..30),
        changes in prop::collection::vec((0_u64..1_200, prop::option::of(1_u32..9)), 1..5),
    ) {
        let limit_at = |at: u64| {
            let before = changes.iter().filter(|(from, _)| *from <= at);
            let last = before.max_by_key(|(from, _)| *from);
            last.and_then(|(_, limit)| limit.map(f64::from))
        };
        answers.sort_by_key(|answer| answer.heard);
        let mut words = Words::default();
        let mut newest: Option<u64> = None;
        for answer in &answers {
            let per_s = limit_at(answer.said);
            words.names_limit(answer.heard, &start(0), word(per_s, answer.asked, answer.heard));
            newest = newest.max(Some(answer.said));
            let rate = |limit: Option<f64>| limit.unwrap_or(f64::INFINITY);
            let truth = rate(newest.and_then(limit_at));
            prop_assert!(rate(words.limit(&start(0))) <= truth);
        }
    }
}
