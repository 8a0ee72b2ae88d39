//! The safety horizon: which cancellations are known here, and therefore for how long workers may
//! be answered.
//!
//! An answer keeps a worker's tasks alive for its lease. The tasks of a cancelled job must be gone
//! `cancel_s` after its user got the acknowledgement, which any controller may have given, from the
//! store or as the owner of the job's shard. So each node keeps a *horizon* for each shard: a time
//! of its own clock such that every cancellation of the shard which was written before is known
//! here.
//!
//! Invariants:
//! - Every cancellation of the shard that was written until its horizon is known here. Users get
//!   acknowledgements only of what was written before.
//! - A horizon advances by proof alone: (1) what the shard's owner states of itself under its lease;
//!   (2) what was read from the store; or (3), though the owner's lease is uncertain, the statement
//!   of every other process that neither it nor an earlier process of its node acted under a newer
//!   epoch. A statement counts from this node's own stamp that it echoes: it was made after that,
//!   however long it was in transit.
//! - Silence, a restart, or a newer epoch without such a statement never advances a horizon.
//! - A worker is answered only until the horizon of its own shard, and of those of its tasks, plus
//!   the grace period: `cancel_s` less what a worker's lease takes. No owner answers later than that
//!   after it lost its shard; a new owner waits for that time before it counts a silent machine as
//!   lost.
//!
//! | module | what |
//! | --- | --- |
//! | `cancellations` | the jobs that are known to be terminal, and the log of those that this node cancelled |
//! | `shard_horizon` | one shard's horizon, and what advances it |
//! | `heartbeats` | what is stated in heartbeats to other controllers, and what theirs state |

mod cancellations;
mod heartbeats;
mod shard_horizon;

use crate::guards::{holds, Guard};
use crate::ids::{Epoch, JobId, NodeIdx, Shard, Timestamp};
use crate::shard::{minus_clock_drift, plus_clock_drift, ShardView};
use cancellations::{KnownCancellations, STORED};
use heartbeats::PeerStatements;
use shard_horizon::ShardHorizon;

/// Cancellations are remembered for this long beyond what a cancellation may take.
const CANCELLATION_KEEP_MS: u64 = 60_000;
/// If neither the owner nor the store confirmed a horizon for this long, the store is read.
const UNCONFIRMED_MAX_MS: u64 = 3000;

/// A shard that this node acts for and whose coordinator has loaded everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedShard {
    /// The epoch under which the shard is owned.
    pub epoch: Epoch,
    /// For how long the lease has been uncertain, in milliseconds; 0 if it is valid.
    pub lease_uncertain_ms: u64,
}

/// The horizons of all shards, as this process knows them.
#[derive(Debug)]
pub struct Horizons {
    this_node: NodeIdx,
    /// Number of this process, which its stamps carry.
    boot: u64,
    grace_period_ms: u64,
    cancellations: KnownCancellations,
    /// By shard.
    shards: Vec<ShardHorizon>,
    /// By node; that of this node is unused.
    peers: Vec<PeerStatements>,
}

/// How long after a shard's horizon workers may be answered, for these settings in milliseconds.
fn grace_period_ms(cancel_ms: u64, worker_lease_ms: u64) -> u64 {
    minus_clock_drift(cancel_ms).saturating_sub(plus_clock_drift(worker_lease_ms))
}

impl Horizons {
    /// Nothing is known yet. `nodes` is the number of controllers, and of shards; `cancel_ms` is the
    /// longest time from an acknowledged cancellation to the end of the job's tasks.
    pub fn new(
        this_node: NodeIdx,
        boot: u64,
        nodes: usize,
        cancel_ms: u64,
        worker_lease_ms: u64,
    ) -> Horizons {
        Horizons {
            this_node,
            boot,
            grace_period_ms: grace_period_ms(cancel_ms, worker_lease_ms),
            cancellations: KnownCancellations::new(cancel_ms + CANCELLATION_KEEP_MS),
            shards: vec![ShardHorizon::default(); nodes],
            peers: vec![PeerStatements::default(); nodes],
        }
    }

    /// How long after a shard's horizon workers may be answered, in milliseconds.
    pub fn grace_period_ms(&self) -> u64 {
        self.grace_period_ms
    }

    /// Whether an answer to a worker now keeps no task of a cancelled job of this shard alive for
    /// too long.
    pub fn permits_answer(&self, shard: Shard, now: Timestamp) -> bool {
        self.horizon(shard).is_some_and(|horizon| {
            now < horizon + self.grace_period_ms || !holds(Guard::HorizonStops)
        })
    }

    /// How many milliseconds ago the horizon is; `None`: nothing is known of the shard.
    pub fn age_ms(&self, shard: Shard, now: Timestamp) -> Option<u64> {
        self.horizon(shard).map(|horizon| now.saturating_sub(horizon))
    }

    /// Whether the store has to be read for this shard, and if so from which time on: `margin_ms`
    /// before the horizon. `None`: its owner confirms the horizon.
    pub fn read_store_from(
        &self,
        shard: Shard,
        margin_ms: u64,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let state = self.shards.get(usize::from(shard.0))?;
        let unconfirmed = state.confirmed_at.is_none_or(|at| now >= at + UNCONFIRMED_MAX_MS);
        unconfirmed.then(|| state.horizon.unwrap_or(now).saturating_sub(margin_ms))
    }

    /// Whether the job is known to be in a terminal state.
    pub fn is_terminal(&self, job: JobId) -> bool {
        self.cancellations.contains(job)
    }

    /// The jobs that became known to be terminal since the last call, in that order.
    pub fn take_newly_terminal(&mut self) -> Vec<JobId> {
        self.cancellations.take_new()
    }

    /// This node, the owner under this epoch, writes that the job is cancelled, or found it so. To be
    /// called before the write is known to be executed: another node that reads the store may
    /// acknowledge it first.
    pub fn on_cancelled(&mut self, shard: Shard, epoch: Epoch, job: JobId, now: Timestamp) {
        self.cancellations.learn(job, epoch, now);
        if let Some(state) = self.shards.get_mut(usize::from(shard.0)) {
            state.log.append(job, now);
        }
    }

    /// The owner under this epoch has tasks of the job placed: a cancellation that an owner before it
    /// wanted to write was not written in time, and never will be.
    pub fn on_job_continued(&mut self, job: JobId, epoch: Epoch) {
        self.cancellations.forget_older(job, epoch);
    }

    /// This node acts for the shard under a new epoch.
    pub fn on_shard_acquired(&mut self, shard: Shard) {
        if let Some(state) = self.shards.get_mut(usize::from(shard.0)) {
            state.log.clear();
        }
    }

    /// These jobs were found in the store to be terminal.
    pub fn on_stored_terminal(&mut self, jobs: impl IntoIterator<Item = JobId>, now: Timestamp) {
        for job in jobs {
            self.cancellations.learn(job, STORED, now);
        }
    }

    /// All that the store held of the shard was read by calls that were made at `asked_at` or later.
    pub fn on_store_read(&mut self, shard: Shard, asked_at: Timestamp) {
        if let Some(state) = self.shards.get_mut(usize::from(shard.0)) {
            state.horizon = state.horizon.max(Some(asked_at));
            state.confirmed_at = state.confirmed_at.max(Some(asked_at));
        }
    }

    /// This process has read the shard's key. Only the first time counts: the key had this version,
    /// or it was not there at this revision.
    pub fn on_shard_key_read(&mut self, shard: Shard, revision: u64) {
        if let Some(state) = self.shards.get_mut(usize::from(shard.0)) {
            state.predecessor_epoch_limit.get_or_insert(Epoch(revision));
        }
    }

    /// Advances the horizons, after time has passed or a heartbeat was received. `owned`: what this
    /// node acts for, by shard.
    pub fn advance(&mut self, owned: &[Option<OwnedShard>], view: &[ShardView], now: Timestamp) {
        for (index, state) in self.shards.iter_mut().enumerate() {
            if let Some(owned) = owned.get(index).copied().flatten() {
                state.advance_as_owner(owned, now);
            }
            let this_node = usize::from(self.this_node.0);
            let peers = self.peers.iter().enumerate().filter(|(node, _)| *node != this_node);
            let statements = peers.map(|(_, peer)| peer.newest_epochs.get(index).copied());
            state.advance_by_peers(newest_epoch(view, index), statements);
        }
    }

    /// Forgets what was cancelled long ago.
    pub fn expire(&mut self, now: Timestamp) {
        self.cancellations.expire(now);
        let keep_ms = self.cancellations.keep_ms();
        for state in &mut self.shards {
            state.log.expire(now, keep_ms);
        }
    }

    fn horizon(&self, shard: Shard) -> Option<Timestamp> {
        self.shards.get(usize::from(shard.0))?.horizon
    }
}

/// The newest epoch under which the shard of this index is known to have been owned; 0 if none is.
fn newest_epoch(view: &[ShardView], index: usize) -> Epoch {
    view.get(index).and_then(|shard| shard.newest_owner).map_or(Epoch(0), |owner| owner.epoch)
}

#[cfg(test)]
mod tests;
