//! The horizon of one shard, and what advances it.
use super::cancellations::CancellationLog;
use super::OwnedShard;
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, Timestamp};

/// A statement about a shard's epoch, and a time of this node's clock after which it was made.
#[derive(Clone, Copy, Debug)]
pub(super) struct EpochStatement {
    pub(super) epoch: Epoch,
    pub(super) made_after: Timestamp,
}

/// How much of the owner's log of a shard's cancellations a node has received.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogPosition {
    /// The epoch of the owner whose log this is about.
    pub(super) epoch: Epoch,
    /// The highest number in the owner's log up to which all entries were received.
    pub(super) number: u64,
}

impl LogPosition {
    /// Returns the number that was reached under this epoch; 0 if the position is in the log of
    /// another epoch.
    pub(super) fn number_under(self, epoch: Epoch) -> u64 {
        if self.epoch == epoch {
            self.number
        } else {
            0
        }
    }
}

/// What is known of the cancellations of one shard.
#[derive(Clone, Debug, Default)]
pub(super) struct ShardHorizon {
    /// The time before which all cancellations that were written are known; `None`: there is no
    /// such time yet.
    pub(super) horizon: Option<Timestamp>,
    /// The newest statement of an owner about its own epoch.
    pub(super) owner_statement: Option<EpochStatement>,
    /// When all cancellations were last proven known, by the owner under a valid lease or by the
    /// store; `None`: never.
    pub(super) confirmed_at: Option<Timestamp>,
    /// How much of the owner's log of cancellations was received here.
    pub(super) received: LogPosition,
    /// The cancellations that this node made while it owns the shard.
    pub(super) log: CancellationLog,
    /// An epoch such that no earlier process of this node acted under a newer one; `None`: the
    /// shard's key was not read yet.
    pub(super) predecessor_epoch_limit: Option<Epoch>,
}

impl ShardHorizon {
    /// Advances the horizon of a shard that this node owns: it knows all cancellations that were
    /// written before its lease became uncertain.
    pub(super) fn advance_as_owner(&mut self, owned: OwnedShard, now: Timestamp) {
        self.owner_statement = Some(EpochStatement { epoch: owned.epoch, made_after: now });
        let uncertain_ms = if is_enforced(Guard::HorizonExcludesUncertainLease) {
            owned.lease_uncertain_ms
        } else {
            0
        };
        self.horizon = self.horizon.max(now.checked_sub(uncertain_ms));
        if owned.lease_uncertain_ms == 0 {
            self.confirmed_at = Some(now);
        }
    }

    /// Advances the horizon to the earliest time after which the owner and all other nodes have
    /// stated that no process acted under a newer epoch. This works while the owner's lease is
    /// uncertain. `newest_epoch` is the newest epoch known here. `statements` holds for each other
    /// node the newest epoch that it knows, or `None` if it made no statement.
    pub(super) fn advance_by_peers(
        &mut self,
        newest_epoch: Epoch,
        mut statements: impl Iterator<Item = Option<EpochStatement>>,
    ) {
        let Some(owner) = self.owner_statement else { return };
        let predecessor_may_be_newer =
            self.predecessor_epoch_limit.is_none_or(|limit| limit > owner.epoch);
        if newest_epoch > owner.epoch
            || predecessor_may_be_newer && is_enforced(Guard::HorizonNeedsPredecessorLimit)
        {
            return;
        }
        // The horizon does not advance if a node made no statement or knows a newer epoch.
        let proved_until = statements.try_fold(owner.made_after, |earliest, statement| {
            let statement = statement.filter(|statement| statement.epoch <= owner.epoch)?;
            Some(earliest.min(statement.made_after))
        });
        let proved_until = if is_enforced(Guard::HorizonNeedsPeerStatements) {
            proved_until
        } else {
            Some(owner.made_after)
        };
        self.horizon = self.horizon.max(proved_until);
    }
}
