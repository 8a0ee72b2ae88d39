//! What is free on a machine for a job: now, soon, or once all that ends by itself has ended.
use super::capacity_index::MachineGroup;
use super::queue_rank::QueueRank;
use super::Participant;
use crate::ids::{JobId, MachineIdx};
use crate::machine::Machine;
use crate::names::{Names, Resources};
use leaddeal_wire::mesh::OfferRequest;

/// What a service may use of machines with GPUs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GpuMachineAccess {
    /// Whatever is free.
    Unlimited,
    /// What GPU work asked for recently cannot use; all, if there was none.
    BesideGpuWork,
    /// The same; nothing, if there was none.
    BesideKnownGpuWork,
}

impl GpuMachineAccess {
    /// What the request says of it.
    pub fn of(request: &OfferRequest) -> GpuMachineAccess {
        match (request.may_use_gpu_machines, request.urgent) {
            (true, _) => GpuMachineAccess::Unlimited,
            (false, true) => GpuMachineAccess::BesideGpuWork,
            (false, false) => GpuMachineAccess::BesideKnownGpuWork,
        }
    }
}

/// A machine with GPUs.
pub(super) struct GpuMachine<'a> {
    /// Its index.
    pub idx: MachineIdx,
    /// What is known of it.
    pub machine: &'a Machine,
    /// Its group.
    pub group: MachineGroup,
    /// What services and GPU work leave of it.
    pub lasting_free: Resources,
}

impl Participant {
    /// What is free on a machine for a job now. None: it has a task of unknown shape, or its type is
    /// not known.
    pub(super) fn free(
        &self,
        idx: MachineIdx,
        machine: &Machine,
        names: &Names,
        job: JobId,
        rank: Option<QueueRank>,
    ) -> Option<Resources> {
        self.free_with(Resources::default(), idx, machine, names, job, rank)
    }

    /// The same, once `freed` of what is used has become free. Holds and reservations count against
    /// that as well. (Found by comparing traces: taken off before it was added, they stopped at
    /// nothing, and the capacity of one stopped task was reserved over and over.)
    pub(super) fn free_with(
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

    /// What services and GPU work, which run for a long time, leave of a machine that has `whole`.
    pub(super) fn lasting_free(
        &self,
        idx: MachineIdx,
        machine: &Machine,
        whole: Resources,
    ) -> Resources {
        let mut free = whole;
        free.sub(machine.long_running(), 1);
        for hold in self.holds.on(idx).iter().filter(|hold| hold.lasting) {
            free.sub(hold.need, hold.count);
        }
        free
    }

    /// The machines with GPUs.
    pub(super) fn gpu_machines<'a>(
        &'a self,
        names: &'a Names,
    ) -> impl Iterator<Item = GpuMachine<'a>> {
        let has_gpus = |group: &MachineGroup| names.resources_of_type(group.machine_type).gpu > 0;
        self.capacity_index.groups().filter(has_gpus).flat_map(move |group| {
            let whole = names.resources_of_type(group.machine_type);
            self.capacity_index.with_free(group, 0).filter_map(move |idx| {
                let machine = self.machines.get(&idx)?;
                let lasting_free = self.lasting_free(idx, machine, whole);
                Some(GpuMachine { idx, machine, group, lasting_free })
            })
        })
    }

    /// What a service may use of a GPU machine that has this `lasting_free`: a service runs for a
    /// long time, and leaves enough for the GPU work that is known. (Judged by what is free just
    /// now, a machine full of short tasks looked lost to GPU work anyway, and services filled it for
    /// good.)
    pub(super) fn spare_for_service(
        &self,
        lasting_free: Resources,
        access: GpuMachineAccess,
    ) -> Resources {
        match access {
            GpuMachineAccess::Unlimited => return lasting_free,
            // Which GPU work there will be may not be known yet.
            GpuMachineAccess::BesideKnownGpuWork if self.gpu_demand.is_empty() => {
                return Resources::default();
            }
            GpuMachineAccess::BesideKnownGpuWork | GpuMachineAccess::BesideGpuWork => {}
        }
        let mut spare = lasting_free;
        for need in self.gpu_demand.needs() {
            let mut remainder = lasting_free;
            remainder.sub(need, lasting_free.fit_count(need));
            spare.cpu = spare.cpu.min(remainder.cpu);
            spare.mem = spare.mem.min(remainder.mem);
        }
        spare
    }
}

#[cfg(test)]
mod tests;
