//! Locking of state that tasks share.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also after a panic of another holder.
///
/// No task holds a lock across an `await`, and in a release build a panic ends the process, so a poisoned
/// lock protects nothing.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
