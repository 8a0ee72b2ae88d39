//! A participant's machines by what requests ask for: type, zone, spot or not, and free processors.
//!
//! Invariant: a machine has the entry that `Participant::reindex` last gave it, or none if no work
//! may come to it for good (lease expired, released, of no known type or zone).
use crate::ids::{ImageIdx, MachineIdx, MachineTypeIdx, ZoneIdx};
use crate::machine::Machine;
use std::cmp::Reverse;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Machines that are alike for every job. Ordered by type, zone, and spot last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct MachineGroup {
    /// Type in the catalog.
    pub machine_type: MachineTypeIdx,
    /// Zone.
    pub zone: ZoneIdx,
    /// Spot instances.
    pub spot: bool,
}

impl MachineGroup {
    /// The machine's group; none: its type or zone is not known.
    pub fn of(machine: &Machine) -> Option<MachineGroup> {
        let (machine_type, zone) = machine.machine_type.zip(machine.zone)?;
        Some(MachineGroup { machine_type, zone, spot: machine.spot })
    }
}

/// What requests find a machine by.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct CapacityEntry {
    /// Its group.
    pub group: MachineGroup,
    /// Free processors in thousandths, holds and reservations not taken off; 0 if unknown.
    pub free_cpu: u64,
    /// Images in its cache.
    pub images: Vec<ImageIdx>,
}

/// Machines by free processors, the most first.
type ByFreeCpu = BTreeSet<(Reverse<u64>, MachineIdx)>;

/// The index.
#[derive(Debug, Default)]
pub(super) struct FreeCapacityIndex {
    by_group: BTreeMap<MachineGroup, ByFreeCpu>,
    by_image: HashMap<(MachineGroup, ImageIdx), ByFreeCpu>,
    entries: HashMap<MachineIdx, CapacityEntry>,
}

impl FreeCapacityIndex {
    /// Gives a machine this entry in place of the one it has.
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

    /// The groups that there are, or were, machines of.
    pub fn groups(&self) -> impl Iterator<Item = MachineGroup> + '_ {
        self.by_group.keys().copied()
    }

    /// The machines of a group with at least `min_cpu` thousandths of free processors, the most
    /// first.
    pub fn with_free(
        &self,
        group: MachineGroup,
        min_cpu: u64,
    ) -> impl Iterator<Item = MachineIdx> + '_ {
        most_free_first(self.by_group.get(&group), min_cpu)
    }

    /// Of those, the ones that have the image.
    pub fn with_image(
        &self,
        group: MachineGroup,
        image: ImageIdx,
        min_cpu: u64,
    ) -> impl Iterator<Item = MachineIdx> + '_ {
        most_free_first(self.by_image.get(&(group, image)), min_cpu)
    }

    /// A machine's entry.
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
