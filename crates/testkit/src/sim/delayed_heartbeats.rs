//! Heartbeats that are delayed until a shard changes its owner, and arrive then: copies, or the
//! heartbeats themselves.
use super::event::{Event, SentHeartbeat};
use super::fault_windows::draw_percent;
use super::{Sim, NODES};
use crate::script::OwnerChange;
use leaddeal_core::ids::{shard_of_machine, Shard};
use leaddeal_wire::worker::WorkerHeartbeat;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;

/// Until a time, a share of the heartbeats is delayed until such a change of owner.
#[derive(Clone, Copy, Debug)]
pub(super) struct DelayWindow {
    pub(super) percent: u32,
    pub(super) until: u64,
    pub(super) owner_change: OwnerChange,
    pub(super) to_all: bool,
}

/// A heartbeat on its way to whoever owns its machine's shard after the change, or to every controller.
struct DelayedHeartbeat {
    heartbeat: WorkerHeartbeat,
    /// When it was sent; 0: a copy, whose reply nobody waits for.
    sent_at: u64,
    owner_change: OwnerChange,
    to_all: bool,
}

/// Holds heartbeats until changes of owner.
#[derive(Default)]
pub(super) struct DelayedHeartbeats {
    windows: Vec<DelayWindow>,
    held: Vec<DelayedHeartbeat>,
    /// Controllers that have loaded a shard and sent no commands to a machine of it yet.
    new_owners: BTreeMap<Shard, usize>,
}

impl DelayedHeartbeats {
    /// Heartbeats are delayed in this window, too.
    pub(super) fn add(&mut self, window: DelayWindow) {
        self.windows.push(window);
    }

    /// Holds the heartbeat, or copies of it. True if it is not on its way otherwise.
    pub(super) fn hold(&mut self, sent: &WorkerHeartbeat, now: u64, rng: &mut SmallRng) -> bool {
        self.windows.retain(|window| now < window.until);
        let mut held = false;
        for &DelayWindow { percent, owner_change, to_all, .. } in &self.windows {
            if draw_percent(percent, rng) {
                let is_copy = owner_change != OwnerChange::FirstCommand;
                held |= !is_copy;
                let sent_at = if is_copy { 0 } else { now };
                let heartbeat = sent.clone();
                self.held.push(DelayedHeartbeat { heartbeat, sent_at, owner_change, to_all });
            }
        }
        held
    }

    /// Takes the heartbeats of this shard's machines that were held until this change.
    fn take(&mut self, change: OwnerChange, shard: Shard) -> Vec<DelayedHeartbeat> {
        let is_due = |held: &mut DelayedHeartbeat| {
            held.owner_change == change && shard_of_machine(&held.heartbeat.machine, NODES) == shard
        };
        self.held.extract_if(.., is_due).collect()
    }
}

impl Sim {
    /// A controller logs that it has acquired or loaded a shard.
    pub(super) fn note_owner_change(&mut self, node: usize, event: &str, fields: &str) {
        let shard = fields.split_whitespace().find_map(|w| w.strip_prefix("shard=")?.parse().ok());
        let Some(shard) = shard.map(Shard) else { return };
        match event {
            "shard_acquired" => self.deliver_delayed(node, OwnerChange::Acquired, shard),
            "shard_loaded" => {
                self.delayed_heartbeats.new_owners.insert(shard, node);
                self.deliver_delayed(node, OwnerChange::Loaded, shard);
            }
            _ => {}
        }
    }

    /// A controller sends commands to a machine.
    pub(super) fn note_commands(&mut self, node: usize, machine: &str) {
        let shard = shard_of_machine(machine, NODES);
        if self.delayed_heartbeats.new_owners.get(&shard) == Some(&node) {
            self.delayed_heartbeats.new_owners.remove(&shard);
            self.deliver_delayed(node, OwnerChange::FirstCommand, shard);
        }
    }

    /// What was held until this change arrives.
    fn deliver_delayed(&mut self, owner: usize, change: OwnerChange, shard: Shard) {
        for held in self.delayed_heartbeats.take(change, shard) {
            *self.observations.delayed_heartbeats.entry(change).or_default() += 1;
            for node in (0..NODES).filter(|&node| held.to_all || node == owner) {
                let (sent_at, heartbeat) = (held.sent_at, held.heartbeat.clone());
                let sent = SentHeartbeat { node, sent_at, heartbeat };
                self.schedule(0, Event::Heartbeat(sent));
            }
        }
    }
}
