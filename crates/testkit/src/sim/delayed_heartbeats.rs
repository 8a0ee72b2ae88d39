//! Heartbeats, or copies of heartbeats, that are delayed until a shard changes its owner and arrive at that instant.
use super::event::{Event, SentHeartbeat};
use super::fault_windows::draw_percent;
use super::{Sim, NODES};
use crate::script::OwnerChange;
use leaddeal_core::ids::{shard_of_machine, Shard};
use leaddeal_wire::worker::WorkerHeartbeat;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;

/// Until the time `until`, `percent` of the heartbeats are delayed until the next `owner_change`.
#[derive(Clone, Copy, Debug)]
pub(super) struct DelayWindow {
    pub(super) percent: u32,
    pub(super) until: u64,
    pub(super) owner_change: OwnerChange,
    /// They arrive at every controller, and not only at the new owner.
    pub(super) to_all: bool,
}

/// A heartbeat that is held until its machine's shard changes its owner.
struct DelayedHeartbeat {
    heartbeat: WorkerHeartbeat,
    /// When it was sent; 0 for a copy, whose reply no worker waits for.
    sent_at: u64,
    owner_change: OwnerChange,
    to_all: bool,
}

/// The heartbeats that are held, and the windows in which more are.
#[derive(Default)]
pub(super) struct DelayedHeartbeats {
    windows: Vec<DelayWindow>,
    held: Vec<DelayedHeartbeat>,
    /// By shard, the controller that has loaded it and not yet sent commands to a machine of it.
    new_owners: BTreeMap<Shard, usize>,
}

impl DelayedHeartbeats {
    /// Adds a window in which heartbeats are delayed.
    pub(super) fn add(&mut self, window: DelayWindow) {
        self.windows.push(window);
    }

    /// Draws for each window whether to hold the heartbeat or a copy of it. Returns whether the heartbeat itself
    /// is held, so that it must not be sent now.
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

    /// Removes and returns the heartbeats of a shard's machines that were held until this change of owner.
    fn take_due(&mut self, change: OwnerChange, shard: Shard) -> Vec<DelayedHeartbeat> {
        let is_due = |held: &mut DelayedHeartbeat| {
            held.owner_change == change && shard_of_machine(&held.heartbeat.machine, NODES) == shard
        };
        self.held.extract_if(.., is_due).collect()
    }
}

impl Sim {
    /// Delivers the delayed heartbeats that are due when a controller logs that it has acquired or loaded a shard.
    pub(super) fn note_owner_change(&mut self, node: usize, event: &str, details: &str) {
        let shard = details.split_whitespace().find_map(|w| w.strip_prefix("shard=")?.parse().ok());
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

    /// Delivers the delayed heartbeats that are due when a new owner sends its first commands to a machine of a shard.
    pub(super) fn note_commands(&mut self, node: usize, machine: &str) {
        let shard = shard_of_machine(machine, NODES);
        if self.delayed_heartbeats.new_owners.get(&shard) == Some(&node) {
            self.delayed_heartbeats.new_owners.remove(&shard);
            self.deliver_delayed(node, OwnerChange::FirstCommand, shard);
        }
    }

    /// Delivers the heartbeats that were held until this change of a shard's owner.
    fn deliver_delayed(&mut self, owner: usize, change: OwnerChange, shard: Shard) {
        for held in self.delayed_heartbeats.take_due(change, shard) {
            *self.observations.delayed_heartbeats.entry(change).or_default() += 1;
            for node in (0..NODES).filter(|&node| held.to_all || node == owner) {
                let (sent_at, heartbeat) = (held.sent_at, held.heartbeat.clone());
                let sent = SentHeartbeat { node, sent_at, heartbeat };
                self.schedule(0, Event::Heartbeat(sent));
            }
        }
    }
}
