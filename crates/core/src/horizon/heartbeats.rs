//! Statements about horizons in the heartbeats between controllers: how they are made, and how
//! those of other controllers are applied.
use super::shard_horizon::{EpochStatement, LogPosition, ShardHorizon};
use super::{newest_epoch, Horizons, OwnedShard};
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, JobId, NodeIdx, Timestamp};
use crate::shard::{plus_clock_drift, ShardView};
use leaddeal_wire::mesh::{NodeHeartbeat, ShardAssertion, Stamp};

/// Most cancellations in one assertion; if there are more, the assertion is not complete.
pub(super) const MAX_CANCELLATIONS_NAMED: usize = 400;

/// The last statements of another controller.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerStatements {
    /// The stamp of its last heartbeat; `None`: no heartbeat was received from it.
    stamp: Option<Stamp>,
    /// By shard, an epoch such that neither this controller nor an earlier process of its node
    /// acted under a newer one.
    pub(super) newest_epochs: Vec<EpochStatement>,
    /// By shard, how much of this node's log of cancellations it has received.
    acknowledged: Vec<LogPosition>,
}

impl PeerStatements {
    fn take_acknowledgements(&mut self, heartbeat: &NodeHeartbeat, shards: usize) {
        self.acknowledged = vec![LogPosition::default(); shards];
        for &(shard, epoch, number) in &heartbeat.acknowledged {
            if let Some(position) = self.acknowledged.get_mut(usize::from(shard)) {
                *position = LogPosition { epoch: Epoch(epoch), number };
            }
        }
    }
}

impl Horizons {
    /// Applies a heartbeat of another controller. What it states about owners must be in `view`
    /// already. Returns true if the heartbeat is the first one of its process, which needs this
    /// node's stamp before it can make a statement that counts here.
    pub fn on_heartbeat(
        &mut self,
        from: NodeIdx,
        heartbeat: &NodeHeartbeat,
        view: &[ShardView],
        now: Timestamp,
    ) -> bool {
        let made_after = self.made_after(heartbeat, now);
        let shards = self.shards.len();
        let Some(peer) = self.peers.get_mut(usize::from(from.0)) else { return false };
        let is_new_process = peer.stamp.is_none_or(|stamp| stamp.boot != heartbeat.stamp.boot);
        if is_new_process {
            *peer = PeerStatements::default();
        }
        peer.stamp = Some(heartbeat.stamp);
        peer.take_acknowledgements(heartbeat, shards);
        if let Some(made_after) = made_after.filter(|_| heartbeat.newest_epochs.len() == shards) {
            let statement = |&epoch| EpochStatement { epoch: Epoch(epoch), made_after };
            peer.newest_epochs = heartbeat.newest_epochs.iter().map(statement).collect();
        }
        for assertion in &heartbeat.assertions {
            self.on_assertion(assertion, view, made_after, now);
        }
        is_new_process
    }

    /// Returns a time after which the heartbeat was made: when this process sent the stamp that the
    /// heartbeat echoes. `None`: it echoes no stamp of this process, or one in the future.
    fn made_after(&self, heartbeat: &NodeHeartbeat, now: Timestamp) -> Option<Timestamp> {
        let echo = heartbeat.echo.filter(|echo| echo.boot == self.boot && echo.at <= now)?;
        Some(if is_enforced(Guard::AssertionDatedByEcho) { echo.at } else { now })
    }

    /// Applies an owner's assertion about its shard, unless a newer owner is known.
    fn on_assertion(
        &mut self,
        assertion: &ShardAssertion,
        view: &[ShardView],
        made_after: Option<Timestamp>,
        now: Timestamp,
    ) {
        let (index, epoch) = (usize::from(assertion.shard), Epoch(assertion.epoch));
        let newest = newest_epoch(view, index);
        let Some(state) = self.shards.get_mut(index).filter(|_| epoch >= newest) else { return };
        state.on_assertion(assertion, epoch, made_after);
        if is_enforced(Guard::HeartbeatsNameCancellations) {
            for &job in &assertion.cancelled {
                self.cancellations.learn(JobId(job), epoch, now);
            }
        }
    }

    /// Adds the statements about horizons to a heartbeat to another controller: the stamp of this
    /// process, the echo of the receiver's stamp, the newest epochs, how many cancellations were
    /// received, and the assertions about the shards that this node owns.
    pub fn add_to_heartbeat(
        &self,
        to: NodeIdx,
        owned: &[Option<OwnedShard>],
        view: &[ShardView],
        now: Timestamp,
        heartbeat: &mut NodeHeartbeat,
    ) {
        heartbeat.stamp = Stamp { boot: self.boot, at: now };
        let Some(peer) = self.peers.get(usize::from(to.0)) else { return };
        heartbeat.echo = peer.stamp;
        heartbeat.newest_epochs = self.newest_epochs(view).unwrap_or_default();
        heartbeat.acknowledged = self.acknowledgements();
        for (index, (state, owned)) in self.shards.iter().zip(owned).enumerate() {
            let Some(owned) = owned else { continue };
            let position = peer.acknowledged.get(index).copied().unwrap_or_default();
            heartbeat.assertions.push(state.assertion(index as u8, *owned, position));
        }
    }

    /// Returns, by shard, an epoch such that no process of this node acted under a newer one and
    /// none is known here. `None`: this process has not read the keys of all shards yet.
    fn newest_epochs(&self, view: &[ShardView]) -> Option<Vec<u64>> {
        let newest = |(state, shard): (&ShardHorizon, &ShardView)| {
            let last = shard.newest_owner.map_or(0, |owner| owner.epoch.0);
            let limit = if is_enforced(Guard::HorizonNeedsPredecessorLimit) {
                state.predecessor_epoch_limit
            } else {
                state.predecessor_epoch_limit.or(Some(Epoch(0)))
            };
            limit.map(|limit| limit.0.max(last))
        };
        self.shards.iter().zip(view).map(newest).collect()
    }

    /// Returns the shard, epoch and log number up to which cancellations were received, in the form
    /// of a heartbeat.
    fn acknowledgements(&self) -> Vec<(u8, u64, u64)> {
        let positions = self.shards.iter().map(|state| state.received).enumerate();
        let received = positions.filter(|(_, position)| position.number > 0);
        received.map(|(shard, at)| (shard as u8, at.epoch.0, at.number)).collect()
    }
}

impl ShardHorizon {
    /// Applies an assertion of the owner under this epoch, which is the newest known one.
    fn on_assertion(
        &mut self,
        assertion: &ShardAssertion,
        epoch: Epoch,
        made_after: Option<Timestamp>,
    ) {
        let received = self.received.number_under(epoch);
        let has_gap = assertion.after > received;
        if has_gap {
            return;
        }
        self.received = LogPosition { epoch, number: received.max(assertion.up_to) };
        let Some(made_after) = made_after.filter(|_| assertion.is_complete) else { return };
        self.owner_statement = Some(EpochStatement { epoch, made_after });
        // The owner's statement counts up to the time until which its lease was certain. The
        // owner's clock may be slow, so the uncertain time is taken as longer than stated.
        let lease_uncertain =
            assertion.lease_uncertain_ms > 0 && is_enforced(Guard::HorizonExcludesUncertainLease);
        let uncertain_ms =
            if lease_uncertain { plus_clock_drift(assertion.lease_uncertain_ms) } else { 0 };
        let certain_until = made_after.checked_sub(uncertain_ms);
        self.horizon = self.horizon.max(certain_until);
        self.confirmed_at = self.confirmed_at.max(certain_until.filter(|_| uncertain_ms == 0));
    }

    /// Returns this node's assertion about a shard that it owns, for a node that has received its
    /// cancellations up to `position`.
    fn assertion(&self, shard: u8, owned: OwnedShard, position: LogPosition) -> ShardAssertion {
        let after = position.number_under(owned.epoch);
        let named = self.log.after(after, MAX_CANCELLATIONS_NAMED);
        let up_to = named.last().map_or(after, |entry| entry.number);
        ShardAssertion {
            shard,
            epoch: owned.epoch.0,
            lease_uncertain_ms: owned.lease_uncertain_ms,
            after,
            up_to,
            is_complete: self.log.ends_at(up_to),
            cancelled: named.iter().map(|entry| entry.job.0).collect(),
        }
    }
}
