//! Locks that outlive a panic of their holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a panic of another holder. The data is still
/// consistent then: each critical section is a single step of a state machine
/// that reports broken invariants itself.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
