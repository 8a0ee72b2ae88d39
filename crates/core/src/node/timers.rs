//! Periodic work of the node.
use super::Node;
use crate::context::Operation;
use crate::ids::{Timestamp, PROVISIONER_SHARD};
use crate::io::{CloudCall, Effect, Effects, LogLevel};
use crate::shard::plus_clock_drift;
use leaddeal_wire::mesh::{NodeMessage, ShardMessage};

/// Interval between two slow ticks, which send heartbeats among other things, in ms.
const SLOW_TICK_INTERVAL_MS: u64 = 1000;
/// Interval between two requests for the cloud's catalog until it is known, in ms.
const CATALOG_RETRY_INTERVAL_MS: u64 = 1000;
/// A tick this long after the previous one means that the process has stalled, in ms.
const STALL_THRESHOLD_MS: u64 = 1500;
/// Delay after the start of a process before it reclaims its home shard, in ms.
const HOME_RECLAIM_START_DELAY_MS: u64 = 2000;
/// Delay after a stall or the loss of the lease before the node reclaims its home shard, in ms.
const HOME_RECLAIM_DELAY_MS: u64 = 20_000;

/// When the process started, and when periodic work is next due.
#[derive(Debug)]
pub(super) struct Timers {
    /// When this process started.
    pub(super) started_at: Timestamp,
    last_tick: Timestamp,
    next_slow_tick: Timestamp,
    next_catalog_request: Timestamp,
    /// The home shard is reclaimed only after this time.
    home_reclaim_from: Timestamp,
}

impl Timers {
    pub(super) fn new(now: Timestamp) -> Timers {
        Timers {
            started_at: now,
            last_tick: now,
            next_slow_tick: now,
            next_catalog_request: now,
            home_reclaim_from: now + plus_clock_drift(HOME_RECLAIM_START_DELAY_MS),
        }
    }

    /// Delays reclaiming the home shard, because a node that has stalled or lost its lease may do so
    /// again. Without the delay, a controller that resumed after a stall of 25 s got its home shard back
    /// a second later, so one stall caused two changes of the owner.
    pub(super) fn delay_home_reclaim(&mut self, now: Timestamp) {
        self.home_reclaim_from = self.home_reclaim_from.max(now + HOME_RECLAIM_DELAY_MS);
    }
}

impl Node {
    /// Does the periodic work that is due. Must be called at short intervals.
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

    /// Logs a stall of this process, and delays reclaiming the home shard after it.
    fn detect_stall(&mut self, effects: &mut Effects) {
        let now = effects.now;
        if now >= self.timers.last_tick + STALL_THRESHOLD_MS {
            let stalled_ms = now - self.timers.last_tick;
            effects.log(LogLevel::Info, "process_stalled", || format!("ms={stalled_ms}"));
            self.timers.delay_home_reclaim(now);
        }
        self.timers.last_tick = now;
    }

    /// Requests the machine types from the cloud until they are known.
    fn request_catalog(&mut self, effects: &mut Effects) {
        if self.shared.names.catalog.is_empty() && effects.now >= self.timers.next_catalog_request {
            self.timers.next_catalog_request = effects.now + CATALOG_RETRY_INTERVAL_MS;
            self.shared.context(effects).call_cloud(Operation::Catalog, CloudCall::Catalog);
        }
    }

    fn tick_owned(&mut self, effects: &mut Effects) {
        for active in self.owned.iter_mut().flatten() {
            let mut context = self.shared.context(effects);
            active.participant.tick(&mut context);
            if context.lease_valid {
                active.coordinator.tick(&mut context);
            }
            self.needs_round |= context.needs_round;
        }
    }

    /// Does the work that is due once per second.
    fn slow_tick(&mut self, effects: &mut Effects) {
        let now = effects.now;
        self.tick_statistics(effects);
        self.log_unserved_shards(effects);
        self.terminal_states.revisions.sample(now, self.shared.config.cancel_ms);
        self.relay_table.expire(now);
        self.shared.horizons.expire(now);
        self.log_refused_heartbeats(effects);
        self.send_heartbeats(effects, |_| true);
        self.reclaim_home_shard(effects);
        self.inform_provisioner(effects);
    }

    /// Asks the present owner to hand over the home shard, once this node can own it.
    fn reclaim_home_shard(&mut self, effects: &mut Effects) {
        let home = self.shared.home_shard();
        let Some(owner) = self.shared.owner(home) else { return };
        if owner.node != self.shared.this_node
            && self.shared.lease.is_valid(effects.now)
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
            if active.coordinator.is_ready() {
                context.send(shard, PROVISIONER_SHARD, ShardMessage::UnmetDemand { lacks });
            }
            for message in inventory {
                context.send(shard, PROVISIONER_SHARD, message);
            }
        }
    }
}
