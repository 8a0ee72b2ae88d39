//! What is done when time has passed.
use super::Node;
use crate::context::Operation;
use crate::ids::{Timestamp, PROVISIONER_SHARD};
use crate::io::{CloudCall, Effect, Effects, LogLevel};
use crate::shard::at_least;
use leaddeal_wire::mesh::{NodeMessage, ShardMessage};

/// Between two slow ticks, in which heartbeats are sent.
const SLOW_TICK_INTERVAL_MS: u64 = 1000;
/// Between two requests for the catalog, until it is known.
const CATALOG_RETRY_INTERVAL_MS: u64 = 1000;
/// A tick that comes this long after the last one means that the process stood still.
const STALL_THRESHOLD_MS: u64 = 1500;
/// A new process does not ask for its home shard for this long.
const HOME_RECLAIM_START_DELAY_MS: u64 = 2000;
/// After a stall, or the loss of its lease, a node does not ask for its home shard for this long.
const HOME_RECLAIM_DELAY_MS: u64 = 20_000;

/// When the node began, and when things are next due.
#[derive(Debug)]
pub(super) struct Timers {
    /// When this process began.
    pub(super) started: Timestamp,
    last_tick: Timestamp,
    next_slow_tick: Timestamp,
    next_catalog_request: Timestamp,
    /// The home shard is not reclaimed until after this time.
    home_reclaim_from: Timestamp,
}

impl Timers {
    pub(super) fn new(now: Timestamp) -> Timers {
        Timers {
            started: now,
            last_tick: now,
            next_slow_tick: now,
            next_catalog_request: now,
            home_reclaim_from: now + at_least(HOME_RECLAIM_START_DELAY_MS),
        }
    }

    /// A node that stood still or lost its lease may do so again: its home shard stays where it is
    /// for a while. (Found on hunts: a controller that woke after 25 s was given its shard back a
    /// second later, so that one freeze cost two takeovers.)
    pub(super) fn delay_home_reclaim(&mut self, now: Timestamp) {
        self.home_reclaim_from = self.home_reclaim_from.max(now + HOME_RECLAIM_DELAY_MS);
    }
}

impl Node {
    /// Does all that is due; called at short intervals.
    pub(super) fn tick(&mut self, effects: &mut Effects) {
        let now = effects.now;
        self.detect_stall(effects);
        self.tick_lease(effects);
        self.tick_shard_list(effects);
        let own_assertions = self.own_assertions(now);
        self.shared.horizons.advance(&own_assertions, &self.shared.shard_views, now);
        self.tick_ownership(effects);
        self.request_catalog(effects);
        self.expire_job_queries(effects);
        self.tick_owned(effects);
        self.expire_relays(effects);
        self.tick_terminal_states(effects);
        if now >= self.timers.next_slow_tick {
            self.timers.next_slow_tick = now + SLOW_TICK_INTERVAL_MS;
            self.slow_tick(effects);
        }
        if let Some(active) = &mut self.provisioner {
            active.provisioner.tick(&mut self.shared.context(effects));
        }
    }

    fn detect_stall(&mut self, effects: &mut Effects) {
        let now = effects.now;
        if now >= self.timers.last_tick + STALL_THRESHOLD_MS {
            let stalled_ms = now - self.timers.last_tick;
            effects.log(LogLevel::Info, "process_stalled", || format!("ms={stalled_ms}"));
            self.timers.delay_home_reclaim(now);
        }
        self.timers.last_tick = now;
    }

    /// Asks the cloud for its machine types, until it has named them.
    fn request_catalog(&mut self, effects: &mut Effects) {
        if self.shared.names.catalog.is_empty() && effects.now >= self.timers.next_catalog_request {
            self.timers.next_catalog_request = effects.now + CATALOG_RETRY_INTERVAL_MS;
            self.shared.context(effects).cloud(Operation::Catalog, CloudCall::Catalog);
        }
    }

    fn tick_owned(&mut self, effects: &mut Effects) {
        for active in self.owned.iter_mut().flatten() {
            let mut context = self.shared.context(effects);
            active.participant.tick(&mut context);
            if context.lease_valid {
                active.coordinator.tick(&mut context);
            }
            self.wake |= context.wake;
        }
    }

    /// What is done once a second.
    fn slow_tick(&mut self, effects: &mut Effects) {
        let now = effects.now;
        self.tick_statistics(effects);
        self.terminal_states.revisions.sample(now, self.shared.config.cancel_ms);
        self.relay_table.expire(now);
        self.shared.horizons.expire(now);
        self.log_relinquished_workers(effects);
        self.send_heartbeats(effects, |_| true);
        self.reclaim_home_shard(effects);
        self.inform_provisioner(effects);
    }

    /// Asks the present owner for the home shard, once this node is ready for it.
    fn reclaim_home_shard(&mut self, effects: &mut Effects) {
        let home = self.shared.home_shard();
        let Some(owner) = self.shared.owner(home) else { return };
        if owner.node != self.shared.me
            && self.shared.lease.valid(effects.now)
            && effects.now > self.timers.home_reclaim_from
            && !self.shared.names.catalog.is_empty()
        {
            let to = self.shared.node_name(owner.node);
            effects.push(Effect::Mesh { to, msg: NodeMessage::ReclaimShard { shard: home.0 } });
        }
    }

    /// Sends the provisioner the unmet demand and the inventory of each shard that is owned here.
    fn inform_provisioner(&mut self, effects: &mut Effects) {
        for (shard, slot) in self.shared.shards().zip(&mut self.owned) {
            let Some(active) = slot else { continue };
            let mut context = self.shared.context(effects);
            let lacks = active.coordinator.unmet_demand(&context);
            let inventory = active.participant.inventory(&context);
            if active.coordinator.ready() {
                context.send(shard, PROVISIONER_SHARD, ShardMessage::UnmetDemand { lacks });
            }
            for message in inventory {
                context.send(shard, PROVISIONER_SHARD, message);
            }
        }
    }
}
