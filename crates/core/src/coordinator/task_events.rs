//! What participants tell of tasks: phases of placed ones, exits, and what may be forgotten.
use super::Coordinator;
use crate::context::Context;
use crate::ids::{Attempt, JobId, Shard, Timestamp};
use crate::io::LogLevel;
use crate::jobs::CompletedAttempt;
use crate::jobs::Job;
use crate::placed::Placement;
use leaddeal_wire::mesh::{AttemptRef, ShardMessage, TaskEvent, TaskPhase};
use leaddeal_wire::user::JobKind;
use leaddeal_wire::worker::{ExitReason, TaskState};

/// A task whose machine was full or busy is requested again after this time.
const BUSY_RETRY_INTERVAL_MS: u64 = 300;
/// Seconds that the rest of a gang gets beyond the time it takes to save.
const SAVE_MARGIN_S: f64 = 2.0;

impl Coordinator {
    /// Handles the events, and tells the participant which attempts it may forget: it keeps telling
    /// until then.
    pub(super) fn task_events(&mut self, ctx: &mut Context, from: Shard, events: Vec<TaskEvent>) {
        let mut forgettable = Vec::new();
        for event in events {
            forgettable.extend(self.task_event(ctx, from, &event));
        }
        if !forgettable.is_empty() {
            ctx.send(self.shard, from, ShardMessage::Forget { what: forgettable });
        }
    }

    /// Returns the attempt if the participant may forget it.
    fn task_event(
        &mut self,
        ctx: &mut Context,
        from: Shard,
        event: &TaskEvent,
    ) -> Option<AttemptRef> {
        let what = AttemptRef {
            job: event.job,
            task: event.task,
            attempt: event.attempt,
            machine: event.machine.clone(),
            incarnation: None,
        };
        let is_over = matches!(event.phase, TaskPhase::Exited(..) | TaskPhase::Gone);
        if !self.is_placed(ctx, event) {
            if is_over {
                // Already noted as done, but not durably yet: the worker must not forget it.
                return (!self.is_uncompacted(event)).then_some(what);
            }
            ctx.send(self.shard, from, ShardMessage::Stop { what, grace_s: 0.0 });
            return None;
        }
        self.note_first_start(ctx.now, event);
        if is_over {
            self.task_over(ctx, event).then_some(what)
        } else {
            self.task_phase(ctx, event);
            None
        }
    }

    /// Whether the attempt is the one that is placed, on this machine.
    fn is_placed(&self, ctx: &Context, event: &TaskEvent) -> bool {
        let job = self.jobs.get(&JobId(event.job));
        let placement = job.and_then(|job| job.placed.get(event.task));
        placement.is_some_and(|placement| {
            placement.attempt.0 == event.attempt
                && ctx.names.machine_name(placement.machine) == event.machine
        })
    }

    /// Whether the attempt is done, and its completion is not known to be in the store.
    fn is_uncompacted(&self, event: &TaskEvent) -> bool {
        let id = JobId(event.job);
        let mut of_job = self.jobs.get(&id).into_iter().flat_map(|job| &job.completion.uncompacted);
        of_job.any(|done| done.task == event.task && done.attempt.0 == event.attempt)
            || self.compaction.is_compacting(id, event.task, Attempt(event.attempt))
    }

    /// Records when the job began, if this is the first that is known of a start.
    fn note_first_start(&mut self, now: Timestamp, event: &TaskEvent) {
        let has_run = matches!(
            event.phase,
            TaskPhase::On(TaskState::Running) | TaskPhase::Exited(ExitReason::Done, _)
        );
        let job = self.jobs.get_mut(&JobId(event.job)).filter(|_| has_run);
        if let Some(job) = job.filter(|job| job.first_started_at.is_none() && !job.cancelled) {
            job.first_started_at = Some(now);
            self.service_statistics.record_start(job, now);
        }
    }

    /// A placed task goes on, in another phase perhaps.
    fn task_phase(&mut self, ctx: &mut Context, event: &TaskEvent) {
        let id = JobId(event.job);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.placed.set_phase(event.task, event.phase);
        // A gang that is to save must be stopped whole, and soon.
        if event.phase == TaskPhase::On(TaskState::Saving) && job.wire.kind == JobKind::Gang {
            job.placed.stop_rest(job.wire.save_s + SAVE_MARGIN_S);
            self.unsettled_jobs.insert(id);
            self.next_resend = ctx.now;
            self.resend(ctx);
        }
    }

    /// A placed task is not on its machine any more. True if the participant may forget the attempt.
    fn task_over(&mut self, ctx: &mut Context, event: &TaskEvent) -> bool {
        let id = JobId(event.job);
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let Some(placement) = job.placed.remove(event.task) else { return false };
        let is_done = matches!(event.phase, TaskPhase::Exited(ExitReason::Done, _));
        if is_done && job.wire.kind != JobKind::Service && !job.cancelled {
            self.task_done(ctx, id, event.task, &placement);
            return false;
        }
        self.task_lost(ctx, id, event, &placement);
        true
    }

    /// The task is done: its completion is written before the participant may forget it.
    fn task_done(&mut self, ctx: &mut Context, id: JobId, task: u32, placement: &Placement) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.failure_suspicion.ran_well();
        job.set_done(task, ctx.now);
        if job.complete() {
            self.compaction.complete_jobs.insert(id, ctx.now);
        } else {
            self.compaction.dirty_jobs.insert(id);
        }
        job.completion.uncompacted.push(CompletedAttempt {
            task,
            attempt: placement.attempt,
            machine: placement.machine,
            round: placement.round,
        });
        ctx.wake = true;
    }

    /// The task has to be placed again, unless its job is cancelled.
    fn task_lost(
        &mut self,
        ctx: &mut Context,
        id: JobId,
        event: &TaskEvent,
        placement: &Placement,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        delay_next_try(ctx, job, event.phase, placement);
        job.give_back(event.task);
        self.unplaced_jobs.insert(id);
        if job.wire.kind == JobKind::Gang {
            // Won whole or not at all: the rest of the attempt stops.
            job.placed.stop_rest(0.0);
            self.unsettled_jobs.insert(id);
            self.next_resend = ctx.now;
        }
        let is_empty_leftover = job.cancelled && job.placed.is_empty();
        self.decision_log.placement_over(placement.round);
        if is_empty_leftover {
            self.drop_cancelled(id);
        }
        ctx.wake = true;
    }
}

/// Sets when the job is requested again, by how its task ended.
fn delay_next_try(ctx: &mut Context, job: &mut Job, phase: TaskPhase, placement: &Placement) {
    let now = ctx.now;
    let suspicion = &mut job.failure_suspicion;
    match phase {
        TaskPhase::Exited(ExitReason::Error | ExitReason::Other | ExitReason::JobNotFound, _) => {
            if job.wire.kind == JobKind::Service && job.placed.running() > 0 {
                suspicion.ran_well();
            }
            let was_suspected = suspicion.is_suspected();
            job.not_before = suspicion.failed(placement.machine, now, job.not_before);
            if suspicion.is_suspected() && !was_suspected {
                let name = &job.wire.id;
                ctx.effects.log(LogLevel::Info, "job_suspected", || name.clone());
            }
        }
        TaskPhase::Exited(
            ExitReason::InsufficientResources | ExitReason::OtherAttemptPresent,
            _,
        ) => {
            job.not_before = now + BUSY_RETRY_INTERVAL_MS;
        }
        _ if suspicion.is_suspected() => {}
        _ => job.not_before = job.not_before.min(now),
    }
}
