//! Free resources of a machine, as seen by a job: now, after stops that are in progress, or after all
//! tasks that end by themselves have ended.
use super::capacity_index::MachineGroup;
use super::queue_rank::QueueRank;
use super::Participant;
use crate::ids::{JobId, MachineIdx};
use crate::machine::Machine;
use crate::names::{Names, Resources};
use leaddeal_wire::mesh::OfferRequest;

/// How much of the machines with GPUs a service may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GpuMachineAccess {
    /// All free resources.
    Unlimited,
    /// The free resources that recently requested GPU work cannot use; all if none was requested.
    BesideGpuWork,
    /// The same, but nothing if no GPU work was requested.
    BesideKnownGpuWork,
}

impl GpuMachineAccess {
    /// Returns the access that a request permits.
    pub fn of(request: &OfferRequest) -> GpuMachineAccess {
        match (request.may_use_gpu_machines, request.urgent) {
            (true, _) => GpuMachineAccess::Unlimited,
            (false, true) => GpuMachineAccess::BesideGpuWork,
            (false, false) => GpuMachineAccess::BesideKnownGpuWork,
        }
    }
}

/// A machine with GPUs, for iteration.
pub(super) struct GpuMachine<'a> {
    /// Index of the machine.
    pub idx: MachineIdx,
    /// State of the machine.
    pub machine: &'a Machine,
    /// Group of the machine.
    pub group: MachineGroup,
    /// Resources that are not used by services or GPU work, as `Participant::long_term_free` returns.
    pub long_term_free: Resources,
}

impl Participant {
    /// Returns the resources of a machine that are free now for a job of this rank. Returns `None` if a
    /// task of unknown shape is on the machine or its type is not known.
    pub(super) fn free(
        &self,
        idx: MachineIdx,
        machine: &Machine,
        names: &Names,
        job: JobId,
        rank: Option<QueueRank>,
    ) -> Option<Resources> {
        self.free_after(Resources::default(), idx, machine, names, job, rank)
    }

    /// Returns the same as `free`, counting `freed` of the used resources as free too. Holds and
    /// reservations are subtracted after `freed` is added: subtraction stops at 0, so in the other order
    /// they would not count against `freed`, and the capacity of one stopped task would be reserved
    /// repeatedly.
    pub(super) fn free_after(
        &self,
        freed: Resources,
        idx: MachineIdx,
        machine: &Machine,
        names: &Names,
        job: JobId,
        rank: Option<QueueRank>,
    ) -> Option<Resources> {
        let mut free = names.resources_of_type(machine.machine_type?);
        free.sub(machine.used()?, 1);
        free.add(freed, 1);
        for hold in self.holds.on(idx) {
            free.sub(hold.need, hold.count);
        }
        let reservations = self.reservations.on(idx).iter();
        for reservation in reservations.filter(|reservation| reservation.blocks(job, rank)) {
            free.sub(reservation.need, 1);
        }
        Some(free)
    }

    /// Returns the part of a machine's total resources, `total`, that is not used by services or GPU
    /// work, which run for a long time.
    pub(super) fn long_term_free(
        &self,
        idx: MachineIdx,
        machine: &Machine,
        total: Resources,
    ) -> Resources {
        let mut free = total;
        free.sub(machine.long_running(), 1);
        for hold in self.holds.on(idx).iter().filter(|hold| hold.is_long_running) {
            free.sub(hold.need, hold.count);
        }
        free
    }

    /// Returns the machines with GPUs.
    pub(super) fn gpu_machines<'a>(
        &'a self,
        names: &'a Names,
    ) -> impl Iterator<Item = GpuMachine<'a>> {
        let has_gpus = |group: &MachineGroup| names.resources_of_type(group.machine_type).gpu > 0;
        self.capacity_index.groups().filter(has_gpus).flat_map(move |group| {
            let total = names.resources_of_type(group.machine_type);
            self.capacity_index.with_free_cpu(group, 0).filter_map(move |idx| {
                let machine = self.machines.get(&idx)?;
                let long_term_free = self.long_term_free(idx, machine, total);
                Some(GpuMachine { idx, machine, group, long_term_free })
            })
        })
    }

    /// Returns the resources that a service may use of a GPU machine with this `long_term_free`. A service
    /// runs for a long time, so it has to leave enough for the GPU work that is known. This cannot be
    /// judged by what is free now: a machine full of short tasks then seems unusable for GPU work
    /// anyway, and services fill it for good.
    pub(super) fn spare_for_service(
        &self,
        long_term_free: Resources,
        access: GpuMachineAccess,
    ) -> Resources {
        match access {
            GpuMachineAccess::Unlimited => return long_term_free,
            // The GPU work to leave capacity for may not have been requested yet.
            GpuMachineAccess::BesideKnownGpuWork if self.gpu_demand.is_empty() => {
                return Resources::default();
            }
            GpuMachineAccess::BesideKnownGpuWork | GpuMachineAccess::BesideGpuWork => {}
        }
        let mut spare = long_term_free;
        for need in self.gpu_demand.needs() {
            let mut remainder = long_term_free;
            remainder.sub(need, long_term_free.fit_count(need));
            spare.cpu = spare.cpu.min(remainder.cpu);
            spare.mem = spare.mem.min(remainder.mem);
        }
        spare
    }
}

#[cfg(test)]
mod tests;
