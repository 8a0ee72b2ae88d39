//! One shard's horizon, and what advances it.
use super::cancellations::CancellationLog;
use super::OwnedShard;
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, Timestamp};

/// A statement about a shard's epoch, and after which time of this node's clock it was made.
#[derive(Clone, Copy, Debug)]
pub(super) struct EpochStatement {
    pub(super) epoch: Epoch,
    pub(super) made_after: Timestamp,
}

/// How far a node has received the cancellations that a shard's owner logged.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogPosition {
    /// The owner's epoch.
    pub(super) epoch: Epoch,
    /// The highest number in the owner's log up to which all were received.
    pub(super) number: u64,
}

impl LogPosition {
    /// The number that was reached under this epoch; 0 if the position is of another one.
    pub(super) fn number_under(self, epoch: Epoch) -> u64 {
        if self.epoch == epoch {
            self.number
        } else {
            0
        }
    }
}

/// What is known of one shard.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardHorizon {
    /// All cancellations that were written until then are known; `None`: nothing is.
    pub(super) horizon: Option<Timestamp>,
    /// The newest statement of an owner, under its own epoch.
    pub(super) owner_statement: Option<EpochStatement>,
    /// When its owner under a valid lease, or the store, last proved that all is known.
    pub(super) confirmed_at: Option<Timestamp>,
    /// How far the owner's cancellations were received here.
    pub(super) received: LogPosition,
    /// The cancellations of this node, while it acts for the shard.
    pub(super) log: CancellationLog,
    /// No earlier process of this node acted under a newer epoch than this; `None`: not read yet.
    pub(super) predecessor_epoch_limit: Option<Epoch>,
}

impl ShardHorizon {
    /// This node acts for the shard, so it knows all that was written until its lease became
    /// uncertain.
    pub(super) fn advance_as_owner(&mut self, owned: OwnedShard, now: Timestamp) {
        self.owner_statement = Some(EpochStatement { epoch: owned.epoch, made_after: now });
        let uncertain_ms = if is_enforced(Guard::HorizonExcludesUncertainLease) { owned.lease_uncertain_ms } else { 0 };
        self.horizon = self.horizon.max(now.checked_sub(uncertain_ms));
        if owned.lease_uncertain_ms == 0 {
            self.confirmed_at = Some(now);
        }
    }

    /// Advances to the time from which on the owner and all other nodes have stated that nobody acted
    /// under a newer epoch, though the owner's lease may be uncertain. `newest_epoch`: the newest one
    /// that is known here. `statements`: by other node, if it made one, the newest epoch of which
    /// it knows.
    pub(super) fn advance_by_peers(
        &mut self,
        newest_epoch: Epoch,
        mut statements: impl Iterator<Item = Option<EpochStatement>>,
    ) {
        let Some(owner) = self.owner_statement else { return };
        let predecessor_may_be_newer =
            self.predecessor_epoch_limit.is_none_or(|limit| limit > owner.epoch);
        if newest_epoch > owner.epoch || predecessor_may_be_newer && is_enforced(Guard::HorizonNeedsPredecessorLimit) {
            return;
        }
        // A node without a statement, or one that knows a newer epoch, leaves the horizon in place.
        let proved_until = statements.try_fold(owner.made_after, |earliest, statement| {
            let statement = statement.filter(|statement| statement.epoch <= owner.epoch)?;
            Some(earliest.min(statement.made_after))
        });
        let proved_until =
            if is_enforced(Guard::HorizonNeedsPeerStatements) { proved_until } else { Some(owner.made_after) };
        self.horizon = self.horizon.max(proved_until);
    }
}
