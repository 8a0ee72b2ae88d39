//! Keeps the calls to the cloud within its rate limit.
use crate::ids::Timestamp;

/// Spaces out the calls to the cloud. Calls for the catalog are not counted.
#[derive(Debug)]
pub(super) struct CallPacing {
    next_call_at: Timestamp,
}

impl CallPacing {
    pub(super) fn new(now: Timestamp) -> CallPacing {
        CallPacing { next_call_at: now }
    }

    /// Returns whether a call may be made now.
    pub(super) fn is_ready(&self, now: Timestamp) -> bool {
        now >= self.next_call_at
    }

    /// Records a call that is made now. The next one may be made `gap_ms` later.
    pub(super) fn on_call(&mut self, now: Timestamp, gap_ms: u64) {
        self.next_call_at = now + gap_ms;
    }

    /// Records a call that is made now whether or not the pacing allows one. The next regular call
    /// is delayed by a further `gap_ms`, so that the average rate stays within the limit.
    pub(super) fn on_unpaced_call(&mut self, now: Timestamp, gap_ms: u64) {
        self.next_call_at = self.next_call_at.max(now) + gap_ms;
    }
}
