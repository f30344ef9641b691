//! The results that a request starts from.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use crate::pools::HeldResult;

/// How long a request takes to reach its engine, and that to ask the makers for the
/// results; moving them comes on top. With 40 ms more than calls between halls need,
/// one request in 800 came before its engine had them.
const FETCH_SLACK: Duration = Duration::from_millis(60);

/// Results that a request starts from; given up when dropped.
#[derive(Default)]
pub struct Prepared {
    pub inputs: Vec<String>,
    results: RefCell<Vec<HeldResult>>,
    /// Time in which an engine fetches them, besides the way there; `None` where it
    /// can't be told.
    moving: Option<Duration>,
    is_given_up: Cell<bool>,
}

impl Prepared {
    /// Results under their handles, and the time in which an engine fetches them.
    pub fn new(inputs: Vec<String>, results: Vec<HeldResult>, moving: Option<Duration>) -> Self {
        Prepared {
            inputs,
            results: RefCell::new(results),
            moving,
            is_given_up: Cell::new(false),
        }
    }

    /// Time after a send within which the engine has fetched what the request starts
    /// from; `None` where there is nothing to fetch or it can't be told.
    pub fn fetched_within(&self) -> Option<Duration> {
        let has_results = !self.results.borrow().is_empty();
        self.moving
            .filter(|_| has_results)
            .map(|moving| FETCH_SLACK + moving)
    }

    /// Gives the results up: the engine has them.
    pub fn give_up(&self) {
        self.results.borrow_mut().clear();
        self.is_given_up.set(true);
    }

    /// True when another engine would find them gone.
    pub fn is_given_up(&self) -> bool {
        self.is_given_up.get()
    }

    /// Bytes of results by the data hall that they lie in.
    pub fn bytes_by_hall(&self) -> Vec<(String, u64)> {
        let results = self.results.borrow();
        let mut halls: HashMap<&str, u64> = HashMap::new();
        for result in results.iter() {
            *halls.entry(result.hall()).or_default() += result.bytes;
        }
        let halls = halls.into_iter();
        halls
            .map(|(hall, bytes)| (hall.to_string(), bytes))
            .collect()
    }

    /// Bytes of results that lie outside a data hall.
    pub fn bytes_outside(&self, hall: &str) -> u64 {
        let results = self.results.borrow();
        let outside = results.iter().filter(|result| result.hall() != hall);
        outside.map(|result| result.bytes).sum()
    }
}
