//! The boot number, which distinguishes the successive processes of a node.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// The number by which peers distinguish this process from earlier ones of its node: the larger, the newer. A node
/// has one process at a time. Clones share the number.
///
/// The number begins with the time of day, so it is smaller than that of the previous process if that process
/// ended a moment ago and the clock stepped back. The receiving peer then signals this, and the number is raised.
/// Only a live process receives the signal, so messages of an ended process that are still in the network remain
/// outdated.
#[derive(Clone)]
pub(crate) struct BootNumber(Arc<AtomicU64>);

impl BootNumber {
    /// Creates a boot number with this initial value.
    pub fn new(number: u64) -> BootNumber {
        BootNumber(Arc::new(AtomicU64::new(number)))
    }

    pub(super) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Raises the number above that of another process of this node. Never lowers it.
    pub(super) fn raise_above(&self, other: u64) {
        self.0.fetch_max(other.saturating_add(1), Ordering::Relaxed);
    }
}
