//! The provisioner's view of the participants' inventories.
//!
//! Invariant: a participant's view is what it had when it sent its last message that was taken in.
//! If a message is missing, seen by the serial numbers, nothing is taken until the whole inventory
//! comes again.
use crate::ids::{Shard, Timestamp};
use leaddeal_wire::mesh::MachineInfo;
use std::collections::BTreeMap;

/// A participant that sent no message for this long says nothing about its free capacity.
const PARTICIPANT_FRESH_MS: u64 = 4000;

/// A change of a participant's inventory, or all of it.
#[derive(Debug)]
pub(super) struct InventoryUpdate {
    pub(super) serial: u64,
    /// It is the first of its kind and holds the whole inventory.
    pub(super) is_first: bool,
    pub(super) machines: Vec<MachineInfo>,
    /// Names of machines that are no longer there.
    pub(super) gone: Vec<String>,
}

/// A message before this one is missing: the whole inventory is needed.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct MissedUpdate;

/// A machine as its participant described it.
#[derive(Debug)]
pub(super) struct ReportedMachine {
    pub(super) received_at: Timestamp,
    pub(super) info: MachineInfo,
}

#[derive(Debug, Default)]
struct ParticipantView {
    /// When its last message was taken in, and that one's number.
    updated_at: Timestamp,
    serial: u64,
    /// By name.
    machines: BTreeMap<String, ReportedMachine>,
}

/// The machines of all participants, as they last described them.
#[derive(Debug, Default)]
pub(super) struct InventoryView {
    participants: BTreeMap<Shard, ParticipantView>,
}

impl InventoryView {
    /// Takes a message of a participant.
    ///
    /// # Errors
    /// [`MissedUpdate`] if it does not follow the last one that was taken in; nothing is changed.
    pub(super) fn on_update(
        &mut self,
        from: Shard,
        update: InventoryUpdate,
        now: Timestamp,
    ) -> Result<(), MissedUpdate> {
        let view = self.participants.entry(from).or_default();
        if !update.is_first && view.serial.checked_add(1) != Some(update.serial) {
            return Err(MissedUpdate);
        }
        if update.is_first {
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

    /// Whether the participant has sent something recently.
    pub(super) fn is_fresh(&self, participant: Shard, now: Timestamp) -> bool {
        let view = self.participants.get(&participant);
        view.is_some_and(|view| now < view.updated_at + PARTICIPANT_FRESH_MS)
    }

    /// Whether this participant, which must be the machine's, has received a heartbeat of its worker.
    pub(super) fn contains(&self, participant: Shard, machine: &str) -> bool {
        let view = self.participants.get(&participant);
        view.is_some_and(|view| view.machines.contains_key(machine))
    }

    /// All machines, in the order of the participants and of their names.
    pub(super) fn machines(&self) -> impl Iterator<Item = &ReportedMachine> {
        self.participants.values().flat_map(|view| view.machines.values())
    }
}
