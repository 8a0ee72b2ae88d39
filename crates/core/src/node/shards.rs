//! The lease, and which shards are acquired, kept, handed over and lost.
use super::{Node, Owned};
use crate::budget::WriteClass;
use crate::context::{Context, Operation};
use crate::coordinator::Coordinator;
use crate::guards::{holds, Guard};
use crate::health::lately;
use crate::ids::{Epoch, NodeIdx, Shard, PROVISIONER_SHARD};
use crate::io::{Effects, StoreCall};
use crate::keys;
use crate::participant::Participant;
use crate::provisioner::Provisioner;
use crate::quota::QuotaManager;
use crate::shard::{Owner, Seen, LEASE_MS, RENEW_MS};
use crate::stored::OwnerRecord;
use leaddeal_wire::state::{Change, Condition, Transaction};

impl Node {
    pub(super) fn own(&mut self, effects: &mut Effects, shard: Shard, epoch: Epoch) {
        let now = effects.now;
        let i = shard.0 as usize;
        // The second: an answer of the store that comes late, when a newer owner is known.
        if self.owned[i].as_ref().is_some_and(|o| o.epoch >= epoch)
            || (holds(Guard::OlderEpoch) && self.view[i].owner.is_some_and(|o| o.epoch > epoch))
            || (holds(Guard::GivenUp) && epoch <= self.given_up[i])
        {
            return;
        }
        self.drop_shard(effects, shard);
        let n = self.view.len();
        effects.log(1, "seat_acquired", || format!("seat={} epoch={}", shard.0, epoch.0));
        self.view[i].own(Owner { node: self.me, boot: self.boot, epoch }, now);
        self.owned[i] = Some(Owned {
            epoch,
            coordinator: Coordinator::new(shard, epoch, n),
            participant: Participant::new(shard, epoch, now, n, self.horizons.patience_ms()),
            quota: QuotaManager::new(shard, &self.config.teams, n),
            releasing: false,
            leave_until: 0,
        });
        if shard == PROVISIONER_SHARD {
            self.provisioner = Some((epoch, Provisioner::new(epoch, now)));
        }
        self.horizons.begin(shard);
        self.spread_view();
        self.share_writes();
        let mut c = ctx!(self, effects);
        if let Some(o) = &mut self.owned[i] {
            o.coordinator.tick(&mut c);
        }
    }

    pub(super) fn drop_shard(&mut self, effects: &mut Effects, shard: Shard) {
        let mut c = ctx!(self, effects);
        if let Some(mut o) = self.owned[shard.0 as usize].take() {
            // Its numbers of rounds and attempts are used, and what gave the shard back may yet be
            // executed: it is never acted under again.
            self.given_up[shard.0 as usize] = o.epoch;
            o.coordinator.abandon(&mut c);
            c.effects.log(1, "seat_lost", || format!("seat={} epoch={}", shard.0, o.epoch.0));
            if shard == PROVISIONER_SHARD {
                self.provisioner = None;
            }
        }
        self.share_writes();
    }

    fn share_writes(&mut self) {
        let owned = self.owned.iter().flatten().count();
        self.budget.own(owned, self.owned.len());
    }

    pub(super) fn drop_all(&mut self, effects: &mut Effects) {
        for i in 0..self.owned.len() {
            self.drop_shard(effects, Shard(i as u8));
        }
    }

    /// A new epoch is a no to what older ones left open, whoever tells of it.
    pub(super) fn spread_view(&mut self) {
        for i in 0..self.view.len() {
            if let Some(w) = self.view[i].owner {
                for o in self.owned.iter_mut().flatten() {
                    o.participant.see_coordinator(Shard(i as u8), w.epoch);
                }
            }
        }
    }

    pub(super) fn see_shard(&mut self, effects: &mut Effects, key: &str, seen: Seen) {
        let now = effects.now;
        let Some(shard) = keys::parse_shard_key(key).filter(|s| (s.0 as usize) < self.view.len())
        else {
            return;
        };
        let i = shard.0 as usize;
        self.horizons.first_seen(
            shard,
            match seen {
                Seen::Owned(_, revision) | Seen::Vacant(revision) => revision,
            },
        );
        let (v, version) = match seen {
            Seen::Owned(v, version) => (v, version),
            Seen::Vacant(revision) => {
                self.view[i].vacate(revision, now);
                if self.owned[i].as_ref().is_some_and(|o| o.epoch.0 <= revision) {
                    self.drop_shard(effects, shard);
                }
                return;
            }
        };
        let epoch = Epoch(version);
        let Ok(record) = OwnerRecord::decode(v) else {
            return;
        };
        let boot = record.boot;
        let Some(node) = self.nodes.iter().position(|name| *name == record.node) else {
            return;
        };
        let owner = Owner { node: NodeIdx(node as u8), boot, epoch };
        if self.view[i].owner.is_some_and(|o| o.epoch > epoch) {
            return;
        }
        self.view[i].own(owner, now);
        let mine = owner.node == self.me && boot == self.boot;
        if mine && self.lease.valid(now) {
            self.own(effects, shard, epoch);
        } else if !mine && self.owned[i].is_some() {
            self.drop_shard(effects, shard);
        }
        self.spread_view();
        self.wake = true;
    }

    pub(super) fn tick_lease(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let unplaceable = self.lease.sent.is_none_or(|s| now > s + 2500);
        if now >= self.lease.next && unplaceable {
            self.lease.sent = Some(now);
            self.lease.next = now + RENEW_MS;
            let id = self.lease.id;
            let mut c = ctx!(self, effects);
            match id {
                Some(lease) => c.store(
                    Operation::RenewLease { sent: now, lease },
                    StoreCall::RenewLease { lease },
                ),
                None => c.store(
                    Operation::NewLease { sent: now },
                    StoreCall::NewLease { ttl_ms: LEASE_MS },
                ),
            }
        }
        if !self.shards_busy && now >= self.shards_at && !self.view_known {
            self.shards_busy = true;
            let mut c = ctx!(self, effects);
            c.store(
                Operation::Shards,
                StoreCall::List { prefix: keys::SHARDS.into(), after: None },
            );
        }
    }

    pub(super) fn tick_shards(&mut self, effects: &mut Effects) {
        let now = effects.now;
        if !self.view_known || !self.lease.valid(now) || self.names.catalog.is_empty() {
            return;
        }
        let n = self.view.len();
        for i in 0..n {
            let v = self.view[i];
            let mut version = 0;
            let take = match v.owner {
                None => {
                    let home = i == self.me.0 as usize;
                    let alive = |k: usize| lately(self.health.heard()[k], now);
                    // Home takes its own shard at once; others in order of distance, and only
                    // later if home is alive.
                    let wait = if home {
                        0
                    } else {
                        let ahead = (1..n)
                            .map(|d| (i + d) % n)
                            .take_while(|&k| k != self.me.0 as usize)
                            .filter(|&k| alive(k))
                            .count() as u64;
                        let load = self.owned.iter().flatten().count() as u64;
                        (if alive(i) { 1500 } else { 0 }) + ahead * 400 + load * 50
                    };
                    now >= v.vacant_since + wait
                }
                // Our own process before this one held it, and is dead; or this one gave that epoch up.
                Some(o)
                    if o.node == self.me
                        && (o.boot != self.boot || o.epoch <= self.given_up[i]) =>
                {
                    version = o.epoch.0;
                    true
                }
                Some(_) => false,
            };
            if !take || self.owned[i].is_some() || now < self.next_acquire[i] || v.trying {
                continue;
            }
            self.next_acquire[i] = now + 700;
            self.view[i].trying = true;
            let key = keys::shard_key(Shard(i as u8));
            let value =
                OwnerRecord { boot: self.boot, node: self.nodes[self.me.0 as usize].clone() }
                    .encode();
            let txn = Transaction {
                conditions: vec![Condition { key: key.clone(), version }],
                changes: vec![Change::Put { key, value, lease: self.lease.id }],
            };
            self.budget.spend(WriteClass::Ownership, 1);
            let mut c = ctx!(self, effects);
            c.store(Operation::Acquire(Shard(i as u8)), StoreCall::Transaction(txn));
        }
        // Orderly handover to the shard's home.
        for i in 0..n {
            let Some(o) = &mut self.owned[i] else {
                continue;
            };
            if !o.coordinator.relinquishing || o.releasing {
                continue;
            }
            if now > o.leave_until {
                o.coordinator.relinquishing = false;
                continue;
            }
            if o.coordinator.is_idle() {
                o.releasing = true;
                let key = keys::shard_key(Shard(i as u8));
                let epoch = o.epoch;
                let txn = Transaction {
                    conditions: vec![Condition { key: key.clone(), version: epoch.0 }],
                    changes: vec![Change::Delete { key }],
                };
                self.budget.spend(WriteClass::Ownership, 1);
                let mut c = ctx!(self, effects);
                c.store(Operation::Release(Shard(i as u8), epoch), StoreCall::Transaction(txn));
            }
        }
    }

    pub(super) fn watch_shards(&mut self, effects: &mut Effects, after: u64) {
        let mut c = ctx!(self, effects);
        let call = StoreCall::Watch { prefix: keys::SHARDS.into(), after, wait_ms: 15_000 };
        c.store(Operation::ShardWatch, call);
    }
}
