//! Keeps to the cloud's limit of calls.
use crate::ids::Timestamp;

/// Spaces out the calls to the cloud. Those for the catalog are not counted.
#[derive(Debug)]
pub(super) struct CallPacing {
    next_call_at: Timestamp,
}

impl CallPacing {
    pub(super) fn new(now: Timestamp) -> CallPacing {
        CallPacing { next_call_at: now }
    }

    /// Whether a call may be made now.
    pub(super) fn is_ready(&self, now: Timestamp) -> bool {
        now >= self.next_call_at
    }

    /// A call is made now; the next one may be made `gap_ms` later.
    pub(super) fn on_call(&mut self, now: Timestamp, gap_ms: u64) {
        self.next_call_at = now + gap_ms;
    }

    /// A call is made now that could not wait, perhaps ahead of time: the next one is put off by
    /// `gap_ms`.
    pub(super) fn on_early_call(&mut self, now: Timestamp, gap_ms: u64) {
        self.next_call_at = self.next_call_at.max(now) + gap_ms;
    }
}
