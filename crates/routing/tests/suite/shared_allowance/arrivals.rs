//! What targets of one service get, counted as the bound is stated: by arrival, in every window.

use std::collections::BTreeSet;

use super::{Millis, RULES};

#[derive(Debug, Default)]
pub struct Arrivals {
    requests: Vec<Millis>,
    /// Time of arrival, and the work that arrived.
    arrived: Vec<(Millis, u64)>,
}

/// The window that comes nearest to what is allowed, or exceeds it by most.
#[derive(Debug, Clone, Copy)]
pub struct WorstWindow {
    pub repeats: usize,
    pub allowed: f64,
}

impl WorstWindow {
    /// Repeats beyond what is allowed; negative within it.
    pub fn excess(&self) -> f64 {
        self.repeats as f64 - self.allowed
    }

    /// Part of the allowance that is used.
    pub fn used(&self) -> f64 {
        self.repeats as f64 / self.allowed.max(1.0)
    }

    pub fn is_exceeded(&self) -> bool {
        self.excess() > 1e-6
    }
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
        let window = RULES.window_ms;
        let repeats = self.repeats();
        let count = |times: &[Millis], from: Millis, shift: Millis| {
            let until = times.partition_point(|at| *at + shift <= from + window);
            until - times.partition_point(|at| *at + shift < from)
        };
        let mut starts: Vec<Millis> = repeats.iter().chain(&self.requests).copied().collect();
        starts.sort();
        starts.dedup();
        let starts = starts.iter();
        let starts = starts.flat_map(|at| [*at, *at + 1, at.saturating_sub(window)]);
        let windows = starts.map(|from| {
            let requests = [0, window / 2, window].map(|by| count(&self.requests, from, by));
            let requests = requests.into_iter().max().unwrap_or(0);
            WorstWindow {
                repeats: count(&repeats, from, 0),
                allowed: RULES.ratio * requests as f64 + extra,
            }
        });
        let worst = windows.max_by(|a, b| a.excess().total_cmp(&b.excess()));
        worst.unwrap_or(WorstWindow {
            repeats: 0,
            allowed: extra,
        })
    }
}
