//! The list of a participant's machines for the provisioner: all machines once, then only changes.
//! Sending the full list every second took a tenth of the bytes between controllers and grew with the
//! fleet.
use super::Participant;
use crate::context::Context;
use crate::ids::{MachineIdx, MachineTypeIdx, Timestamp, ZoneIdx};
use crate::machine::{Machine, TaskOnMachine};
use crate::names::Names;
use crate::shard::plus_clock_drift;
use leaddeal_wire::mesh::{MachineInfo, ShardMessage};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of present machines, and of removed ones, in one message; a frame can hold several
/// times as many.
const MAX_MACHINES_PER_MESSAGE: usize = 1000;
/// Time in ms after which a machine that does not receive what is sent to it is listed as unusable.
const UNREACHABLE_TIMEOUT_MS: u64 = 60_000;
/// Unreachable machines are listed as unusable only if fewer than one machine in this many is unreachable.
/// If more are, the fault is on the controllers' side, and the machines should not be replaced.
const MIN_MACHINES_PER_UNREACHABLE: usize = 4;

/// What the provisioner is told about a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MachineSummary {
    /// Type in the catalog.
    pub machine_type: MachineTypeIdx,
    /// Zone; `None` if it is not known.
    pub zone: Option<ZoneIdx>,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// When the last task left the machine; `None` if a task is, or may come to be, on it.
    pub idle_since: Option<Timestamp>,
    /// Whether the machine has to be replaced.
    pub unusable: bool,
    /// Whether the machine gets no new tasks.
    pub draining: bool,
}

/// Produces the messages that keep the provisioner's copy of the machine list up to date.
///
/// Invariant: `published` equals the copy of a provisioner that has received every message since the
/// first one. A provisioner that missed a message detects it by the serial number and requests the
/// full list.
#[derive(Debug, Default)]
pub(super) struct InventoryPublisher {
    current: BTreeMap<MachineIdx, MachineSummary>,
    published: BTreeMap<MachineIdx, MachineSummary>,
    /// Machines that may differ between `current` and `published`.
    changed: BTreeSet<MachineIdx>,
    /// Serial number of the newest message.
    serial: u64,
    /// Whether the full list was sent.
    has_started: bool,
}

impl InventoryPublisher {
    /// Sets the current summary of a machine; `None` removes the machine from the list.
    pub fn set(&mut self, idx: MachineIdx, summary: Option<MachineSummary>) {
        let previous = match summary {
            Some(summary) => self.current.insert(idx, summary),
            None => self.current.remove(&idx),
        };
        if previous != summary {
            self.changed.insert(idx);
        }
    }

    /// Removes a machine from the list.
    pub fn remove(&mut self, idx: MachineIdx) {
        self.set(idx, None);
    }

    /// Makes the next messages list all machines again.
    pub fn publish_all_again(&mut self) {
        self.has_started = false;
    }

    /// Returns the messages with the changes since the last call. There is always at least one, since
    /// the provisioner takes it as a sign that the participant is alive.
    pub fn next_messages(&mut self, now: Timestamp, names: &Names) -> Vec<ShardMessage> {
        let first = !std::mem::replace(&mut self.has_started, true);
        if first {
            self.published.clear();
            self.changed = self.current.keys().copied().collect();
        }
        let (mut machines, mut removed) = (Vec::new(), Vec::new());
        for idx in std::mem::take(&mut self.changed) {
            match self.current.get(&idx) {
                Some(summary) if self.published.get(&idx) != Some(summary) => {
                    self.published.insert(idx, *summary);
                    machines.push(machine_info(idx, summary, now, names));
                }
                None if self.published.remove(&idx).is_some() => {
                    removed.push(names.machine_name(idx).to_string());
                }
                Some(_) | None => {}
            }
        }
        self.split_into_messages(machines, removed, first)
    }

    /// Splits the lists into messages with consecutive serial numbers. `first` is set in the first of
    /// them only.
    fn split_into_messages(
        &mut self,
        mut machines: Vec<MachineInfo>,
        mut removed: Vec<String>,
        mut first: bool,
    ) -> Vec<ShardMessage> {
        let mut messages = Vec::new();
        loop {
            self.serial += 1;
            messages.push(ShardMessage::Inventory {
                serial: self.serial,
                first,
                machines: take_front(&mut machines),
                gone: take_front(&mut removed),
            });
            first = false;
            if machines.is_empty() && removed.is_empty() {
                return messages;
            }
        }
    }
}

/// Removes and returns up to `MAX_MACHINES_PER_MESSAGE` elements from the front.
fn take_front<T>(list: &mut Vec<T>) -> Vec<T> {
    let rest = list.split_off(list.len().min(MAX_MACHINES_PER_MESSAGE));
    std::mem::replace(list, rest)
}

fn machine_info(
    idx: MachineIdx,
    summary: &MachineSummary,
    now: Timestamp,
    names: &Names,
) -> MachineInfo {
    let zone = summary.zone.map(|zone| names.zones[zone.0 as usize].clone());
    MachineInfo {
        machine: names.machine_name(idx).to_string(),
        type_name: names.catalog[summary.machine_type.0 as usize].name.clone(),
        zone: zone.unwrap_or_default(),
        spot: summary.spot,
        idle_ms: summary.idle_since.map(|since| now.saturating_sub(since)),
        unusable: summary.unusable,
        draining: summary.draining,
    }
}

fn is_long_unreachable(machine: &Machine, now: Timestamp) -> bool {
    let unreachable_since = machine.reachability.unreachable_since();
    unreachable_since.is_some_and(|since| now >= since + UNREACHABLE_TIMEOUT_MS)
}

impl Participant {
    /// Returns the messages that report changes of the machines to the provisioner.
    pub fn inventory(&mut self, ctx: &Context) -> Vec<ShardMessage> {
        let now = ctx.now;
        let lease_ms = plus_clock_drift(ctx.config.worker_lease_ms);
        let present = self.machines.values().filter(|machine| !machine.released);
        let unreachable = present.filter(|machine| is_long_unreachable(machine, now)).count();
        let few_unreachable = unreachable * MIN_MACHINES_PER_UNREACHABLE < self.machines.len();
        for (&idx, machine) in &self.machines {
            let is_lost = machine.lease_expired && now > machine.last_heartbeat_at + lease_ms;
            let is_unusable = is_lost || (few_unreachable && is_long_unreachable(machine, now));
            self.inventory_publisher.set(idx, self.summary(idx, machine, is_unusable));
        }
        self.inventory_publisher.next_messages(now, ctx.names)
    }

    /// Makes the next inventory list all machines, because the provisioner missed a message.
    pub fn resend_inventory(&mut self) {
        self.inventory_publisher.publish_all_again();
    }

    fn summary(
        &self,
        idx: MachineIdx,
        machine: &Machine,
        is_unusable: bool,
    ) -> Option<MachineSummary> {
        let machine_type = machine.machine_type.filter(|_| !machine.released)?;
        let is_idle =
            !self.holds.has_any_on(idx) && machine.tasks.values().all(TaskOnMachine::is_over);
        Some(MachineSummary {
            machine_type,
            zone: machine.zone,
            spot: machine.spot,
            idle_since: is_idle.then_some(machine.last_busy_at),
            unusable: is_unusable,
            draining: machine.draining,
        })
    }
}

#[cfg(test)]
mod tests;
