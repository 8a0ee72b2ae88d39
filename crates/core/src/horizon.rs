//! The safety horizon: which cancellations are known on this node, and therefore for how long
//! workers may be answered.
//!
//! An answer keeps a worker's tasks alive for the duration of the worker's lease. The tasks of a
//! cancelled job must be gone `cancel_s` after the cancellation was acknowledged to the user. Any
//! controller may have sent the acknowledgement, either from the store or as the owner of the job's
//! shard. So each node keeps a *horizon* for each shard: a time of its own clock such that every
//! cancellation of the shard which was written before that time is known on this node.
//!
//! Invariants:
//! - Every cancellation of the shard that was written before the shard's horizon is known on this
//!   node. A cancellation is acknowledged to its user only after it was written.
//! - A horizon advances only by proof: (1) a statement of the shard's owner under its lease; (2) a
//!   read of the store; or (3), while the owner's lease is uncertain, a statement of every other
//!   process that neither it nor an earlier process of its node acted under a newer epoch. A
//!   statement echoes one of this node's own stamps and is dated by that stamp: it was made later
//!   than the stamp, however long it was in transit.
//! - Silence, a restart, or a newer epoch without such a statement never advances a horizon.
//! - A worker is answered only until the grace period after the horizon of its own shard and of the
//!   shards of its tasks. The grace period is `cancel_s` less the worker's lease. So no owner
//!   answers later than a grace period after it lost its shard, and a new owner waits for that time
//!   before it declares a silent machine lost.
//!
//! | module | contents |
//! | --- | --- |
//! | `cancellations` | the jobs that are known to be terminal, and the log of the cancellations by this node |
//! | `shard_horizon` | the horizon of one shard, and what advances it |
//! | `heartbeats` | the statements about horizons in the heartbeats between controllers |

mod cancellations;
mod heartbeats;
mod shard_horizon;

use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, JobId, NodeIdx, Shard, Timestamp};
use crate::shard::{minus_clock_drift, plus_clock_drift, ShardView};
use cancellations::{KnownCancellations, STORED};
use heartbeats::PeerStatements;
use shard_horizon::ShardHorizon;

/// How much longer than `cancel_ms` a cancellation is remembered, in ms.
const CANCELLATION_KEEP_MS: u64 = 60_000;
/// If neither the owner nor the store has confirmed a horizon for this long, in ms, the store is
/// read.
const UNCONFIRMED_MAX_MS: u64 = 3000;

/// A shard that this node owns and whose coordinator has loaded all records.
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
    /// The number of this process, which is part of its stamps.
    boot: u64,
    grace_period_ms: u64,
    cancellations: KnownCancellations,
    /// The horizon of each shard, by shard.
    shards: Vec<ShardHorizon>,
    /// The statements of each node, by node; the entry of this node is unused.
    peers: Vec<PeerStatements>,
}

/// Returns how long after a shard's horizon workers may be answered, with all times in
/// milliseconds.
fn grace_period_ms(cancel_ms: u64, worker_lease_ms: u64) -> u64 {
    minus_clock_drift(cancel_ms).saturating_sub(plus_clock_drift(worker_lease_ms))
}

impl Horizons {
    /// Creates the state of a process that knows nothing yet. `nodes` is the number of controllers,
    /// and of shards; `cancel_ms` is the longest time from an acknowledged cancellation to the end
    /// of the job's tasks.
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

    /// Returns how long after a shard's horizon workers may be answered, in milliseconds.
    pub fn grace_period_ms(&self) -> u64 {
        self.grace_period_ms
    }

    /// Whether a worker may be answered now without keeping a task of a cancelled job of this shard
    /// alive for too long.
    pub fn permits_answer(&self, shard: Shard, now: Timestamp) -> bool {
        self.horizon(shard).is_some_and(|horizon| {
            now < horizon + self.grace_period_ms || !is_enforced(Guard::AnswersStopAfterGracePeriod)
        })
    }

    /// Returns how many milliseconds the horizon lies in the past; `None`: the shard has no horizon
    /// yet.
    pub fn age_ms(&self, shard: Shard, now: Timestamp) -> Option<u64> {
        self.horizon(shard).map(|horizon| now.saturating_sub(horizon))
    }

    /// Returns from which time on the store has to be read for this shard: `margin_ms` before the
    /// horizon. `None`: the store need not be read, since the horizon was confirmed lately.
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

    /// Whether the job is known to have reached a terminal state.
    pub fn is_terminal(&self, job: JobId) -> bool {
        self.cancellations.contains(job)
    }

    /// Returns the jobs that became known to be terminal since the last call, in that order.
    pub fn take_newly_terminal(&mut self) -> Vec<JobId> {
        self.cancellations.take_new()
    }

    /// Records that this node, which owns the shard under this epoch, writes the job's cancellation
    /// or found it in the store. Must be called before the write is known to be executed, since
    /// another node that reads the store may acknowledge the cancellation first.
    pub fn on_cancelled(&mut self, shard: Shard, epoch: Epoch, job: JobId, now: Timestamp) {
        self.cancellations.learn(job, epoch, now);
        if let Some(state) = self.shards.get_mut(usize::from(shard.0)) {
            state.log.append(job, now);
        }
    }

    /// Records that the owner under this epoch has tasks of the job placed. So a cancellation that
    /// an earlier owner tried to write was not written in time, and never will be.
    pub fn on_job_continued(&mut self, job: JobId, epoch: Epoch) {
        self.cancellations.forget_older(job, epoch);
    }

    /// Records that this node owns the shard under a new epoch.
    pub fn on_shard_acquired(&mut self, shard: Shard) {
        if let Some(state) = self.shards.get_mut(usize::from(shard.0)) {
            state.log.clear();
        }
    }

    /// Records that the store holds terminal states of these jobs.
    pub fn on_stored_terminal(&mut self, jobs: impl IntoIterator<Item = JobId>, now: Timestamp) {
        for job in jobs {
            self.cancellations.learn(job, STORED, now);
        }
    }

    /// Records that all terminal states of the shard in the store were read, by calls that were
    /// made at `asked_at` or later.
    pub fn on_store_read(&mut self, shard: Shard, asked_at: Timestamp) {
        if let Some(state) = self.shards.get_mut(usize::from(shard.0)) {
            state.horizon = state.horizon.max(Some(asked_at));
            state.confirmed_at = state.confirmed_at.max(Some(asked_at));
        }
    }

    /// Records that this process has read the shard's key. `revision` is the version of the key, or
    /// the revision of the store at which there was no key. Only the first read counts.
    pub fn on_shard_key_read(&mut self, shard: Shard, revision: u64) {
        if let Some(state) = self.shards.get_mut(usize::from(shard.0)) {
            state.predecessor_epoch_limit.get_or_insert(Epoch(revision));
        }
    }

    /// Advances the horizons, after time has passed or a heartbeat was received. `owned`: by shard,
    /// the ownership of this node.
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

    /// Forgets cancellations that are old enough.
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

/// Returns the newest epoch under which the shard with this index is known to have been owned; 0 if
/// none is known.
fn newest_epoch(view: &[ShardView], index: usize) -> Epoch {
    view.get(index).and_then(|shard| shard.newest_owner).map_or(Epoch(0), |owner| owner.epoch)
}

#[cfg(test)]
mod tests;
