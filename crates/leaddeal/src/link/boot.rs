//! The number that tells the processes of a node apart.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The number by which peers tell this process from those before it, of which there is one at a time: the
/// larger the newer. Clones share it.
///
/// It begins with the time of day, which may be less than what the process before began with, when that
/// ended a moment ago and the clock stepped back. The listening peer then says so, and the number is raised.
/// Only a live process receives that, so what an ended one left in the network stays outdated.
#[derive(Clone)]
pub(crate) struct BootNumber(Arc<AtomicU64>);

impl BootNumber {
    /// Starts with this number.
    pub fn new(number: u64) -> BootNumber {
        BootNumber(Arc::new(AtomicU64::new(number)))
    }

    pub(super) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Makes it larger than that of another process of this node; never smaller.
    pub(super) fn raise_above(&self, other: u64) {
        self.0.fetch_max(other.saturating_add(1), Ordering::Relaxed);
    }
}
