//! Which shards this node acquires, keeps, hands over and loses.
use super::provisioning::ActiveProvisioner;
use super::{ActiveShard, Node};
use crate::budget::WriteClass;
use crate::context::Operation;
use crate::coordinator::Coordinator;
use crate::guards::{holds, Guard};
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

/// Between two tries to acquire the same shard.
const ACQUIRE_INTERVAL_MS: u64 = 700;
/// A shard whose home node is reachable is left to that node for this long.
const HOME_PRECEDENCE_MS: u64 = 1500;
/// Each reachable node between the shard's home and this one goes first by this much.
const ACQUIRE_STAGGER_MS: u64 = 400;
/// For each shard that a node owns already, it waits longer by this much.
const ACQUIRE_LOAD_DELAY_MS: u64 = 50;
/// A shard that was handed over is not acquired again for this long.
const REACQUIRE_DELAY_MS: u64 = 2000;
/// A handover that is not done after this time is called off.
const HANDOVER_TIMEOUT_MS: u64 = 5000;

/// What this process did to acquire one shard.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AcquisitionState {
    /// The newest epoch that this process acted under and acts under no more; 0: none. Invariant:
    /// it never acts under this one, or an older one, again.
    pub(super) relinquished: Epoch,
    /// The next try is not made before this time.
    next_try: Timestamp,
}

impl Node {
    /// What this node asserts of the shards that it acts for and has loaded completely, by shard.
    /// Nothing while a shard is being released: that may have been executed already.
    pub(super) fn own_assertions(&self, now: Timestamp) -> Vec<Option<OwnedShard>> {
        let lease_uncertain_ms = self.shared.lease.in_doubt_ms(now);
        let assertion = |active: &ActiveShard| {
            let complete = active.coordinator.ready() && !active.releasing;
            complete.then_some(OwnedShard { epoch: active.epoch, lease_uncertain_ms })
        };
        self.owned.iter().map(|active| active.as_ref().and_then(assertion)).collect()
    }

    /// Begins to act for the shard under that epoch, unless it is older than what is known.
    pub(super) fn begin_ownership(&mut self, effects: &mut Effects, shard: Shard, epoch: Epoch) {
        let index = shard.0 as usize;
        let owner = self.shared.owner(shard);
        let relinquished = self.acquisitions[index].relinquished;
        // The second condition: the store's answer came late, and a newer owner is known.
        if self.active_epoch(shard).is_some_and(|active| active >= epoch)
            || (holds(Guard::OlderEpoch) && owner.is_some_and(|owner| owner.epoch > epoch))
            || (holds(Guard::GivenUp) && epoch <= relinquished)
        {
            return;
        }
        self.drop_shard(effects, shard);
        effects.log(LogLevel::Info, "shard_acquired", || {
            format!("shard={} epoch={}", shard.0, epoch.0)
        });
        let owner = Owner { node: self.shared.me, boot: self.shared.boot, epoch };
        self.shared.shard_views[index].set_owner(owner, effects.now);
        self.owned[index] = Some(self.new_active_shard(shard, epoch, effects.now));
        if shard == PROVISIONER_SHARD {
            let provisioner = Provisioner::new(epoch, effects.now);
            self.provisioner = Some(ActiveProvisioner { epoch, provisioner });
        }
        self.shared.horizons.on_shard_acquired(shard);
        self.propagate_owners();
        self.share_write_budget();
        if let Some(active) = &mut self.owned[index] {
            active.coordinator.tick(&mut self.shared.context(effects));
        }
    }

    fn new_active_shard(&self, shard: Shard, epoch: Epoch, now: Timestamp) -> ActiveShard {
        let shards = self.shared.shard_count();
        let patience_ms = self.shared.horizons.grace_period_ms();
        ActiveShard {
            epoch,
            coordinator: Coordinator::new(shard, epoch, shards),
            participant: Participant::new(shard, epoch, now, shards, patience_ms),
            quota: QuotaManager::new(shard, &self.shared.config.teams, shards),
            releasing: false,
            handover_until: 0,
        }
    }

    /// Stops acting for the shard, if this node does.
    pub(super) fn drop_shard(&mut self, effects: &mut Effects, shard: Shard) {
        if let Some(mut active) = self.owned[shard.0 as usize].take() {
            // Numbers of rounds and attempts of this epoch are used, and the transaction that released
            // the shard may yet be executed: this process never acts under the epoch again.
            self.acquisitions[shard.0 as usize].relinquished = active.epoch;
            active.coordinator.abandon(&mut self.shared.context(effects));
            effects.log(LogLevel::Info, "shard_lost", || {
                format!("shard={} epoch={}", shard.0, active.epoch.0)
            });
            if shard == PROVISIONER_SHARD {
                self.provisioner = None;
            }
        }
        self.share_write_budget();
    }

    fn share_write_budget(&mut self) {
        let owned = self.owned.iter().flatten().count();
        self.shared.budget.set_owned_shards(owned, self.owned.len());
    }

    /// Stops acting for all shards.
    pub(super) fn drop_all(&mut self, effects: &mut Effects) {
        for shard in self.shared.shards() {
            self.drop_shard(effects, shard);
        }
    }

    /// Informs the participants here of all owners: a newer epoch ends what coordinators left open under
    /// older ones, whatever the source of the news.
    pub(super) fn propagate_owners(&mut self) {
        for (shard, view) in self.shared.shards().zip(&self.shared.shard_views) {
            let Some(owner) = view.owner else { continue };
            for active in self.owned.iter_mut().flatten() {
                active.participant.observe_coordinator_epoch(shard, owner.epoch);
            }
        }
    }

    /// Acquires shards that nobody owns, and hands over those that their home node asked for.
    pub(super) fn tick_ownership(&mut self, effects: &mut Effects) {
        let now = effects.now;
        if !self.shard_list.known
            || !self.shared.lease.valid(now)
            || self.shared.names.catalog.is_empty()
        {
            return;
        }
        for shard in self.shared.shards() {
            let index = shard.0 as usize;
            let Some(version) = self.acquirable_version(shard, now) else { continue };
            if self.owned[index].is_some()
                || now < self.acquisitions[index].next_try
                || self.shared.shard_views[index].acquiring
            {
                continue;
            }
            self.acquire(effects, shard, version);
        }
        for shard in self.shared.shards() {
            self.tick_handover(effects, shard);
        }
    }

    /// The version that the key of the shard must have to be acquired now; none: it is not to be.
    fn acquirable_version(&self, shard: Shard, now: Timestamp) -> Option<u64> {
        let view = self.shared.shard_views[shard.0 as usize];
        let Some(owner) = view.owner else {
            let due = now >= view.vacant_since + self.acquisition_delay_ms(shard, now);
            return due.then_some(0);
        };
        // Our own process before this one held it, and is dead; or this one gave that epoch up.
        let relinquished = self.acquisitions[shard.0 as usize].relinquished;
        let ours_and_over = owner.node == self.shared.me
            && (owner.boot != self.shared.boot || owner.epoch <= relinquished);
        ours_and_over.then_some(owner.epoch.0)
    }

    /// For how long, in ms, a vacant shard is left to others. A node acquires its home shard at once;
    /// others follow in order of distance from it, and later if the home node is alive.
    fn acquisition_delay_ms(&self, shard: Shard, now: Timestamp) -> u64 {
        if shard == self.shared.home_shard() {
            return 0;
        }
        let count = self.shared.shard_count();
        let home = shard.0 as usize;
        let is_alive = |node: usize| self.shared.health.hears(NodeIdx(node as u8), now);
        let nodes_ahead = (1..count)
            .map(|distance| (home + distance) % count)
            .take_while(|&node| node != self.shared.me.0 as usize)
            .filter(|&node| is_alive(node))
            .count() as u64;
        let owned = self.owned.iter().flatten().count() as u64;
        let home_ms = if is_alive(home) { HOME_PRECEDENCE_MS } else { 0 };
        home_ms + nodes_ahead * ACQUIRE_STAGGER_MS + owned * ACQUIRE_LOAD_DELAY_MS
    }

    /// Writes this node into the shard's key, if that has the version.
    fn acquire(&mut self, effects: &mut Effects, shard: Shard, version: u64) {
        let index = shard.0 as usize;
        self.acquisitions[index].next_try = effects.now + ACQUIRE_INTERVAL_MS;
        self.shared.shard_views[index].acquiring = true;
        let key = keys::shard_key(shard);
        let node = self.shared.node_name(self.shared.me);
        let value = OwnerRecord { boot: self.shared.boot, node }.encode();
        let transaction = Transaction {
            conditions: vec![Condition { key: key.clone(), version }],
            changes: vec![Change::Put { key, value, lease: self.shared.lease.id }],
        };
        self.shared.budget.spend(WriteClass::Ownership, 1);
        let mut context = self.shared.context(effects);
        context.store(Operation::Acquire { shard }, StoreCall::Transaction(transaction));
    }

    /// The answer to an acquisition. If another node owns the shard, the watch will report it.
    pub(super) fn acquisition_answered(
        &mut self,
        effects: &mut Effects,
        shard: Shard,
        result: &StoreResult,
    ) {
        self.shared.shard_views[shard.0 as usize].acquiring = false;
        match result {
            StoreResult::Committed(revision)
                if self.shared.lease.valid(effects.now) || !holds(Guard::DoubtOwns) =>
            {
                self.begin_ownership(effects, shard, Epoch(*revision));
            }
            StoreResult::NoLease => self.lose_lease(effects),
            _ => {}
        }
    }

    /// The home node of a shard asks for it: its coordinator begins nothing new.
    pub(super) fn begin_handover(&mut self, shard: Shard, now: Timestamp) {
        if let Some(active) = self.active(shard) {
            active.coordinator.relinquishing = true;
            active.handover_until = now + HANDOVER_TIMEOUT_MS;
        }
    }

    /// Orderly handover to the shard's home: gives the shard back once nothing of it is in flight.
    fn tick_handover(&mut self, effects: &mut Effects, shard: Shard) {
        let Some(active) = self.active(shard) else { return };
        if !active.coordinator.relinquishing || active.releasing {
            return;
        }
        if effects.now > active.handover_until {
            active.coordinator.relinquishing = false;
            return;
        }
        if !active.coordinator.is_idle() {
            return;
        }
        active.releasing = true;
        let epoch = active.epoch;
        let key = keys::shard_key(shard);
        let transaction = Transaction {
            conditions: vec![Condition { key: key.clone(), version: epoch.0 }],
            changes: vec![Change::Delete { key }],
        };
        self.shared.budget.spend(WriteClass::Ownership, 1);
        let mut context = self.shared.context(effects);
        context.store(Operation::Release { shard, epoch }, StoreCall::Transaction(transaction));
    }

    /// The answer to the transaction that gives a shard back.
    pub(super) fn release_answered(
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
                self.acquisitions[index].next_try = effects.now + REACQUIRE_DELAY_MS;
            }
            StoreResult::Conflict(_) => self.drop_shard(effects, shard),
            // It may be released already: stop acting, and wait for the lease or the watch to show.
            StoreResult::Unknown if holds(Guard::ReleaseUnsure) => self.drop_shard(effects, shard),
            _ => {
                if let Some(active) = &mut self.owned[index] {
                    active.releasing = false;
                }
            }
        }
    }
}
