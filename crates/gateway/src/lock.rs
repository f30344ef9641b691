//! Locks that are held for a few statements only.

use std::sync::{Mutex, MutexGuard};

/// Locks a mutex whose holders don't panic.
#[expect(
    clippy::expect_used,
    reason = "what a panic left half done must not be used"
)]
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .expect("no thread panics while holding the lock")
}
