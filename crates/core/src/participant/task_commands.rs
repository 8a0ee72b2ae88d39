//! Commands of coordinators for single attempts: placing, stopping, and acknowledging their ends.
use super::Participant;
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::horizon::Horizons;
use crate::ids::{Attempt, Epoch, JobId, MachineIdx, Shard, Timestamp};
use crate::machine::{AttemptKey, Machine, StopRequest, TaskOnMachine};
use crate::names::Shape;
use leaddeal_wire::mesh::{Assignment, AttemptRef, TaskPhase};
use std::collections::BTreeSet;

/// What the assignments of one `Place` message have in common.
#[derive(Debug)]
pub(super) struct PlaceCommand {
    /// Shard of the coordinator that placed the tasks.
    pub from: Shard,
    /// The coordinator's epoch.
    pub epoch: Epoch,
    /// Job that the tasks belong to.
    pub job: JobId,
    /// Resources and image of each task.
    pub shape: Shape,
    /// Whether the tasks were placed by a previous coordinator and are now taken over by its
    /// successor, as opposed to placed for the first time.
    pub adopt: bool,
}

/// Returns whether the machine's worker has confirmed this owner's fencing token, so that it no longer
/// obeys commands of previous owners.
fn is_fenced(machine: &Machine) -> bool {
    machine.token_confirmed || !is_enforced(Guard::AbsenceNeedsConfirmedToken)
}

impl Participant {
    /// Places a task, and stops it at once if its job is in a terminal state.
    pub(super) fn place_unless_terminal(
        &mut self,
        ctx: &mut Context,
        command: &PlaceCommand,
        assignment: &Assignment,
    ) {
        self.place(ctx, command, assignment);
        if ctx.horizons.is_terminal(command.job) && is_enforced(Guard::LateAssignmentStopped) {
            // The coordinator sent the assignment before the job was cancelled, but the cancellation
            // arrived here first by another route.
            let placed = AttemptRef {
                job: command.job.0,
                task: assignment.task,
                attempt: assignment.attempt,
                machine: assignment.machine.clone(),
                incarnation: Some(assignment.incarnation),
            };
            self.stop_attempt(ctx, &placed, 0.0);
        }
    }

    fn place(&mut self, ctx: &mut Context, command: &PlaceCommand, assignment: &Assignment) {
        let (job, adopt) = (command.job, command.adopt);
        let (task, attempt) = (assignment.task, Attempt(assignment.attempt));
        let incarnation = assignment.incarnation;
        let idx = ctx.names.machine(&assignment.machine);
        let key = AttemptKey { job, task, attempt };
        let known = self.machines.get(&idx);
        let is_known = known.is_some_and(|machine| machine.tasks.contains_key(&key));
        let is_removed = known.is_some_and(|machine| machine.is_removed(command.from, attempt));
        // A repeated message must not use up what is held for another task of the job.
        if !is_known && !is_removed {
            self.holds.consume_one(idx, command.from, job);
            self.reservations.remove_one(job, idx);
        }
        let machine = self.machine_or_insert(idx);
        let outdated =
            incarnation < machine.incarnation && is_enforced(Guard::StartBoundToIncarnation);
        let expired = machine.lease_expired && incarnation <= machine.incarnation;
        let gone = machine.released || outdated || expired;
        let fenced = is_fenced(machine);
        let task = machine.tasks.entry(key).or_insert_with(|| {
            // A coordinator's successor adopts an attempt that is not known here: either the attempt
            // was never confirmed, or it has ended and was removed. Its share of the zone limit and of
            // the team's quota may have been given to another task, so it must not be started.
            // Otherwise a failover restarts stopped tasks and exceeds the team's quota.
            let over = gone || is_removed || (adopt && fenced);
            let phase = if over { TaskPhase::Gone } else { TaskPhase::Decided };
            TaskOnMachine { adopted: adopt, ..TaskOnMachine::new(None, phase, incarnation) }
        });
        task.shape = Some(command.shape.clone());
        task.placed_by = Some(command.from);
        task.acknowledge(command.epoch);
        // The sender does not know the attempt's phase, so it is sent again.
        task.notified = None;
        machine.update_load();
        self.changed_machines.insert(idx);
    }

    /// Stops an attempt, giving it `grace_s` seconds to save its progress.
    pub(super) fn stop_attempt(&mut self, ctx: &mut Context, target: &AttemptRef, grace_s: f64) {
        let now = ctx.now;
        let idx = ctx.names.machine(&target.machine);
        let machine = self.machine_or_insert(idx);
        let (fenced, current) = (is_fenced(machine), machine.incarnation);
        let lost = machine.released || machine.lease_expired;
        let key = AttemptKey::of(target);
        let task = match (machine.tasks.get_mut(&key), target.incarnation) {
            (Some(task), _) => task,
            // The attempt is recorded under the incarnation that the coordinator decided it for.
            // Before this owner has received a heartbeat of the machine, the incarnation known here
            // is 0, and an attempt under it would count as one of an ended incarnation: a running
            // task would be reported as gone.
            (None, Some(incarnation)) => {
                let unknown = TaskOnMachine::new(None, TaskPhase::Decided, incarnation);
                machine.tasks.entry(key).or_insert(unknown)
            }
            (None, None) => return,
        };
        if task.incarnation < current && task.phase == TaskPhase::Decided {
            task.phase = TaskPhase::Gone;
        }
        if task.stop.is_none_or(|stop| stop.grace_s > grace_s) {
            task.stop = Some(StopRequest { grace_s, since: now });
        }
        // This owner never sent the start command, and the worker no longer executes one of a previous
        // owner, so the attempt cannot start.
        let never_sent = !task.start_sent() && !task.reported;
        if task.phase == TaskPhase::Decided && never_sent && (fenced || lost) {
            task.phase = TaskPhase::Gone;
        }
        task.notified = None;
        machine.update_load();
        self.changed_machines.insert(idx);
    }

    /// Records that the coordinator with this epoch knows of the attempt, so that its report needs not be
    /// repeated.
    pub(super) fn acknowledge_attempt(
        &mut self,
        ctx: &mut Context,
        attempt: &AttemptRef,
        epoch: Epoch,
    ) {
        let idx = ctx.names.machine(&attempt.machine);
        let machine = self.machines.get_mut(&idx);
        let key = AttemptKey::of(attempt);
        if let Some(task) = machine.and_then(|machine| machine.tasks.get_mut(&key)) {
            task.acknowledge(epoch);
        }
    }

    /// Records that the coordinator has acknowledged the ends of these attempts. An attempt that is
    /// not over here is left as it is.
    pub(super) fn record_end_acknowledgements(&mut self, ctx: &mut Context, ended: &[AttemptRef]) {
        let mut acknowledged = BTreeSet::new();
        for attempt in ended {
            let idx = ctx.names.machine(&attempt.machine);
            let machine = self.machines.get_mut(&idx);
            let key = AttemptKey::of(attempt);
            if let Some(task) = machine.and_then(|machine| machine.tasks.get_mut(&key)) {
                task.end_acknowledged |= task.is_over();
                acknowledged.insert(idx);
            }
        }
        for idx in acknowledged {
            if let Some(machine) = self.machines.get_mut(&idx) {
                machine.remove_forgotten();
            }
        }
    }

    /// Stops all attempts of a job whose terminal state is durable, whether or not its coordinator has
    /// sent stops for them.
    pub fn stop_job(&mut self, ctx: &mut Context, job: JobId) {
        let first = AttemptKey { job, task: 0, attempt: Attempt(0) };
        let last = AttemptKey { job, task: u32::MAX, attempt: Attempt(u64::MAX) };
        let mut running = Vec::new();
        for (&idx, machine) in &self.machines {
            let tasks = machine.tasks.range(first..=last);
            for (key, task) in tasks.filter(|(_, task)| !task.is_over()) {
                running.push(AttemptRef {
                    job: job.0,
                    task: key.task,
                    attempt: key.attempt.0,
                    machine: ctx.names.machine_name(idx).to_string(),
                    incarnation: Some(task.incarnation),
                });
            }
        }
        for attempt in &running {
            self.stop_attempt(ctx, attempt, 0.0);
        }
    }

    /// Stops the attempts on a machine whose jobs are in a terminal state. A worker may first report a
    /// task after the end of its job was read from the store, so `stop_job` alone would miss it.
    pub(super) fn stop_terminal_jobs(
        &mut self,
        idx: MachineIdx,
        horizons: &Horizons,
        now: Timestamp,
    ) {
        let Some(machine) = self.machines.get_mut(&idx) else { return };
        let mut any_stopped = false;
        let tasks = machine.tasks.iter_mut();
        for (key, task) in tasks.filter(|(_, task)| task.stop.is_none() && !task.is_over()) {
            if horizons.is_terminal(key.job) && is_enforced(Guard::TerminalJobStoppedByParticipant)
            {
                task.stop = Some(StopRequest { grace_s: 0.0, since: now });
                any_stopped = true;
            }
        }
        if any_stopped {
            machine.update_load();
        }
    }
}
