//! Lease and shards: who acts for which participant and which jobs.
use crate::guards::{holds, Guard};
use crate::ids::{Epoch, NodeIdx, Timestamp};

/// Life of a controller's lease at the state service.
pub const LEASE_MS: u64 = 4000;
/// Between renewals.
pub const RENEW_MS: u64 = 1000;

/// Clocks may differ by 0.05%; this is a safe factor, and the rounding of timers besides.
pub fn at_most(ms: u64) -> u64 {
    ms.saturating_sub(if holds(Guard::Drift) { ms / 1000 + 50 } else { 0 })
}

pub fn at_least(ms: u64) -> u64 {
    ms + if holds(Guard::Drift) { ms / 1000 + 250 } else { 0 }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    pub node: NodeIdx,
    pub boot: u64,
    pub epoch: Epoch,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct ShardView {
    pub owner: Option<Owner>,
    /// The newest owner there ever was, as far as is known: `owner`, or one whose time is over.
    pub last: Option<Owner>,
    /// Whoever owned it at this revision or before owns it no more.
    pub vacated: u64,
    pub vacant_since: Timestamp,
    /// When the present owner was first known of.
    pub owned_since: Timestamp,
    /// An acquisition is under way.
    pub trying: bool,
}

/// What the state service tells of a shard's key.
#[derive(Clone, Copy, Debug)]
pub enum Seen<'a> {
    /// Its value and version.
    Owned(&'a serde_json::Value, u64),
    /// It is not there at this revision.
    Vacant(u64),
}

impl ShardView {
    /// Nobody owns it at that revision; the time is counted from when that was first seen.
    pub fn vacate(&mut self, revision: u64, now: Timestamp) {
        self.vacated = self.vacated.max(revision);
        if self.owner.is_some_and(|o| o.epoch.0 <= revision) {
            self.owner = None;
            self.vacant_since = now;
            self.trying = false;
        }
    }

    /// A sibling says that it owns the shard, and its lease may be in doubt: that is believed unless
    /// the store has said that the shard was given up since. True: it is news.
    ///
    /// (Found by the simulator: beats of an owner in doubt told nothing of its shards, and the owner
    /// before, whom the store refused, kept workers with cancelled tasks.)
    pub fn claimed(&mut self, by: Owner, now: Timestamp) -> bool {
        let news = self.owner.is_none_or(|o| o.epoch < by.epoch) && by.epoch.0 > self.vacated;
        if news {
            self.own(by, now);
        }
        news
    }

    /// The store says, or a sibling is believed, that this is the owner.
    pub fn own(&mut self, by: Owner, now: Timestamp) {
        if self.owner.is_none_or(|o| o.epoch != by.epoch) {
            self.owned_since = now;
        }
        self.owner = Some(by);
        if self.last.is_none_or(|l| l.epoch < by.epoch) {
            self.last = Some(by);
        }
    }
}

#[derive(Debug, Default)]
pub struct Lease {
    pub id: Option<u64>,
    /// When the renewal last answered was sent.
    pub renewed: Timestamp,
    pub sent: Option<Timestamp>,
    pub next: Timestamp,
}

impl Lease {
    /// Certainly not over yet.
    pub fn valid(&self, now: Timestamp) -> bool {
        self.id.is_some() && now < self.renewed + at_most(LEASE_MS)
    }

    /// For how long it has been in doubt.
    pub fn in_doubt_ms(&self, now: Timestamp) -> u64 {
        now.saturating_sub(self.renewed + at_most(LEASE_MS))
    }
}

#[cfg(test)]
mod tests;
