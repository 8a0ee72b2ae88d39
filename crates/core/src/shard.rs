//! This controller's lease at the state service, and what it knows of the owner of each shard.
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, NodeIdx, Timestamp};

/// Time from the last renewal of a controller's lease at the state service to its expiry, in ms.
pub const LEASE_TTL_MS: u64 = 4000;
/// Interval between two renewals of the lease, in ms.
pub const LEASE_RENEWAL_INTERVAL_MS: u64 = 1000;

/// Returns an interval of this node's clock, in ms, that is certainly not longer than `ms` on any
/// other clock. Clock rates may differ by 0.05%; the margin is 0.1% and an additional 50 ms for the
/// rounding of timers.
pub fn minus_clock_drift(ms: u64) -> u64 {
    ms.saturating_sub(if is_enforced(Guard::ClockDriftAllowance) { ms / 1000 + 50 } else { 0 })
}

/// Returns an interval of this node's clock, in ms, that is certainly not shorter than `ms` on any
/// other clock.
pub fn plus_clock_drift(ms: u64) -> u64 {
    ms + if is_enforced(Guard::ClockDriftAllowance) { ms / 1000 + 250 } else { 0 }
}

/// A present or former owner of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The node.
    pub node: NodeIdx,
    /// Number of the process on that node; 0 if unknown, because the owner was learned from a
    /// sibling's heartbeat.
    pub boot: u64,
    /// The revision at which the node acquired the shard.
    pub epoch: Epoch,
}

/// What this node knows of the ownership of one shard.
///
/// Invariants: neither the epoch of `newest_owner` nor `vacated_revision` ever decreases; an owner that is
/// known only from a sibling's claim has an epoch above `vacated_revision`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardView {
    /// The present owner as far as is known; `None`: the shard is vacant or its owner is unknown.
    pub owner: Option<Owner>,
    /// The owner with the newest known epoch: the present owner, or a former one.
    pub newest_owner: Option<Owner>,
    /// Store revision at which the shard was last known to be vacant: all epochs up to it are over.
    pub vacated_revision: u64,
    /// When this node first learned that the shard is vacant.
    pub vacant_since: Timestamp,
    /// When this node first learned of the present owner.
    pub owned_since: Timestamp,
    /// Whether an acquisition by this node is in flight.
    pub acquisition_in_flight: bool,
}

/// The state of a shard's key in the state service.
#[derive(Clone, Copy, Debug)]
pub enum ShardKeyState<'a> {
    /// The key exists: the shard has an owner.
    Owned {
        /// The owner's record.
        value: &'a serde_json::Value,
        /// The revision at which it was written: the owner's epoch.
        version: u64,
    },
    /// The key does not exist: the shard has no owner.
    Vacant {
        /// A revision of the store at which the key did not exist.
        revision: u64,
    },
}

impl ShardKeyState<'_> {
    /// Returns the revision at which the key had this state.
    pub fn revision(&self) -> u64 {
        match *self {
            ShardKeyState::Owned { version, .. } => version,
            ShardKeyState::Vacant { revision } => revision,
        }
    }
}

impl ShardView {
    /// Records that the shard had no owner at that revision. An owner with a newer epoch stays.
    pub fn vacate(&mut self, revision: u64, now: Timestamp) {
        self.vacated_revision = self.vacated_revision.max(revision);
        if self.owner.is_some_and(|owner| owner.epoch.0 <= revision) {
            self.owner = None;
            self.vacant_since = now;
            self.acquisition_in_flight = false;
        }
    }

    /// Processes a sibling's claim that this is the owner. The claim is accepted unless this owner
    /// or a newer one is known already, or the store has shown that the shard was vacant since.
    /// Returns whether the claim was accepted.
    ///
    /// A claim is also accepted of an owner whose lease is uncertain. When owners with an uncertain
    /// lease named none of their shards in heartbeats, the previous owner, which the store refused,
    /// kept answering workers that ran cancelled tasks.
    pub fn accept_claim(&mut self, claimed: Owner, now: Timestamp) -> bool {
        let is_newer = self.owner.is_none_or(|owner| owner.epoch < claimed.epoch);
        let is_accepted = is_newer && claimed.epoch.0 > self.vacated_revision;
        if is_accepted {
            self.set_owner(claimed, now);
        }
        is_accepted
    }

    /// Sets the owner that the store, or an accepted claim, has shown.
    pub fn set_owner(&mut self, new: Owner, now: Timestamp) {
        if self.owner.is_none_or(|owner| owner.epoch != new.epoch) {
            self.owned_since = now;
        }
        self.owner = Some(new);
        if self.newest_owner.is_none_or(|newest| newest.epoch < new.epoch) {
            self.newest_owner = Some(new);
        }
    }
}

/// This node's lease at the state service.
///
/// Invariant: `renewed_at` is never later than the renewal at the state service, so the lease ends for
/// this node before it expires there.
#[derive(Debug, Default)]
pub struct Lease {
    /// The lease's number; `None`: this node has no lease.
    pub id: Option<u64>,
    /// When the last request or renewal that succeeded was sent.
    pub renewed_at: Timestamp,
    /// When the call in flight was sent; `None`: no call is in flight.
    pub call_sent_at: Option<Timestamp>,
    /// When the next call is due.
    pub next_call_at: Timestamp,
}

impl Lease {
    /// Whether the lease has certainly not expired yet.
    pub fn is_valid(&self, now: Timestamp) -> bool {
        self.id.is_some() && now < self.renewed_at + minus_clock_drift(LEASE_TTL_MS)
    }

    /// Returns for how long, in ms, the lease may have been expired; 0 if it is valid.
    pub fn uncertain_ms(&self, now: Timestamp) -> u64 {
        now.saturating_sub(self.renewed_at + minus_clock_drift(LEASE_TTL_MS))
    }
}

#[cfg(test)]
mod tests;
