//! Lease and seats: who acts for which part and which jobs.
use crate::ids::{Epoch, NodeIdx, Now};

/// Life of a controller's lease at the state service.
pub const LEASE_MS: u64 = 4000;
/// Between renewals.
pub const RENEW_MS: u64 = 1000;
/// How long after the last renewal a node still answers workers of its seats, so that their
/// tasks outlive an outage of the state service. It starts nothing in that time.
pub const GRACE_MS: u64 = 45_000;

/// Clocks may differ by 0.05%; this is a safe factor, and the rounding of timers besides.
pub fn at_most(ms: u64) -> u64 {
    ms.saturating_sub(ms / 1000 + 50)
}

pub fn at_least(ms: u64) -> u64 {
    ms + ms / 1000 + 250
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    pub node: NodeIdx,
    pub boot: u64,
    pub epoch: Epoch,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct SeatView {
    pub owner: Option<Owner>,
    pub vacant_since: Now,
    /// An acquisition is under way.
    pub trying: bool,
}

#[derive(Debug, Default)]
pub struct Lease {
    pub id: Option<u64>,
    /// When the renewal last answered was sent.
    pub renewed: Now,
    pub sent: Option<Now>,
    pub next: Now,
}

impl Lease {
    /// Certainly not over yet.
    pub fn valid(&self, now: Now) -> bool {
        self.id.is_some() && now < self.renewed + at_most(LEASE_MS)
    }

    /// Workers may still be answered.
    pub fn in_grace(&self, now: Now) -> bool {
        self.id.is_some() && now < self.renewed + at_most(GRACE_MS)
    }
}
