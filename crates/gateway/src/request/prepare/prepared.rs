//! The results that a request starts from.

use std::collections::HashMap;

use crate::pools::HeldResult;

/// Results that a request starts from; given up when dropped.
#[derive(Default)]
pub struct Prepared {
    pub inputs: Vec<String>,
    pub(super) results: Vec<HeldResult>,
}

impl Prepared {
    /// Bytes of results by the data hall that they lie in.
    pub fn bytes_by_hall(&self) -> Vec<(String, u64)> {
        let mut halls: HashMap<&str, u64> = HashMap::new();
        for result in &self.results {
            *halls.entry(result.hall()).or_default() += result.bytes;
        }
        let halls = halls.into_iter();
        halls
            .map(|(hall, bytes)| (hall.to_string(), bytes))
            .collect()
    }

    /// Bytes of results that lie outside a data hall.
    pub fn bytes_outside(&self, hall: &str) -> u64 {
        let outside = self.results.iter().filter(|result| result.hall() != hall);
        outside.map(|result| result.bytes).sum()
    }
}
