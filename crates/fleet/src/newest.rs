//! Holds the newest version of a value that is replaced as a whole.
//!
//! The store and peers deliver versions late, repeatedly and out of order. Only a higher
//! version replaces the current one, so the version never decreases within a process.

/// A value and its version.
#[derive(Debug, Clone)]
pub struct Newest<T> {
    current: Option<(u64, T)>,
}

impl<T> Default for Newest<T> {
    fn default() -> Self {
        Newest { current: None }
    }
}

impl<T> Newest<T> {
    /// The current value; `None` before the first version.
    pub fn get(&self) -> Option<&T> {
        self.current.as_ref().map(|(_, value)| value)
    }

    /// The current version; `None` before the first one.
    pub fn version(&self) -> Option<u64> {
        self.current.as_ref().map(|(version, _)| *version)
    }

    /// Replaces the value if `version` is higher than the current one. Returns whether it did.
    pub fn offer(&mut self, version: u64, value: T) -> bool {
        if self.version().is_some_and(|current| version <= current) {
            return false;
        }
        self.current = Some((version, value));
        true
    }
}
