//! A participant's machines by what requests ask for: type, zone, kind and free processors.
//!
//! Invariant: a machine stands in the group and place that `Participant::reindex` last gave it, or
//! nowhere if no work may come to it for good (lapsed, returned, of no known type or zone).
use crate::ids::{ImageIdx, MachineIdx, TypeIdx, ZoneIdx};
use std::cmp::Reverse;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Machines that are alike for every job: type, zone, and whether spot.
pub(super) type Group = (TypeIdx, ZoneIdx, bool);
/// Free processors in thousandths, not counting holds and claims; 0 if unknown.
type Free = u64;

/// Where a machine stands: its group, its free processors, and the images that it has.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct CapacityEntry {
    pub group: Group,
    pub free: Free,
    pub images: Vec<ImageIdx>,
}

type ByFree = BTreeSet<(Reverse<Free>, MachineIdx)>;

#[derive(Debug, Default)]
pub(super) struct FreeCapacityIndex {
    groups: BTreeMap<Group, ByFree>,
    with_image: HashMap<(Group, ImageIdx), ByFree>,
    places: HashMap<MachineIdx, CapacityEntry>,
}

impl FreeCapacityIndex {
    /// Puts a machine where it belongs now.
    pub fn set(&mut self, m: MachineIdx, to: Option<CapacityEntry>) {
        if self.places.get(&m) == to.as_ref() {
            return;
        }
        if let Some(p) = self.places.remove(&m) {
            let at = (Reverse(p.free), m);
            if let Some(g) = self.groups.get_mut(&p.group) {
                g.remove(&at);
            }
            for image in p.images {
                if let Entry::Occupied(mut e) = self.with_image.entry((p.group, image)) {
                    e.get_mut().remove(&at);
                    if e.get().is_empty() {
                        e.remove();
                    }
                }
            }
        }
        if let Some(p) = to {
            let at = (Reverse(p.free), m);
            self.groups.entry(p.group).or_default().insert(at);
            for &image in &p.images {
                self.with_image.entry((p.group, image)).or_default().insert(at);
            }
            self.places.insert(m, p);
        }
    }

    pub fn groups(&self) -> impl Iterator<Item = Group> + '_ {
        self.groups.keys().copied()
    }

    /// The machines of a group with at least so many free processors, the most first.
    pub fn with_free(&self, g: Group, least: Free) -> impl Iterator<Item = MachineIdx> + '_ {
        from_most(self.groups.get(&g), least)
    }

    /// Of those, the ones that have the image.
    pub fn with_image(
        &self,
        g: Group,
        image: ImageIdx,
        least: Free,
    ) -> impl Iterator<Item = MachineIdx> + '_ {
        from_most(self.with_image.get(&(g, image)), least)
    }

    pub fn place(&self, m: MachineIdx) -> Option<&CapacityEntry> {
        self.places.get(&m)
    }
}

fn from_most(list: Option<&ByFree>, least: Free) -> impl Iterator<Item = MachineIdx> + '_ {
    list.into_iter().flatten().take_while(move |(free, _)| free.0 >= least).map(|x| x.1)
}

#[cfg(test)]
mod tests;
