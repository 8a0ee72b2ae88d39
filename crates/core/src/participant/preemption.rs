//! Preemption: stops tasks of lower priority to free capacity for a job, or reserves machines for a job
//! until enough tasks on them have ended by themselves.
use super::capacity_index::MachineGroup;
use super::eligibility::EligibilityTable;
use super::free_resources::GpuMachineAccess;
use super::gang_queue::GangQueue;
use super::queue_rank::QueueRank;
use super::reservations::Reservation;
use super::Participant;
use crate::context::Context;
use crate::ids::{JobId, MachineIdx, Timestamp};
use crate::machine::{AttemptKey, GpuTasks, Machine, StopRequest, TaskOnMachine};
use crate::names::{Resources, Shape};
use crate::preemption::{choose_victims, Candidate};
use leaddeal_wire::mesh::{OfferRequest, TaskPhase};
use leaddeal_wire::user::JobKind;
use leaddeal_wire::worker::TaskState;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Lowest loss of a plan that stops no task and only reserves the machine until enough tasks on it have
/// ended by themselves. It is high, so that plans which stop tasks are chosen first.
const MIN_WAITING_LOSS: u64 = 1 << 50;
/// Time in ms for which a reservation lasts, in addition to the time that the stopped tasks get to save
/// their progress.
const RESERVATION_MS: u64 = 3000;
/// Maximum number of reservations made for a job in one search.
const MAX_NEW_RESERVATIONS: u32 = 32;
/// Time in seconds that a stopped task gets in addition to the time that it needs to save its progress.
const SAVE_GRACE_S: f64 = 2.0;
/// Loss of a thousandth of a GPU relative to that of a thousandth of a processor.
const GPU_LOSS_FACTOR: u64 = 20;
/// Loss of fetching an image, for each second and thousandth of a processor.
const FETCH_LOSS_FACTOR: f64 = 3.0;
/// A job number that no job has, so that the reservations of all jobs count as another job's.
const NO_JOB: JobId = JobId(u64::MAX);

/// The job for which tasks are preempted, and where.
pub(super) struct PreemptionSearch<'a> {
    /// Request of the job's coordinator.
    pub request: &'a OfferRequest,
    /// Resources and image of each task of the job.
    pub shape: &'a Shape,
    /// Types of machines that the job may use.
    pub eligibility: &'a EligibilityTable,
    /// Rank of the job in the gang queue; `None` if it is not in the queue.
    pub rank: Option<QueueRank>,
    /// Maximum number of tasks to place in each zone, indexed by zone.
    pub max_per_zone: &'a [u32],
    /// Whether machines with GPUs are searched too.
    pub includes_gpu_machines: bool,
}

impl PreemptionSearch<'_> {
    fn job(&self) -> JobId {
        JobId(self.request.job)
    }

    /// Returns whether the job is a gang of several tasks that is not the first in the queue for machines
    /// of the group. Among such gangs, only the first one gets reservations: when each has some of the
    /// machines, none can start.
    fn is_behind(&self, queue: &GangQueue, group: MachineGroup) -> bool {
        let waits_for_zone = self.request.queue_position.is_some_and(|p| p.zone.is_some());
        waits_for_zone && self.rank.is_some_and(|rank| queue.has_gang_ahead(rank, group))
    }

    fn is_zone_open(&self, group: MachineGroup) -> bool {
        self.max_per_zone.get(group.zone.0 as usize).is_some_and(|&limit| limit > 0)
    }

    /// Returns whether machines are reserved for the job until tasks end by themselves, if none can be
    /// stopped for it.
    fn can_wait(&self) -> bool {
        self.shape.wire.kind == JobKind::Gang || self.request.shape.gpu > 0
    }
}

/// Whether a search found a machine to reserve for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PreemptionOutcome {
    /// A machine could be reserved, or no reservation was needed.
    Possible,
    /// No machine could be reserved.
    NoMachine,
}

/// Cost of reserving a machine; the smallest is chosen first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionCost {
    /// Work lost, in thousandths of processor-seconds with GPUs weighted; from `MIN_WAITING_LOSS` on, no
    /// task is stopped.
    loss: u64,
    /// Whether the machine does not have the job's image.
    fetches_image: bool,
}

/// A way to reserve a machine for a task; the smallest is chosen first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionPlan {
    cost: PreemptionCost,
    machine: MachineIdx,
    group: MachineGroup,
    /// Attempts to stop.
    victims: Vec<AttemptKey>,
}

impl Participant {
    /// Reserves machines until the job has up to `count` reservations, and stops tasks of lower priority
    /// there as planned.
    pub(super) fn preempt(
        &mut self,
        ctx: &mut Context,
        search: &PreemptionSearch,
        count: u32,
    ) -> PreemptionOutcome {
        self.extend_reservations(search, ctx.now);
        let reserved = self.reservations.count(search.job());
        let wanted = count.min(reserved + MAX_NEW_RESERVATIONS).saturating_sub(reserved);
        if wanted == 0 {
            return PreemptionOutcome::Possible;
        }
        // Carrying out a plan changes only the plan's machine, so every machine is evaluated once, and
        // again only after it was chosen.
        let mut plans = self.preemption_plans(ctx, search);
        if plans.is_empty() {
            return PreemptionOutcome::NoMachine;
        }
        for _ in 0..wanted {
            let Some(Reverse(plan)) = plans.pop() else { break };
            self.execute_plan(search, &plan, ctx.now);
            plans.extend(self.preemption_plan(ctx, search, plan.group, plan.machine).map(Reverse));
        }
        PreemptionOutcome::Possible
    }

    /// Extends the job's waiting reservations on machines that it can still use.
    fn extend_reservations(&mut self, search: &PreemptionSearch, now: Timestamp) {
        let (machines, queue) = (&self.machines, &self.gang_queue);
        let may_extend = |idx: MachineIdx| {
            let machine = machines.get(&idx);
            let machine = machine.filter(|m| !m.lease_expired && m.interruption_at.is_none());
            let group = machine.and_then(MachineGroup::of);
            // The reservations of a gang that is no longer first in the queue are left to expire.
            group.is_some_and(|group| search.is_zone_open(group) && !search.is_behind(queue, group))
        };
        let until = now + RESERVATION_MS;
        self.reservations.extend_waiting(search.job(), search.rank, until, may_extend);
    }

    /// Returns a plan for each machine that could be reserved for a task of the job.
    fn preemption_plans(
        &self,
        ctx: &mut Context,
        search: &PreemptionSearch,
    ) -> BinaryHeap<Reverse<PreemptionPlan>> {
        let mut plans = BinaryHeap::new();
        for group in self.capacity_index.groups() {
            if !self.can_preempt_in(ctx, search, group) {
                continue;
            }
            for idx in self.capacity_index.with_free_cpu(group, 0) {
                ctx.effects.machines_evaluated += 1;
                plans.extend(self.preemption_plan(ctx, search, group, idx).map(Reverse));
            }
        }
        plans
    }

    /// Stops the plan's victims and reserves capacity for one task of the job on the machine.
    fn execute_plan(&mut self, search: &PreemptionSearch, plan: &PreemptionPlan, now: Timestamp) {
        let Some(machine) = self.machines.get_mut(&plan.machine) else { return };
        let mut expires_at = now + RESERVATION_MS;
        for key in &plan.victims {
            let Some(task) = machine.tasks.get_mut(key) else { continue };
            let grace_s = grace_s(task);
            expires_at = expires_at.max(now + RESERVATION_MS + (grace_s * 1000.0) as u64);
            task.stop = Some(StopRequest { grace_s, since: now });
        }
        machine.update_load();
        let reservation = Reservation {
            job: search.job(),
            need: search.shape.need,
            expires_at,
            is_waiting: plan.cost.loss >= MIN_WAITING_LOSS,
            rank: search.rank,
        };
        self.reservations.add(plan.machine, reservation);
        self.changed_machines.insert(plan.machine);
    }

    /// Returns whether machines of this group may be reserved for the job.
    fn can_preempt_in(
        &self,
        ctx: &Context,
        search: &PreemptionSearch,
        group: MachineGroup,
    ) -> bool {
        let has_gpus = ctx.names.resources_of_type(group.machine_type).gpu > 0;
        search.eligibility.allows(group)
            && search.is_zone_open(group)
            && (search.includes_gpu_machines || !has_gpus)
            && !search.is_behind(&self.gang_queue, group)
    }

    /// Returns how a machine of the group could be reserved for a task of the job; `None` if it cannot.
    fn preemption_plan(
        &self,
        ctx: &Context,
        search: &PreemptionSearch,
        group: MachineGroup,
        idx: MachineIdx,
    ) -> Option<PreemptionPlan> {
        let machine = self.machines.get(&idx)?;
        let (need, job, rank) = (search.shape.need, search.job(), search.rank);
        // A machine that has enough free but was not offered to the job is kept for other work, so the
        // job must not reserve it. Otherwise arrays that get no capacity on machines kept for gangs
        // reserve the same machines again and again (100 to 300 reservations in a zone), and the gangs
        // cannot use them either.
        if self.free(idx, machine, ctx.names, job, rank)?.fit_count(need) > 0 {
            return None;
        }
        // The resources of tasks that are already being stopped will be free soon.
        let free_soon =
            self.free_after(machine.stopping(), idx, machine, ctx.names, NO_JOB, rank)?;
        let suffices = stopping_may_suffice(machine, search, free_soon);
        let total = ctx.names.resources_of_type(group.machine_type);
        if (!suffices && !search.can_wait())
            || !self.can_reserve(ctx, search, idx, machine)
            || !self.leaves_gpu_capacity(search, idx, machine, total)
        {
            return None;
        }
        let candidates = if suffices { candidates(machine, need, ctx.now) } else { Vec::new() };
        let priority = search.shape.wire.priority;
        let (victims, loss) = match choose_victims(free_soon, need, priority, candidates) {
            Some(found) => found,
            None => (Vec::new(), self.waiting_loss(search, idx, machine, total, free_soon)?),
        };
        let fetches_image = !machine.has_image(search.shape.image);
        let fetch_loss = if fetches_image { fetch_loss(ctx, search, group) } else { 0 };
        let cost = PreemptionCost { loss: loss + fetch_loss, fetches_image };
        Some(PreemptionPlan { cost, machine: idx, group, victims })
    }

    /// Returns whether the job may use the machine, and no other job has a waiting reservation on it that
    /// blocks this one: that job would lose the capacity that it waits for.
    fn can_reserve(
        &self,
        ctx: &Context,
        search: &PreemptionSearch,
        idx: MachineIdx,
        machine: &Machine,
    ) -> bool {
        let mut reservations = self.reservations.on(idx).iter();
        self.is_eligible(ctx, idx, machine, search.request, search.eligibility)
            && !reservations
                .any(|other| other.is_waiting && other.blocks(search.job(), search.rank))
    }

    /// Returns whether a task of the job, if it is a service, leaves enough of a GPU machine for GPU work.
    fn leaves_gpu_capacity(
        &self,
        search: &PreemptionSearch,
        idx: MachineIdx,
        machine: &Machine,
        total: Resources,
    ) -> bool {
        let need = search.shape.need;
        if need.gpu > 0 || total.gpu == 0 || search.shape.wire.kind != JobKind::Service {
            return true;
        }
        let long_term_free = self.long_term_free(idx, machine, total);
        let access = GpuMachineAccess::of(search.request);
        self.spare_for_service(long_term_free, access).fit_count(need) > 0
    }

    /// Returns the loss of reserving a machine without stopping any task. The tasks on the machine will
    /// end by themselves, and the reservation keeps the capacity from being given to other work in small
    /// parts as it is freed. Returns `None` if the job does not wait for tasks to end, or if even then
    /// there would not be enough.
    fn waiting_loss(
        &self,
        search: &PreemptionSearch,
        idx: MachineIdx,
        machine: &Machine,
        total: Resources,
        free_soon: Resources,
    ) -> Option<u64> {
        if !search.can_wait() {
            return None;
        }
        let mut free_later = self.long_term_free(idx, machine, total);
        let reservations = self.reservations.on(idx).iter();
        for other in reservations.filter(|other| other.blocks(NO_JOB, search.rank)) {
            free_later.sub(other.need, 1);
        }
        let busy_cpu = total.cpu.saturating_sub(free_soon.cpu);
        (free_later.fit_count(search.shape.need) > 0).then_some(MIN_WAITING_LOSS + busy_cpu)
    }
}

/// Returns whether stopping all tasks of lower priority could free enough. This check uses the machine's
/// sums only, and rules out most machines before their tasks are examined.
fn stopping_may_suffice(
    machine: &Machine,
    search: &PreemptionSearch,
    free_soon: Resources,
) -> bool {
    let need = search.shape.need;
    let gpu_tasks = if need.gpu > 0 { GpuTasks::Included } else { GpuTasks::Excluded };
    let mut reach = free_soon;
    reach.add(machine.preemptible(search.shape.wire.priority, gpu_tasks), 1);
    reach.fit_count(need) > 0
}

/// Returns the tasks on a machine that could be stopped for work with this need, whatever their priority.
fn candidates(machine: &Machine, need: Resources, now: Timestamp) -> Vec<Candidate<AttemptKey>> {
    let mut candidates = Vec::new();
    let tasks = machine.tasks.iter();
    for (key, task) in tasks.filter(|(_, task)| !task.is_over() && task.stop.is_none()) {
        let Some(shape) = &task.shape else { continue };
        // Work without GPUs neither stops GPU work nor takes over its capacity.
        if need.gpu == 0 && shape.need.gpu > 0 {
            continue;
        }
        candidates.push(Candidate {
            key: *key,
            priority: shape.wire.priority,
            need: shape.need,
            loss: stop_loss(task, shape, now),
        });
    }
    candidates
}

/// Returns the work lost by stopping a task, in thousandths of processor-seconds with GPUs weighted. A
/// task that can save its progress loses no more than the time that saving takes, rounded up.
fn stop_loss(task: &TaskOnMachine, shape: &Shape, now: Timestamp) -> u64 {
    let ran_s = task.running_since.map_or(0, |since| now.saturating_sub(since)) / 1000;
    let lost_s =
        if shape.wire.checkpoint_s > 0.0 { ran_s.min(shape.wire.save_s as u64 + 1) } else { ran_s };
    lost_s * (shape.need.cpu + GPU_LOSS_FACTOR * shape.need.gpu)
}

/// Returns the loss of the time in which a machine of the group fetches the job's image.
fn fetch_loss(ctx: &Context, search: &PreemptionSearch, group: MachineGroup) -> u64 {
    let fetch_s = ctx.names.image_fetch_s(group.machine_type, search.request.shape.image_gb);
    (fetch_s * FETCH_LOSS_FACTOR) as u64 * search.shape.need.cpu
}

/// Returns the time in seconds that a victim gets to save its progress; 0 if it has none to save.
fn grace_s(task: &TaskOnMachine) -> f64 {
    let saves = task.shape.as_ref().filter(|shape| shape.wire.checkpoint_s > 0.0);
    match (saves, task.phase) {
        (Some(shape), TaskPhase::On(TaskState::Running)) => shape.wire.save_s + SAVE_GRACE_S,
        _ => 0.0,
    }
}
