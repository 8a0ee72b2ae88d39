//! The controllers' lease, and which node owns each shard of the jobs and machines.
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, NodeIdx, Timestamp};

/// A controller's lease at the state service is over this long after its last renewal.
pub const LEASE_MS: u64 = 4000;
/// Between two renewals.
pub const RENEW_MS: u64 = 1000;

/// An interval of our clock, in ms, within which `ms` are certainly not over by another clock. Clocks
/// may differ by 0.05%; this is a safe factor, and the rounding of timers besides.
pub fn at_most(ms: u64) -> u64 {
    ms.saturating_sub(if is_enforced(Guard::ClockDriftAllowance) { ms / 1000 + 50 } else { 0 })
}

/// An interval of our clock, in ms, after which `ms` are certainly over by another clock.
pub fn at_least(ms: u64) -> u64 {
    ms + if is_enforced(Guard::ClockDriftAllowance) { ms / 1000 + 250 } else { 0 }
}

/// A node that owns a shard, or owned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The node.
    pub node: NodeIdx,
    /// Which process of it; 0 if that is not known, since a sibling named it.
    pub boot: u64,
    /// The revision at which it acquired the shard.
    pub epoch: Epoch,
}

/// What is known of the ownership of one shard.
///
/// Invariants: epochs of `newest_owner` never go back; `vacated` never goes back; an owner that only a
/// sibling named has an epoch above `vacated`.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardView {
    /// The present owner, as far as is known.
    pub owner: Option<Owner>,
    /// The newest owner there ever was, as far as is known: `owner`, or one whose time is over.
    pub newest_owner: Option<Owner>,
    /// Whatever epoch is not above this revision is over.
    pub vacated: u64,
    /// When it was first known that the last owner's time is over.
    pub vacant_since: Timestamp,
    /// When the present owner was first known of.
    pub owned_since: Timestamp,
    /// An acquisition by this node is in flight.
    pub acquiring: bool,
}

/// The state of a shard's key in the state service.
#[derive(Clone, Copy, Debug)]
pub enum ShardKeyState<'a> {
    /// It has this value, since that revision.
    Owned {
        /// The owner's record.
        value: &'a serde_json::Value,
        /// The revision at which it was written: the owner's epoch.
        version: u64,
    },
    /// It is not there at this revision.
    Vacant {
        /// The store's revision.
        revision: u64,
    },
}

impl ShardKeyState<'_> {
    /// The revision at which the key had this state.
    pub fn revision(&self) -> u64 {
        match *self {
            ShardKeyState::Owned { version, .. } => version,
            ShardKeyState::Vacant { revision } => revision,
        }
    }
}

impl ShardView {
    /// Nobody owns it at that revision; the time is counted from when that was first seen.
    pub fn vacate(&mut self, revision: u64, now: Timestamp) {
        self.vacated = self.vacated.max(revision);
        if self.owner.is_some_and(|owner| owner.epoch.0 <= revision) {
            self.owner = None;
            self.vacant_since = now;
            self.acquiring = false;
        }
    }

    /// A sibling claims that this is the owner, whose lease may be in doubt. The claim is accepted
    /// unless that owner or a newer one is known, or the store has shown that the shard was given up
    /// since. Returns whether it is.
    ///
    /// (Found by the simulator: heartbeats of an owner in doubt named none of its shards, and the
    /// owner before, which the store refused, kept workers with cancelled tasks.)
    pub fn accept_claim(&mut self, claimed: Owner, now: Timestamp) -> bool {
        let is_newer = self.owner.is_none_or(|owner| owner.epoch < claimed.epoch);
        let news = is_newer && claimed.epoch.0 > self.vacated;
        if news {
            self.set_owner(claimed, now);
        }
        news
    }

    /// This is the owner, as shown by the store or by a claim that was accepted.
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
/// Invariant: `renewed` is never later than the renewal at the state service, so that the lease is
/// over here before it is there.
#[derive(Debug, Default)]
pub struct Lease {
    /// Its number; none: there is no lease.
    pub id: Option<u64>,
    /// When the renewal last answered was sent.
    pub renewed: Timestamp,
    /// When the call that is in flight was sent.
    pub sent: Option<Timestamp>,
    /// When the next call is due.
    pub next: Timestamp,
}

impl Lease {
    /// Certainly not over yet.
    pub fn valid(&self, now: Timestamp) -> bool {
        self.id.is_some() && now < self.renewed + at_most(LEASE_MS)
    }

    /// For how long, in ms, it has been in doubt whether it is over.
    pub fn in_doubt_ms(&self, now: Timestamp) -> u64 {
        now.saturating_sub(self.renewed + at_most(LEASE_MS))
    }
}

#[cfg(test)]
mod tests;
