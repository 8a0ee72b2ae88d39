//! Capacity that is kept for open negotiations.
use crate::ids::{JobId, MachineIdx, NegotiationId, Shard};
use crate::names::Resources;
use std::collections::{BTreeMap, BTreeSet};

/// Capacity of a machine that was offered to a coordinator, and that it has not decided on yet.
#[derive(Clone, Debug)]
pub(super) struct Hold {
    /// The coordinator's shard.
    pub shard: Shard,
    /// The negotiation that it ends with.
    pub negotiation: NegotiationId,
    /// The job that it was offered to.
    pub job: JobId,
    /// What one task takes.
    pub need: Resources,
    /// How many tasks it is for.
    pub count: u64,
    /// For a service or GPU work, which runs for a long time.
    pub lasting: bool,
}

impl Hold {
    /// Whether it ends with this negotiation.
    pub fn belongs_to(&self, shard: Shard, negotiation: NegotiationId) -> bool {
        self.shard == shard && self.negotiation.0 == negotiation.0
    }
}

/// The holds of a participant, by machine. Invariant: no list is empty.
#[derive(Debug, Default)]
pub(super) struct Holds {
    by_machine: BTreeMap<MachineIdx, Vec<Hold>>,
}

impl Holds {
    /// The holds on a machine.
    pub fn on(&self, machine: MachineIdx) -> &[Hold] {
        self.by_machine.get(&machine).map_or(&[], Vec::as_slice)
    }

    /// Whether anything is held on a machine.
    pub fn any_on(&self, machine: MachineIdx) -> bool {
        self.by_machine.contains_key(&machine)
    }

    /// Adds a hold.
    pub fn add(&mut self, machine: MachineIdx, hold: Hold) {
        self.by_machine.entry(machine).or_default().push(hold);
    }

    /// A task of the job was placed on the machine: it no longer needs a hold.
    pub fn use_one(&mut self, machine: MachineIdx, shard: Shard, job: JobId) {
        let mut holds = self.by_machine.get_mut(&machine).into_iter().flatten();
        let usable = |hold: &&mut Hold| hold.shard == shard && hold.job == job && hold.count > 0;
        if let Some(hold) = holds.find(usable) {
            hold.count -= 1;
        }
    }

    /// Ends the holds that `is_over` is true of.
    pub fn release(&mut self, is_over: impl Fn(&Hold) -> bool) {
        self.by_machine.retain(|_, holds| {
            holds.retain(|hold| !is_over(hold));
            !holds.is_empty()
        });
    }

    /// The negotiations that holds wait for, by coordinator's shard.
    pub fn open_negotiations(&self) -> Vec<(Shard, NegotiationId)> {
        let holds = self.by_machine.values().flatten();
        let open: BTreeSet<(u8, u64)> =
            holds.map(|hold| (hold.shard.0, hold.negotiation.0)).collect();
        open.into_iter().map(|(shard, number)| (Shard(shard), NegotiationId(number))).collect()
    }
}
