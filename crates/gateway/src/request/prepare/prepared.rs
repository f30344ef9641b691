//! Stage results that are the inputs of a request.
//!
//! The results are released when the value is dropped.

use std::collections::HashMap;

use crate::pools::RetainedResult;

/// Inputs of a request: the handles, and the results that are retained for them.
#[derive(Default)]
pub struct Prepared {
    pub inputs: Vec<String>,
    pub(super) results: Vec<RetainedResult>,
}

impl Prepared {
    /// Bytes of results by the data hall where they are stored.
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

    /// Bytes of results that are stored outside `hall`.
    pub fn bytes_outside(&self, hall: &str) -> u64 {
        let outside = self.results.iter().filter(|result| result.hall() != hall);
        outside.map(|result| result.bytes).sum()
    }
}
