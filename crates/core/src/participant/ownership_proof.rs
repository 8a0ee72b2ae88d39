//! The fencing tokens that a participant may use.
//!
//! The first one is its epoch. Each revision of the store at which the shard's key still had that epoch is a further
//! one: a later owner acquires the shard at a larger revision, and previous owners used smaller ones. A worker that has
//! seen a token refuses commands that were sent under smaller ones, however late a copy of them arrives.
use crate::ids::{Epoch, Timestamp};

/// Interval between two transactions that only prove the ownership, in ms.
const PROOF_INTERVAL_MS: u64 = 2000;

/// Up to which revision the ownership is proven, and whether a newer revision is needed.
///
/// Invariant: at `proven_revision`, the shard's key had this owner's epoch. Only the answer to a transaction on
/// that condition proves it; an unknown outcome, or a revision that was only read, does not.
#[derive(Debug)]
pub(super) struct OwnershipProof {
    proven_revision: u64,
    is_wanted: bool,
    is_in_flight: bool,
    next_try_at: Timestamp,
}

impl OwnershipProof {
    /// Returns the proof that the acquisition at this epoch is.
    pub(super) fn new(epoch: Epoch) -> OwnershipProof {
        OwnershipProof {
            proven_revision: epoch.0,
            is_wanted: false,
            is_in_flight: false,
            next_try_at: 0,
        }
    }

    /// Returns the newest fencing token that may be used.
    pub(super) fn newest_token(&self) -> u64 {
        self.proven_revision
    }

    /// Records that a transaction conditional on the epoch held at this revision.
    pub(super) fn record(&mut self, revision: u64) {
        if revision > self.proven_revision {
            self.proven_revision = revision;
            self.is_wanted = false;
        }
    }

    /// Notes that a newer token is needed.
    pub(super) fn want(&mut self) {
        self.is_wanted = true;
    }

    /// Returns whether a transaction is to be sent now that only proves the ownership, and counts it as sent.
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        let is_due = self.is_wanted && !self.is_in_flight && now >= self.next_try_at;
        if is_due {
            self.is_in_flight = true;
            self.next_try_at = now + PROOF_INTERVAL_MS;
        }
        is_due
    }

    /// Notes that the transaction was answered, or will not be.
    pub(super) fn end_call(&mut self) {
        self.is_in_flight = false;
    }
}
