//! What the provisioner is told of a participant's machines: all of them once, then what changed.
//!
//! Invariant: `told` is what a provisioner knows that has taken every message since the first one. A
//! provisioner that missed one sees it by the serial number and asks for all anew. (Each list in full
//! every second took a tenth of the bytes between controllers, and grew with the fleet.)
use crate::ids::{MachineIdx, Timestamp, TypeIdx, ZoneIdx};
use crate::names::Names;
use leaddeal_wire::mesh::{MachineInfo, ShardMessage};
use std::collections::{BTreeMap, BTreeSet};

/// A message names at most this many machines: a frame holds several times as many.
const MOST: usize = 1000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct MachineSummary {
    pub kind: TypeIdx,
    pub zone: Option<ZoneIdx>,
    pub spot: bool,
    pub idle_since: Option<Timestamp>,
    pub dead: bool,
    pub draining: bool,
}

#[derive(Debug, Default)]
pub(super) struct InventoryPublisher {
    now: BTreeMap<MachineIdx, MachineSummary>,
    told: BTreeMap<MachineIdx, MachineSummary>,
    changed: BTreeSet<MachineIdx>,
    serial: u64,
    started: bool,
}

impl InventoryPublisher {
    pub fn set(&mut self, idx: MachineIdx, shown: Option<MachineSummary>) {
        let was = match shown {
            Some(s) => self.now.insert(idx, s),
            None => self.now.remove(&idx),
        };
        if was != shown {
            self.changed.insert(idx);
        }
    }

    pub fn gone(&mut self, idx: MachineIdx) {
        self.set(idx, None);
    }

    pub fn start_again(&mut self) {
        self.started = false;
    }

    /// What to tell; at least one message, which says that this participant is alive.
    pub fn changes(&mut self, now: Timestamp, names: &Names) -> Vec<ShardMessage> {
        let mut first = !std::mem::replace(&mut self.started, true);
        if first {
            self.told.clear();
            self.changed = self.now.keys().copied().collect();
        }
        let (mut machines, mut gone) = (Vec::new(), Vec::new());
        for idx in std::mem::take(&mut self.changed) {
            let machine = || names.machine_name(idx).to_string();
            match self.now.get(&idx) {
                Some(s) if self.told.get(&idx) != Some(s) => {
                    self.told.insert(idx, *s);
                    machines.push(MachineInfo {
                        machine: machine(),
                        type_name: names.catalog[s.kind.0 as usize].name.clone(),
                        zone: s.zone.map(|z| names.zones[z.0 as usize].clone()).unwrap_or_default(),
                        spot: s.spot,
                        idle_ms: s.idle_since.map(|t| now.saturating_sub(t)),
                        dead: s.dead,
                        draining: s.draining,
                    });
                }
                None if self.told.remove(&idx).is_some() => gone.push(machine()),
                Some(_) | None => {}
            }
        }
        let mut messages = Vec::new();
        loop {
            let rest = machines.split_off(machines.len().min(MOST));
            let participant = std::mem::replace(&mut machines, rest);
            let left = gone.split_off(gone.len().min(MOST));
            let gone = std::mem::replace(&mut gone, left);
            self.serial += 1;
            let serial = self.serial;
            messages.push(ShardMessage::Inventory { serial, first, machines: participant, gone });
            first = false;
            if machines.is_empty() {
                return messages;
            }
        }
    }
}
