//! An index of a participant's machines by what requests ask for: type, zone, spot or not, cached
//! image, and free processors.
//!
//! Invariant: a machine has the entry that `Participant::reindex` last set. It has none if no work can
//! be placed on it: its lease has expired, it was released, or its type or zone is not known.
use crate::ids::{ImageIdx, MachineIdx, MachineTypeIdx, ZoneIdx};
use crate::machine::Machine;
use std::cmp::Reverse;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Key of the machines that differ for a job only in free resources and cached images. Ordered by type,
/// then zone, then ordinary before spot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct MachineGroup {
    /// Type in the catalog.
    pub machine_type: MachineTypeIdx,
    /// Zone of the machines.
    pub zone: ZoneIdx,
    /// Whether the machines are spot instances.
    pub spot: bool,
}

impl MachineGroup {
    /// Returns the group of a machine; `None` if its type or zone is not known.
    pub fn of(machine: &Machine) -> Option<MachineGroup> {
        let (machine_type, zone) = machine.machine_type.zip(machine.zone)?;
        Some(MachineGroup { machine_type, zone, spot: machine.spot })
    }
}

/// The indexed properties of a machine.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct CapacityEntry {
    /// Group of the machine.
    pub group: MachineGroup,
    /// Free processors in thousandths, before holds and reservations are subtracted; 0 if a task of
    /// unknown shape is on the machine.
    pub free_cpu: u64,
    /// Images in the machine's cache.
    pub images: Vec<ImageIdx>,
}

/// Machines by free processors, those with the most first.
type ByFreeCpu = BTreeSet<(Reverse<u64>, MachineIdx)>;

/// The index. `by_image` has no empty sets; `by_group` keeps the groups of all machines that there were.
#[derive(Debug, Default)]
pub(super) struct FreeCapacityIndex {
    by_group: BTreeMap<MachineGroup, ByFreeCpu>,
    by_image: HashMap<(MachineGroup, ImageIdx), ByFreeCpu>,
    entries: HashMap<MachineIdx, CapacityEntry>,
}

impl FreeCapacityIndex {
    /// Replaces the entry of a machine; `None` removes it.
    pub fn set(&mut self, machine: MachineIdx, entry: Option<CapacityEntry>) {
        if self.entries.get(&machine) == entry.as_ref() {
            return;
        }
        self.remove(machine);
        if let Some(entry) = entry {
            self.insert(machine, entry);
        }
    }

    fn remove(&mut self, machine: MachineIdx) {
        let Some(entry) = self.entries.remove(&machine) else { return };
        let position = (Reverse(entry.free_cpu), machine);
        if let Some(machines) = self.by_group.get_mut(&entry.group) {
            machines.remove(&position);
        }
        for image in entry.images {
            if let Entry::Occupied(mut machines) = self.by_image.entry((entry.group, image)) {
                machines.get_mut().remove(&position);
                if machines.get().is_empty() {
                    machines.remove();
                }
            }
        }
    }

    fn insert(&mut self, machine: MachineIdx, entry: CapacityEntry) {
        let position = (Reverse(entry.free_cpu), machine);
        self.by_group.entry(entry.group).or_default().insert(position);
        for &image in &entry.images {
            self.by_image.entry((entry.group, image)).or_default().insert(position);
        }
        self.entries.insert(machine, entry);
    }

    /// Returns the groups that have, or once had, a machine in the index.
    pub fn groups(&self) -> impl Iterator<Item = MachineGroup> + '_ {
        self.by_group.keys().copied()
    }

    /// Returns the machines of a group with at least `min_cpu` thousandths of free processors, those
    /// with the most first.
    pub fn with_free_cpu(
        &self,
        group: MachineGroup,
        min_cpu: u64,
    ) -> impl Iterator<Item = MachineIdx> + '_ {
        most_free_first(self.by_group.get(&group), min_cpu)
    }

    /// Returns the machines of a group that have the image in their cache and at least `min_cpu`
    /// thousandths of free processors, those with the most first.
    pub fn with_image(
        &self,
        group: MachineGroup,
        image: ImageIdx,
        min_cpu: u64,
    ) -> impl Iterator<Item = MachineIdx> + '_ {
        most_free_first(self.by_image.get(&(group, image)), min_cpu)
    }

    /// Returns the entry of a machine; `None` if it has none.
    pub fn entry(&self, machine: MachineIdx) -> Option<&CapacityEntry> {
        self.entries.get(&machine)
    }
}

fn most_free_first(
    machines: Option<&ByFreeCpu>,
    min_cpu: u64,
) -> impl Iterator<Item = MachineIdx> + '_ {
    let machines = machines.into_iter().flatten();
    machines.take_while(move |(free, _)| free.0 >= min_cpu).map(|(_, machine)| *machine)
}

#[cfg(test)]
mod tests;
