//! Locks for state shared between tasks.
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, ignoring poisoning.
///
/// Poisoning gives no protection here: no task holds a lock across an `await`, and in a release build a panic
/// ends the process.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
