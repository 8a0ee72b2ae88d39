//! Moves replicas of services away from GPU machines that gangs wait for. The replicas were placed there
//! when there was no other capacity, and would otherwise stay for good.
use super::eligibility::EligibilityTable;
use super::free_resources::GpuMachine;
use super::preemption::PreemptionSearch;
use super::Participant;
use crate::context::Context;
use crate::ids::{MachineIdx, Timestamp, ZoneIdx};
use crate::io::LogLevel;
use crate::machine::{AttemptKey, StopRequest, TaskOnMachine};
use crate::names::Shape;
use leaddeal_wire::mesh::{OfferRequest, TaskPhase};
use leaddeal_wire::user::{JobKind, Priority};
use leaddeal_wire::worker::TaskState;

/// Minimum time in ms between two moves.
const MOVE_INTERVAL_MS: u64 = 1500;
/// Minimum time in ms that a replica has run before it is moved.
const MIN_RUN_BEFORE_MOVE_MS: u64 = 40_000;

/// A replica that keeps a gang from using a machine.
struct BlockingReplica {
    /// Number of replicas on the machine.
    replicas: usize,
    machine: MachineIdx,
    zone: ZoneIdx,
    key: AttemptKey,
    shape: Shape,
}

fn is_replica(task: &TaskOnMachine) -> bool {
    let shape = task.shape.as_ref();
    !task.is_over() && shape.is_some_and(|shape| shape.wire.kind == JobKind::Service)
}

/// Returns whether the task is running, has run for long enough to be moved, and is not being stopped.
fn is_movable(task: &TaskOnMachine, now: Timestamp) -> bool {
    task.stop.is_none()
        && task.phase == TaskPhase::On(TaskState::Running)
        && task.running_since.is_some_and(|since| now > since + MIN_RUN_BEFORE_MOVE_MS)
}

/// Returns the first replica on the machine that can be moved.
fn movable_replica(gpu_machine: &GpuMachine, now: Timestamp) -> Option<BlockingReplica> {
    let tasks = &gpu_machine.machine.tasks;
    let (key, task) = tasks.iter().find(|(_, task)| is_replica(task) && is_movable(task, now))?;
    Some(BlockingReplica {
        replicas: tasks.values().filter(|task| is_replica(task)).count(),
        machine: gpu_machine.idx,
        zone: gpu_machine.group.zone,
        key: *key,
        shape: task.shape.clone()?,
    })
}

impl Participant {
    /// Moves one replica from a machine that a gang waits for to another machine: reserves capacity for it
    /// there, then stops it. Does nothing if there is no such replica or no capacity elsewhere.
    pub(super) fn move_replicas(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        if now < self.next_move_at || !ctx.lease_valid || self.gang_queue.is_empty() {
            return;
        }
        self.next_move_at = now + MOVE_INTERVAL_MS;
        self.reservations.expire(now);
        self.reindex(ctx.names);
        self.gang_queue.refresh(now, self.capacity_index.groups());
        let Some(replica) = self.blocking_replica(ctx) else { return };
        if !self.reserve_elsewhere(ctx, &replica) {
            return;
        }
        let BlockingReplica { key, machine: idx, .. } = replica;
        ctx.effects.log(LogLevel::Debug, "replica_moved", || {
            format!("{} task {} from {}", key.job.0, key.task, idx.0)
        });
        if let Some(machine) = self.machines.get_mut(&idx) {
            if let Some(task) = machine.tasks.get_mut(&key) {
                task.stop = Some(StopRequest { grace_s: 0.0, since: now });
            }
            machine.update_load();
            self.changed_machines.insert(idx);
        }
    }

    /// Returns a replica that keeps a waiting gang from using a machine; among several, one on the machine
    /// with the fewest replicas.
    fn blocking_replica(&self, ctx: &Context) -> Option<BlockingReplica> {
        let mut best: Option<BlockingReplica> = None;
        for gpu_machine in self.gpu_machines(ctx.names) {
            if !self.replicas_block_gang(&gpu_machine) {
                continue;
            }
            let Some(found) = movable_replica(&gpu_machine, ctx.now) else { continue };
            let rank = |replica: &BlockingReplica| (replica.replicas, replica.machine);
            if best.as_ref().is_none_or(|best| rank(&found) < rank(best)) {
                best = Some(found);
            }
        }
        best
    }

    /// Returns whether a task of a waiting gang would fit on the machine, once the other tasks have ended,
    /// if the replicas were not on it.
    fn replicas_block_gang(&self, gpu_machine: &GpuMachine) -> bool {
        let with_replicas = gpu_machine.long_term_free;
        let mut without_replicas = with_replicas;
        let replicas = gpu_machine.machine.tasks.values().filter(|task| is_replica(task));
        for shape in replicas.filter_map(|task| task.shape.as_ref()) {
            without_replicas.add(shape.need, 1);
        }
        let mut needs = self.gang_queue.needs(gpu_machine.group, Priority::Low);
        needs.any(|need| with_replicas.fit_count(need) == 0 && without_replicas.fit_count(need) > 0)
    }

    /// Reserves capacity for the replica on a machine without GPUs in the same zone. Returns false if no
    /// such capacity was found.
    fn reserve_elsewhere(&mut self, ctx: &mut Context, replica: &BlockingReplica) -> bool {
        let job = replica.key.job;
        let mut max_per_zone = vec![0; ctx.names.zones.len()];
        max_per_zone[replica.zone.0 as usize] = 1;
        let request = OfferRequest {
            job: job.0,
            shape: replica.shape.wire.clone(),
            count: 1,
            max_per_zone,
            preempt: true,
            urgent: false,
            may_use_gpu_machines: false,
            queue_position: None,
        };
        let reserved_before = self.reservations.count(job);
        let search = PreemptionSearch {
            request: &request,
            shape: &replica.shape,
            eligibility: &EligibilityTable::of(ctx.names, &request),
            rank: None,
            max_per_zone: &request.max_per_zone,
            includes_gpu_machines: false,
        };
        self.preempt(ctx, &search, reserved_before + 1);
        self.reservations.count(job) != reserved_before
    }
}
