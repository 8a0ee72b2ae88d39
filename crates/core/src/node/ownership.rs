//! Ownership of shards: this node's acquisitions, releases, handovers and losses.
use super::provisioning::ActiveProvisioner;
use super::{ActiveShard, Node};
use crate::budget::WriteClass;
use crate::context::Operation;
use crate::coordinator::Coordinator;
use crate::guards::{is_enforced, Guard};
use crate::horizon::OwnedShard;
use crate::ids::{Epoch, NodeIdx, Shard, Timestamp, PROVISIONER_SHARD};
use crate::io::{Effects, LogLevel, StoreCall, StoreResult};
use crate::keys;
use crate::participant::Participant;
use crate::provisioner::Provisioner;
use crate::quota::QuotaManager;
use crate::shard::Owner;
use crate::stored::OwnerRecord;
use leaddeal_wire::state::{Change, Condition, Transaction};

/// Interval between two tries to acquire the same shard, in ms.
const ACQUIRE_INTERVAL_MS: u64 = 700;
/// Delay before other nodes acquire a vacant shard whose home node is reachable, in ms.
const HOME_PRECEDENCE_MS: u64 = 1500;
/// Additional delay for each reachable node between the shard's home node and this one, in ms.
const ACQUIRE_STAGGER_MS: u64 = 400;
/// Additional delay for each shard that this node owns already, in ms.
const ACQUIRE_LOAD_DELAY_MS: u64 = 50;
/// Delay before this node may acquire a shard that it has released, in ms.
const REACQUIRE_DELAY_MS: u64 = 2000;
/// A handover that is not complete after this time is abandoned, in ms.
const HANDOVER_TIMEOUT_MS: u64 = 5000;

/// State of this process's acquisitions of one shard.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AcquisitionState {
    /// The newest epoch that this process has owned the shard under and relinquished; 0: none.
    /// Invariant: the process never again acts under this epoch or an older one.
    pub(super) relinquished_epoch: Epoch,
    /// The next acquisition is not tried before this time.
    next_try_at: Timestamp,
}

impl Node {
    /// Returns, by shard, what this node asserts to its siblings about the shards that it owns and
    /// has loaded completely. It asserts nothing about a shard that is being released, because the
    /// release may have been executed already.
    pub(super) fn own_assertions(&self, now: Timestamp) -> Vec<Option<OwnedShard>> {
        let lease_uncertain_ms = self.shared.lease.uncertain_ms(now);
        let assertion = |active: &ActiveShard| {
            let complete = active.coordinator.is_ready() && !active.release_in_flight;
            complete.then_some(OwnedShard { epoch: active.epoch, lease_uncertain_ms })
        };
        self.owned.iter().map(|active| active.as_ref().and_then(assertion)).collect()
    }

    /// Whether the owner is this process, as opposed to another node or an earlier process of this one.
    pub(super) fn is_this_process(&self, owner: Owner) -> bool {
        owner.node == self.shared.this_node && owner.boot == self.shared.boot
    }

    /// Begins to act for each shard whose recorded owner is this process, but for which it does not act
    /// yet. The recorded owners are compared with the owned shards at each tick, because the answer to
    /// an acquisition may be lost, and the watch may report it while this node's lease is uncertain.
    /// When only that report began the ownership, nobody acted for such a shard until the process ended.
    fn act_for_acquired_shards(&mut self, effects: &mut Effects) {
        for shard in self.shared.shards() {
            let owner = self.shared.owner(shard);
            if let Some(owner) = owner.filter(|owner| self.is_this_process(*owner)) {
                self.begin_ownership(effects, shard, owner.epoch);
            }
        }
    }

    /// Begins to act for the shard under that epoch, unless this node already acts under it or a newer
    /// one, or has relinquished it.
    fn begin_ownership(&mut self, effects: &mut Effects, shard: Shard, epoch: Epoch) {
        let index = shard.0 as usize;
        let relinquished_epoch = self.acquisitions[index].relinquished_epoch;
        if self.active_epoch(shard).is_some_and(|active| active >= epoch)
            || (is_enforced(Guard::RelinquishedEpochRejected) && epoch <= relinquished_epoch)
        {
            return;
        }
        self.drop_shard(effects, shard);
        effects.log(LogLevel::Info, "shard_acquired", || {
            format!("shard={} epoch={}", shard.0, epoch.0)
        });
        self.owned[index] = Some(self.new_active_shard(shard, epoch, effects.now));
        if shard == PROVISIONER_SHARD {
            let provisioner = Provisioner::new(epoch, effects.now);
            self.provisioner = Some(ActiveProvisioner { epoch, provisioner });
        }
        self.shared.horizons.on_shard_acquired(shard);
        self.propagate_owners();
        self.adjust_write_budget();
        if let Some(active) = &mut self.owned[index] {
            active.coordinator.tick(&mut self.shared.context(effects));
        }
    }

    fn new_active_shard(&self, shard: Shard, epoch: Epoch, now: Timestamp) -> ActiveShard {
        let shards = self.shared.shard_count();
        let grace_period_ms = self.shared.horizons.grace_period_ms();
        ActiveShard {
            epoch,
            coordinator: Coordinator::new(shard, epoch, shards),
            participant: Participant::new(shard, epoch, now, shards, grace_period_ms),
            quota: QuotaManager::new(shard, &self.shared.config.teams, shards),
            release_in_flight: false,
            handover_deadline: 0,
        }
    }

    /// Stops acting for the shard, if this node owns it.
    pub(super) fn drop_shard(&mut self, effects: &mut Effects, shard: Shard) {
        if let Some(mut active) = self.owned[shard.0 as usize].take() {
            // This process must never act under the epoch again: it would reuse numbers of rounds and
            // attempts, and the transaction that releases the shard may still be executed.
            self.acquisitions[shard.0 as usize].relinquished_epoch = active.epoch;
            active.coordinator.abandon(&mut self.shared.context(effects));
            effects.log(LogLevel::Info, "shard_lost", || {
                let token = active.participant.newest_token();
                format!("shard={} epoch={} token={token}", shard.0, active.epoch.0)
            });
            if shard == PROVISIONER_SHARD {
                self.provisioner = None;
            }
        }
        self.adjust_write_budget();
    }

    /// Adjusts this node's share of the write budget to the number of shards that it owns.
    fn adjust_write_budget(&mut self) {
        let owned = self.owned.iter().flatten().count();
        self.shared.budget.set_owned_shards(owned, self.owned.len());
    }

    /// Stops acting for all shards.
    pub(super) fn drop_all(&mut self, effects: &mut Effects) {
        for shard in self.shared.shards() {
            self.drop_shard(effects, shard);
        }
    }

    /// Informs the participants on this node of the owners of all shards. A newer epoch ends the
    /// negotiations that a coordinator left open under an older one, wherever this node learned of
    /// the epoch.
    pub(super) fn propagate_owners(&mut self) {
        for (shard, view) in self.shared.shards().zip(&self.shared.shard_views) {
            let Some(owner) = view.owner else { continue };
            for active in self.owned.iter_mut().flatten() {
                active.participant.observe_coordinator_epoch(shard, owner.epoch);
            }
        }
    }

    /// Begins to act for acquired shards, acquires vacant ones, and hands over shards that their home
    /// nodes have requested.
    pub(super) fn tick_ownership(&mut self, effects: &mut Effects) {
        if !self.shard_list.is_known || self.shared.names.catalog.is_empty() {
            return;
        }
        let lease_valid = self.shared.lease.is_valid(effects.now);
        if lease_valid || !is_enforced(Guard::AcquisitionNeedsValidLease) {
            self.act_for_acquired_shards(effects);
        }
        if !lease_valid {
            return;
        }
        self.acquire_vacant_shards(effects);
        for shard in self.shared.shards() {
            self.tick_handover(effects, shard);
        }
    }

    /// Tries to acquire the shards that are vacant, or whose recorded owner is this node under an epoch
    /// that it no longer acts under.
    fn acquire_vacant_shards(&mut self, effects: &mut Effects) {
        let now = effects.now;
        for shard in self.shared.shards() {
            let index = shard.0 as usize;
            let Some(version) = self.acquirable_version(shard, now) else { continue };
            if self.owned[index].is_some()
                || now < self.acquisitions[index].next_try_at
                || self.shared.shard_views[index].acquisition_in_flight
            {
                continue;
            }
            self.acquire(effects, shard, version);
        }
    }

    /// Returns the version that the shard's key must have for an acquisition now (0: the key does not
    /// exist); `None`: the shard is not to be acquired now.
    fn acquirable_version(&self, shard: Shard, now: Timestamp) -> Option<u64> {
        let view = self.shared.shard_views[shard.0 as usize];
        let Some(owner) = view.owner else {
            let due = now >= view.vacant_since + self.acquisition_delay_ms(shard, now);
            return due.then_some(0);
        };
        // This node owned the shard and no longer acts for it: either the owner was an earlier process
        // of this node, which has ended, or this process has relinquished the epoch.
        let relinquished_epoch = self.acquisitions[shard.0 as usize].relinquished_epoch;
        let is_own_former_epoch = owner.node == self.shared.this_node
            && (owner.boot != self.shared.boot || owner.epoch <= relinquished_epoch);
        is_own_former_epoch.then_some(owner.epoch.0)
    }

    /// Returns the delay, in ms, before this node acquires a vacant shard. A node acquires its home
    /// shard at once. Other nodes follow in order of their distance from the home node, and later if
    /// the home node is reachable.
    fn acquisition_delay_ms(&self, shard: Shard, now: Timestamp) -> u64 {
        if shard == self.shared.home_shard() {
            return 0;
        }
        let count = self.shared.shard_count();
        let home = shard.0 as usize;
        let is_reachable = |node: usize| self.shared.health.is_reachable(NodeIdx(node as u8), now);
        let nodes_ahead = (1..count)
            .map(|distance| (home + distance) % count)
            .take_while(|&node| node != self.shared.this_node.0 as usize)
            .filter(|&node| is_reachable(node))
            .count() as u64;
        let owned = self.owned.iter().flatten().count() as u64;
        let home_ms = if is_reachable(home) { HOME_PRECEDENCE_MS } else { 0 };
        home_ms + nodes_ahead * ACQUIRE_STAGGER_MS + owned * ACQUIRE_LOAD_DELAY_MS
    }

    /// Tries to acquire the shard: writes this node into the shard's key, on condition that the key
    /// has this version.
    fn acquire(&mut self, effects: &mut Effects, shard: Shard, version: u64) {
        let index = shard.0 as usize;
        self.acquisitions[index].next_try_at = effects.now + ACQUIRE_INTERVAL_MS;
        self.shared.shard_views[index].acquisition_in_flight = true;
        let key = keys::shard_key(shard);
        let node = self.shared.node_name(self.shared.this_node);
        let value = OwnerRecord { boot: self.shared.boot, node }.encode();
        let lease = self.shared.lease.id;
        let transaction = Transaction {
            conditions: vec![Condition { key: key.clone(), version }],
            changes: vec![Change::Put { key, value, lease }],
        };
        self.shared.budget.spend(WriteClass::Ownership, 1);
        let mut context = self.shared.context(effects);
        context
            .call_store(Operation::Acquire { shard, lease }, StoreCall::Transaction(transaction));
    }

    /// Handles the answer to an acquisition under that lease. An answer that concerns an earlier lease
    /// is ignored: the shard's key has ended with the lease. If another node has acquired the shard, the
    /// watch on the shards' keys will report it.
    pub(super) fn on_acquisition_result(
        &mut self,
        effects: &mut Effects,
        shard: Shard,
        lease: Option<u64>,
        result: &StoreResult,
    ) {
        self.shared.shard_views[shard.0 as usize].acquisition_in_flight = false;
        if lease != self.shared.lease.id {
            return;
        }
        match result {
            StoreResult::Committed(revision) => {
                self.record_acquisition(shard, Epoch(*revision), effects.now);
                self.tick_ownership(effects);
            }
            StoreResult::NoLease => self.lose_lease(effects),
            _ => {}
        }
    }

    /// Records that this process has acquired the shard under that epoch, unless a newer owner is known
    /// or the shard was vacant again since.
    fn record_acquisition(&mut self, shard: Shard, epoch: Epoch, now: Timestamp) {
        let owner = Owner { node: self.shared.this_node, boot: self.shared.boot, epoch };
        let view = &mut self.shared.shard_views[shard.0 as usize];
        if is_enforced(Guard::OlderEpochNotOwned) {
            view.accept_claim(owner, now);
        } else {
            view.set_owner(owner, now);
        }
    }

    /// Begins the handover of a shard to its home node, which has requested it: the coordinator starts
    /// nothing new.
    pub(super) fn begin_handover(&mut self, shard: Shard, now: Timestamp) {
        if let Some(active) = self.active_shard(shard) {
            active.coordinator.is_relinquishing = true;
            active.handover_deadline = now + HANDOVER_TIMEOUT_MS;
        }
    }

    /// Continues a handover to the shard's home node: releases the shard once its coordinator is idle,
    /// or abandons the handover after its deadline.
    fn tick_handover(&mut self, effects: &mut Effects, shard: Shard) {
        let Some(active) = self.active_shard(shard) else { return };
        if !active.coordinator.is_relinquishing || active.release_in_flight {
            return;
        }
        if effects.now > active.handover_deadline {
            active.coordinator.is_relinquishing = false;
            return;
        }
        if !active.coordinator.is_idle() {
            return;
        }
        active.release_in_flight = true;
        let epoch = active.epoch;
        let key = keys::shard_key(shard);
        let transaction = Transaction {
            conditions: vec![Condition { key: key.clone(), version: epoch.0 }],
            changes: vec![Change::Delete { key }],
        };
        self.shared.budget.spend(WriteClass::Ownership, 1);
        let mut context = self.shared.context(effects);
        context
            .call_store(Operation::Release { shard, epoch }, StoreCall::Transaction(transaction));
    }

    /// Handles the answer to the transaction that releases a shard.
    pub(super) fn on_release_result(
        &mut self,
        effects: &mut Effects,
        shard: Shard,
        epoch: Epoch,
        result: &StoreResult,
    ) {
        if self.active_epoch(shard) != Some(epoch) {
            return;
        }
        let index = shard.0 as usize;
        match result {
            StoreResult::Committed(revision) => {
                self.drop_shard(effects, shard);
                self.shared.shard_views[index].vacate(*revision, effects.now);
                self.acquisitions[index].next_try_at = effects.now + REACQUIRE_DELAY_MS;
            }
            StoreResult::Conflict(_) => self.drop_shard(effects, shard),
            // The shard may have been released already, so this node stops acting for it. The lease or
            // the watch on the shards' keys will show whether it was.
            StoreResult::Unknown if is_enforced(Guard::UncertainReleaseEndsOwnership) => {
                self.drop_shard(effects, shard);
            }
            _ => {
                if let Some(active) = &mut self.owned[index] {
                    active.release_in_flight = false;
                }
            }
        }
    }
}
