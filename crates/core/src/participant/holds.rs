//! Holds: capacity of machines that is kept for open negotiations.
use crate::ids::{JobId, MachineIdx, NegotiationId, Shard};
use crate::names::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// Capacity of a machine that was offered to a coordinator which has not decided on the offer yet.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    /// Shard of the coordinator.
    pub coordinator: Shard,
    /// Negotiation with whose end the hold ends.
    pub negotiation: NegotiationId,
    /// Job for which the capacity was offered.
    pub job: JobId,
    /// Resources of one task.
    pub need: Resources,
    /// Number of tasks that the hold still covers.
    pub count: u64,
    /// Whether the tasks run for a long time: those of a service, or with GPUs.
    pub is_long_running: bool,
}

impl Hold {
    /// Returns whether the hold is part of this negotiation of this coordinator's shard.
    pub fn belongs_to(&self, coordinator: Shard, negotiation: NegotiationId) -> bool {
        self.coordinator == coordinator && self.negotiation.0 == negotiation.0
    }
}

/// The holds of a participant, by machine. Invariant: no list in `by_machine` is empty.
#[derive(Debug, Default)]
pub(super) struct Holds {
    by_machine: BTreeMap<MachineIdx, Vec<Hold>>,
}

impl Holds {
    /// Returns the holds on a machine.
    pub fn on(&self, machine: MachineIdx) -> &[Hold] {
        self.by_machine.get(&machine).map_or(&[], Vec::as_slice)
    }

    /// Returns whether there is any hold on a machine.
    pub fn has_any_on(&self, machine: MachineIdx) -> bool {
        self.by_machine.contains_key(&machine)
    }

    pub fn add(&mut self, machine: MachineIdx, hold: Hold) {
        self.by_machine.entry(machine).or_default().push(hold);
    }

    /// Reduces the coordinator's hold for the job on a machine by the one task that was placed there. Does
    /// nothing if there is no such hold.
    pub fn consume_one(&mut self, machine: MachineIdx, coordinator: Shard, job: JobId) {
        let mut holds = self.by_machine.get_mut(&machine).into_iter().flatten();
        let usable =
            |hold: &&mut Hold| hold.coordinator == coordinator && hold.job == job && hold.count > 0;
        if let Some(hold) = holds.find(usable) {
            hold.count -= 1;
        }
    }

    /// Removes the holds for which `is_over` returns true.
    pub fn release(&mut self, is_over: impl Fn(&Hold) -> bool) {
        self.by_machine.retain(|_, holds| {
            holds.retain(|hold| !is_over(hold));
            !holds.is_empty()
        });
    }

    /// Returns the negotiations that have holds, ordered by the coordinator's shard and then by number.
    pub fn open_negotiations(&self) -> Vec<(Shard, NegotiationId)> {
        let holds = self.by_machine.values().flatten();
        let open: BTreeSet<(u8, u64)> =
            holds.map(|hold| (hold.coordinator.0, hold.negotiation.0)).collect();
        open.into_iter().map(|(shard, number)| (Shard(shard), NegotiationId(number))).collect()
    }
}
