//! The provisioner's view of the participants' inventories.
//!
//! Invariant: the view of a participant equals its inventory at the time it sent the last update
//! that was applied. Updates are numbered. After a gap in the numbers no update is applied until
//! the participant sends its whole inventory again.
use crate::ids::{Shard, Timestamp};
use leaddeal_wire::mesh::MachineInfo;
use std::collections::BTreeMap;

/// A participant that sent no update for this long counts as silent: its free capacity is unknown.
const PARTICIPANT_FRESH_MS: u64 = 4000;

/// A change of a participant's inventory, or the whole inventory.
#[derive(Debug)]
pub(super) struct InventoryUpdate {
    pub(super) serial: u64,
    /// The update holds the whole inventory and replaces what was sent before.
    pub(super) is_full: bool,
    pub(super) machines: Vec<MachineInfo>,
    /// Names of machines that are no longer in the inventory.
    pub(super) gone: Vec<String>,
}

/// An update before this one was lost, so the whole inventory is needed.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct MissedUpdate;

/// A machine as its participant last reported it.
#[derive(Debug)]
pub(super) struct ReportedMachine {
    pub(super) received_at: Timestamp,
    pub(super) info: MachineInfo,
}

#[derive(Debug, Default)]
struct ParticipantView {
    /// When the last update was applied.
    updated_at: Timestamp,
    /// Serial number of the last update that was applied.
    serial: u64,
    /// By name.
    machines: BTreeMap<String, ReportedMachine>,
}

/// The machines of all participants, as last reported.
#[derive(Debug, Default)]
pub(super) struct InventoryView {
    participants: BTreeMap<Shard, ParticipantView>,
}

impl InventoryView {
    /// Applies an update from the participant `from`.
    ///
    /// # Errors
    /// Returns [`MissedUpdate`], and changes nothing, if the update does not directly follow the last
    /// one that was applied.
    pub(super) fn on_update(
        &mut self,
        from: Shard,
        update: InventoryUpdate,
        now: Timestamp,
    ) -> Result<(), MissedUpdate> {
        let view = self.participants.entry(from).or_default();
        if !update.is_full && view.serial.checked_add(1) != Some(update.serial) {
            return Err(MissedUpdate);
        }
        if update.is_full {
            view.machines.clear();
        }
        view.updated_at = now;
        view.serial = update.serial;
        for name in &update.gone {
            view.machines.remove(name);
        }
        for info in update.machines {
            let name = info.machine.clone();
            view.machines.insert(name, ReportedMachine { received_at: now, info });
        }
        Ok(())
    }

    /// Returns whether the participant has sent an update recently.
    pub(super) fn is_fresh(&self, participant: Shard, now: Timestamp) -> bool {
        let view = self.participants.get(&participant);
        view.is_some_and(|view| now < view.updated_at + PARTICIPANT_FRESH_MS)
    }

    /// Returns whether `participant`, which must be the one that `machine` belongs to, has received a
    /// heartbeat from the machine's worker.
    pub(super) fn contains(&self, participant: Shard, machine: &str) -> bool {
        let view = self.participants.get(&participant);
        view.is_some_and(|view| view.machines.contains_key(machine))
    }

    /// Returns all machines, ordered by participant and then by name.
    pub(super) fn machines(&self) -> impl Iterator<Item = &ReportedMachine> {
        self.participants.values().flat_map(|view| view.machines.values())
    }
}
