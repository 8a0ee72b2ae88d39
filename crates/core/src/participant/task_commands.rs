//! What coordinators decided for tasks: started, stopped, acknowledged.
use super::Participant;
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::horizon::Horizons;
use crate::ids::{Attempt, JobId, MachineIdx, Shard, Timestamp};
use crate::machine::{AttemptKey, Machine, StopRequest, TaskOnMachine};
use crate::names::Shape;
use leaddeal_wire::mesh::{Assignment, AttemptRef, TaskPhase};
use std::collections::BTreeSet;

/// Tasks of one job that a coordinator has placed.
#[derive(Debug)]
pub(super) struct PlaceOrder {
    /// The coordinator's shard.
    pub from: Shard,
    /// The job.
    pub job: JobId,
    /// What a task of it takes.
    pub shape: Shape,
    /// A new coordinator takes over what one before it has placed.
    pub adopt: bool,
}

/// Whether no older owner's command can reach the machine's worker any more.
fn is_fenced(machine: &Machine) -> bool {
    machine.token_confirmed || !is_enforced(Guard::AbsenceNeedsConfirmedToken)
}

impl Participant {
    /// Places a task, and stops it at once if its job is over.
    pub(super) fn place_unless_over(
        &mut self,
        ctx: &mut Context,
        order: &PlaceOrder,
        assignment: &Assignment,
    ) {
        self.place(ctx, order, assignment);
        if ctx.horizons.is_terminal(order.job) && is_enforced(Guard::LateAssignmentStopped) {
            // It was sent before the cancellation, which came another way.
            let placed = AttemptRef {
                job: order.job.0,
                task: assignment.task,
                attempt: assignment.attempt,
                machine: assignment.machine.clone(),
                incarnation: Some(assignment.incarnation),
            };
            self.stop(ctx, &placed, 0.0);
        }
    }

    fn place(&mut self, ctx: &mut Context, order: &PlaceOrder, assignment: &Assignment) {
        let (job, adopt) = (order.job, order.adopt);
        let (task, attempt) = (assignment.task, Attempt(assignment.attempt));
        let incarnation = assignment.incarnation;
        let idx = ctx.names.machine(&assignment.machine);
        self.holds.use_one(idx, order.from, job);
        self.reservations.remove_one(job, idx);
        let machine = self.machine(idx);
        let outdated =
            incarnation < machine.incarnation && is_enforced(Guard::StartBoundToIncarnation);
        let expired = machine.lease_expired && incarnation <= machine.incarnation;
        let gone = machine.released || outdated || expired;
        let fenced = is_fenced(machine);
        let key = AttemptKey { job, task, attempt };
        let task = machine.tasks.entry(key).or_insert_with(|| {
            // An attempt to adopt that is not known here was never confirmed, or is over and
            // forgotten. What it took of zones and teams may be in use again, so it must not start
            // now. (Found by the simulator: a handover started stopped tasks anew, beyond their
            // team's limit.)
            let over = gone || (adopt && fenced);
            let phase = if over { TaskPhase::Gone } else { TaskPhase::Decided };
            TaskOnMachine { adopted: adopt, ..TaskOnMachine::new(None, phase, incarnation) }
        });
        task.shape = Some(order.shape.clone());
        // Its phase is sent again: the sender does not know it.
        task.notified = None;
        machine.update_load();
        self.changed_machines.insert(idx);
    }

    /// Stops an attempt, with `grace_s` seconds to save its progress.
    pub(super) fn stop(&mut self, ctx: &mut Context, what: &AttemptRef, grace_s: f64) {
        let now = ctx.now;
        let idx = ctx.names.machine(&what.machine);
        let machine = self.machine(idx);
        let (fenced, current) = (is_fenced(machine), machine.incarnation);
        let lost = machine.released || machine.lease_expired;
        let key = AttemptKey::of(what);
        let task = match (machine.tasks.get_mut(&key), what.incarnation) {
            (Some(task), _) => task,
            // Under the incarnation it was decided for: before the machine's first heartbeat to us,
            // a guess would make the attempt look like one of an ended incarnation. (Found by the
            // simulator: a running task was called gone.)
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
        // Never sent by us, and no older owner's command counts any more.
        let never_sent = !task.start_sent() && !task.reported;
        if task.phase == TaskPhase::Decided && never_sent && (fenced || lost) {
            task.phase = TaskPhase::Gone;
        }
        task.notified = None;
        machine.update_load();
        self.changed_machines.insert(idx);
    }

    /// The coordinator has acknowledged the ends of these attempts.
    pub(super) fn acknowledge_ends(&mut self, ctx: &mut Context, ended: &[AttemptRef]) {
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
                machine.drop_forgotten();
            }
        }
    }

    /// The job's terminal state is written: whatever of it is here stops, whether its coordinator
    /// has sent a stop or not.
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
            self.stop(ctx, attempt, 0.0);
        }
    }

    /// Stops the attempts on a machine whose jobs are over. (Found by the simulator: a task was
    /// reported only after its job's end had been read.)
    pub(super) fn stop_finished_jobs(
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
