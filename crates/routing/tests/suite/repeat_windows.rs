//! Windows of repeats, counted as their bound is stated: by what targets receive.

use hollowsail_routing::repeats::BudgetRules;
use hollowsail_routing::Millis;

pub const RULES: BudgetRules = BudgetRules {
    ratio: 0.2,
    window_ms: 10_000,
    arrival_ms: 1_000,
};

/// The window that comes nearest to what is allowed, or exceeds it by most.
#[derive(Debug, Clone, Copy)]
pub struct WorstWindow {
    pub repeats: usize,
    pub allowed: f64,
}

impl WorstWindow {
    /// Of all windows, by the times of requests and of repeats, each in order. Allowed is what the
    /// requests of the window entitle to, or those of a window that began half of one or a whole one
    /// earlier.
    pub fn of(requests: &[Millis], repeats: &[Millis], extra: f64) -> Self {
        let window = RULES.window_ms;
        let count = |times: &[Millis], from: Millis, shift: Millis| {
            let until = times.partition_point(|at| *at + shift <= from + window);
            until - times.partition_point(|at| *at + shift < from)
        };
        let mut starts: Vec<Millis> = repeats.iter().chain(requests).copied().collect();
        starts.sort();
        starts.dedup();
        let starts = starts.iter();
        let starts = starts.flat_map(|at| [*at, *at + 1, at.saturating_sub(window)]);
        let windows = starts.map(|from| {
            let requests = [0, window / 2, window].map(|by| count(requests, from, by));
            let requests = requests.into_iter().max().unwrap_or(0);
            WorstWindow {
                repeats: count(repeats, from, 0),
                allowed: RULES.ratio * requests as f64 + extra,
            }
        });
        let worst = windows.max_by(|a, b| a.excess().total_cmp(&b.excess()));
        worst.unwrap_or(WorstWindow {
            repeats: 0,
            allowed: extra,
        })
    }

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
