//! Handles what participants report of tasks: the phases of placed tasks and the ends of attempts.
//! Tells the participants which attempts they may forget.
use super::Coordinator;
use crate::context::Context;
use crate::ids::{Attempt, Epoch, JobId, Shard, Timestamp};
use crate::io::LogLevel;
use crate::jobs::CompletedAttempt;
use crate::jobs::Job;
use crate::placed::Placement;
use leaddeal_wire::mesh::{AttemptRef, ShardMessage, TaskEvent, TaskPhase};
use leaddeal_wire::user::JobKind;
use leaddeal_wire::worker::{ExitReason, TaskState};

/// Delay before a task is requested again that did not start for lack of resources on its machine
/// or because another attempt of it was present there.
const START_RETRY_INTERVAL_MS: u64 = 300;
/// Grace that the rest of a gang gets beyond the time it needs to save its progress, in seconds.
const SAVE_MARGIN_S: f64 = 2.0;

impl Coordinator {
    /// Handles the events that the owner of `from` with this epoch has sent, and tells it which attempts
    /// it may forget. It repeats its report of an attempt that has ended until then.
    pub(super) fn handle_task_events(
        &mut self,
        ctx: &mut Context,
        from: Shard,
        epoch: Epoch,
        events: Vec<TaskEvent>,
    ) {
        let mut forgettable = Vec::new();
        for event in events {
            forgettable.extend(self.handle_task_event(ctx, from, epoch, &event));
        }
        if !forgettable.is_empty() {
            ctx.send(self.shard, from, ShardMessage::Forget { what: forgettable });
        }
    }

    /// Handles one event. Returns the attempt if the participant may forget it.
    fn handle_task_event(
        &mut self,
        ctx: &mut Context,
        from: Shard,
        epoch: Epoch,
        event: &TaskEvent,
    ) -> Option<AttemptRef> {
        let what = AttemptRef {
            job: event.job,
            task: event.task,
            attempt: event.attempt,
            machine: event.machine.clone(),
            incarnation: None,
        };
        let has_ended = matches!(event.phase, TaskPhase::Exited(..) | TaskPhase::Gone);
        if !self.is_placed(ctx, event) {
            if has_ended {
                // The worker must not forget an attempt whose completion is recorded here but not
                // yet durable.
                return (!self.is_uncompacted(event)).then_some(what);
            }
            ctx.send(self.shard, from, ShardMessage::Stop { what, grace_s: 0.0 });
            return None;
        }
        self.record_first_start(ctx.now, event);
        if has_ended {
            self.end_placement(ctx, event).then_some(what)
        } else {
            self.update_phase(ctx, epoch, event);
            None
        }
    }

    /// Whether the event is about the task's present placement: the same attempt on the same
    /// machine.
    fn is_placed(&self, ctx: &Context, event: &TaskEvent) -> bool {
        let job = self.jobs.get(&JobId(event.job));
        let placement = job.and_then(|job| job.placed.get(event.task));
        placement.is_some_and(|placement| {
            placement.attempt.0 == event.attempt
                && ctx.names.machine_name(placement.machine) == event.machine
        })
    }

    /// Whether the attempt is completed but its completion is not known to be in the store.
    fn is_uncompacted(&self, event: &TaskEvent) -> bool {
        let id = JobId(event.job);
        let mut of_job = self.jobs.get(&id).into_iter().flat_map(|job| &job.completion.uncompacted);
        of_job.any(|done| done.task == event.task && done.attempt.0 == event.attempt)
            || self.compaction.is_compacting(id, event.task, Attempt(event.attempt))
    }

    /// Records when the job started, if this is the first event that shows a start.
    fn record_first_start(&mut self, now: Timestamp, event: &TaskEvent) {
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

    /// Updates the phase of a placed task that has not ended, as the participant's owner with this epoch
    /// has reported it.
    fn update_phase(&mut self, ctx: &mut Context, epoch: Epoch, event: &TaskEvent) {
        let id = JobId(event.job);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.placed.record_report(event.task, epoch, event.phase);
        if job.placed.get(event.task).is_some_and(|placement| !placement.is_settled(epoch)) {
            self.unsettled_jobs.insert(id);
        }
        // If one task of a gang is saving its progress before it stops, the whole gang must save
        // and stop, too, and soon.
        if event.phase == TaskPhase::On(TaskState::Saving) && job.spec.kind == JobKind::Gang {
            job.placed.stop_all(job.spec.save_s + SAVE_MARGIN_S);
            self.unsettled_jobs.insert(id);
            self.next_resend_at = ctx.now;
            self.resend(ctx);
        }
    }

    /// Removes the placement of a task that is no longer on its machine. Returns true if the
    /// participant may forget the attempt.
    fn end_placement(&mut self, ctx: &mut Context, event: &TaskEvent) -> bool {
        let id = JobId(event.job);
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let Some(placement) = job.placed.remove(event.task) else { return false };
        let is_done = matches!(event.phase, TaskPhase::Exited(ExitReason::Done, _));
        if is_done && job.spec.kind != JobKind::Service && !job.cancelled {
            self.complete_task(ctx, id, event.task, &placement);
            return false;
        }
        self.requeue_task(ctx, id, event, &placement);
        true
    }

    /// Records the completion of a task, to be written before the participant may forget it.
    fn complete_task(&mut self, ctx: &mut Context, id: JobId, task: u32, placement: &Placement) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.failure_suspicion.record_good_run();
        job.mark_done(task, ctx.now);
        if job.is_complete() {
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
        ctx.needs_round = true;
    }

    /// Queues a task that ended without completing to be placed again, unless its job is cancelled.
    fn requeue_task(
        &mut self,
        ctx: &mut Context,
        id: JobId,
        event: &TaskEvent,
        placement: &Placement,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        delay_next_request(ctx, job, event.phase, placement);
        job.return_task(event.task);
        self.unplaced_jobs.insert(id);
        if job.spec.kind == JobKind::Gang {
            // A gang runs as a whole or not at all, so its other tasks stop.
            job.placed.stop_all(0.0);
            self.unsettled_jobs.insert(id);
            self.next_resend_at = ctx.now;
        }
        let is_fully_stopped = job.cancelled && job.placed.is_empty();
        self.decision_log.end_placement(placement.round);
        if is_fully_stopped {
            self.drop_cancelled(id);
        }
        ctx.needs_round = true;
    }
}

/// Sets when the job is requested again, depending on how its task ended.
fn delay_next_request(ctx: &mut Context, job: &mut Job, phase: TaskPhase, placement: &Placement) {
    let now = ctx.now;
    let suspicion = &mut job.failure_suspicion;
    match phase {
        TaskPhase::Exited(ExitReason::Error | ExitReason::Other | ExitReason::JobNotFound, _) => {
            if job.spec.kind == JobKind::Service && job.placed.running_count() > 0 {
                suspicion.record_good_run();
            }
            let was_suspected = suspicion.is_suspected();
            job.not_before = suspicion.record_failure(placement.machine, now, job.not_before);
            if suspicion.is_suspected() && !was_suspected {
                let name = &job.spec.id;
                ctx.effects.log(LogLevel::Info, "job_suspected", || name.clone());
            }
        }
        TaskPhase::Exited(
            ExitReason::InsufficientResources | ExitReason::OtherAttemptPresent,
            _,
        ) => {
            job.not_before = now + START_RETRY_INTERVAL_MS;
        }
        _ if suspicion.is_suspected() => {}
        _ => job.not_before = job.not_before.min(now),
    }
}
