//! What targets of one service get, in the order of arrival.

use std::collections::BTreeSet;

use super::Millis;
use crate::repeat_windows::WorstWindow;

#[derive(Debug, Default)]
pub struct Arrivals {
    requests: Vec<Millis>,
    /// Time of arrival, and the work that arrived.
    arrived: Vec<(Millis, u64)>,
}

impl Arrivals {
    /// Records a caller's request.
    pub fn request(&mut self, now: Millis) {
        self.requests.push(now);
    }

    pub fn record(&mut self, at: Millis, work: u64) {
        self.arrived.push((at, work));
    }

    /// When work arrived that had arrived before, in order.
    fn repeats(&self) -> Vec<Millis> {
        let mut arrived = self.arrived.clone();
        arrived.sort();
        let mut seen = BTreeSet::new();
        arrived.retain(|(_, work)| !seen.insert(*work));
        arrived.into_iter().map(|(at, _)| at).collect()
    }

    pub fn worst_window(&self, extra: f64) -> WorstWindow {
        WorstWindow::of(&self.requests, &self.repeats(), extra)
    }
}
