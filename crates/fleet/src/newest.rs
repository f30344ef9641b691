//! The newest version of something that is replaced as a whole, whoever brings
//! it.
//!
//! The store and peers tell versions late, twice and out of order. Only a higher
//! version than the one held replaces it, so what is in force never goes back
//! within a process.

/// What is held, with its version.
#[derive(Debug, Clone)]
pub struct Newest<T> {
    held: Option<(u64, T)>,
}

impl<T> Default for Newest<T> {
    fn default() -> Self {
        Newest { held: None }
    }
}

impl<T> Newest<T> {
    /// What is held; `None` before the first version came.
    pub fn get(&self) -> Option<&T> {
        self.held.as_ref().map(|(_, value)| value)
    }

    /// Version of what is held; `None` before the first one.
    pub fn version(&self) -> Option<u64> {
        self.held.as_ref().map(|(version, _)| *version)
    }

    /// Takes `value` if it is newer than what is held; tells whether it was.
    pub fn offer(&mut self, version: u64, value: T) -> bool {
        if self.version().is_some_and(|held| version <= held) {
            return false;
        }
        self.held = Some((version, value));
        true
    }
}
