//! An attempt of a task on a machine.
use crate::guards::{is_enforced, Guard};
use crate::ids::{Attempt, Epoch, JobId, Shard, Timestamp};
use crate::names::Shape;
use leaddeal_wire::mesh::{AttemptRef, TaskPhase};
use leaddeal_wire::worker::{Command, TaskId};

/// Identifies an attempt. Ordered by job, then task, then attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    /// The job.
    pub job: JobId,
    /// The task's number within the job.
    pub task: u32,
    /// The number of the attempt.
    pub attempt: Attempt,
}

impl AttemptKey {
    /// Returns the key of the attempt that a coordinator refers to.
    pub(crate) fn of(attempt: &AttemptRef) -> AttemptKey {
        AttemptKey {
            job: JobId(attempt.job),
            task: attempt.task,
            attempt: Attempt(attempt.attempt),
        }
    }

    /// Returns the key of the attempt that a command is for.
    pub(crate) fn of_command(command: &Command) -> AttemptKey {
        let TaskId { job, task } = command.task;
        AttemptKey { job: JobId(job), task, attempt: Attempt(command.attempt) }
    }

    /// Returns the identifier of the task on the wire to workers.
    pub(crate) fn task_id(&self) -> TaskId {
        TaskId { job: self.job.0, task: self.task }
    }
}

/// A request to stop an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StopRequest {
    /// Seconds that the task has to save its progress; 0: it is killed at once.
    pub grace_s: f64,
    /// When the stop was requested.
    pub since: Timestamp,
}

/// An attempt that is, was, or may still start on a machine.
#[derive(Clone, Debug)]
pub(crate) struct TaskOnMachine {
    /// What the task needs. `None`: its coordinator has not sent it yet.
    pub shape: Option<Shape>,
    /// The attempt's last known phase.
    pub phase: TaskPhase,
    /// The worker incarnation that the attempt was decided for. It is started in no other.
    pub incarnation: u64,
    /// The start command was in the newest heartbeat response.
    pub in_last_response: bool,
    /// The command batch in flight that contains the start command.
    pub direct_batch: Option<u64>,
    /// A start command that was sent directly got no response: a delayed copy of it may still be
    /// executed. Such a copy has no effect as long as the worker has not forgotten the attempt.
    pub start_uncertain: bool,
    /// Newest fencing token under which this owner sent the start command directly; `None`: it has not. A late copy
    /// of the command is executed by a worker that has seen no newer token and has forgotten the attempt.
    pub start_token: Option<u64>,
    /// The worker's newest heartbeat contained the attempt.
    pub reported: bool,
    /// The request to stop the attempt. `None`: it is not to stop.
    pub stop: Option<StopRequest>,
    /// The attempt was taken over by a new coordinator: it is kept if it is on the machine, but never
    /// started.
    pub adopted: bool,
    /// Shard of the coordinator that placed the attempt here; `None`: it has only been reported or stopped.
    pub placed_by: Option<Shard>,
    /// Epoch of the coordinator that last placed or stopped the attempt; 0: none. Reports are repeated
    /// until that is the present coordinator.
    pub acknowledged_by: Epoch,
    /// The coordinator has acknowledged the end of the attempt.
    pub end_acknowledged: bool,
    /// The phase that was last sent to the coordinator, and the coordinator's epoch at that time.
    pub notified: Option<(Epoch, TaskPhase)>,
    /// When the phase was last sent.
    pub notified_at: Timestamp,
    /// When the attempt was first reported as running.
    pub running_since: Option<Timestamp>,
}

impl TaskOnMachine {
    /// Returns an attempt about which nothing was sent yet, neither to the worker nor to the
    /// coordinator.
    pub fn new(shape: Option<Shape>, phase: TaskPhase, incarnation: u64) -> TaskOnMachine {
        TaskOnMachine {
            shape,
            phase,
            incarnation,
            in_last_response: false,
            direct_batch: None,
            start_uncertain: false,
            start_token: None,
            reported: false,
            stop: None,
            adopted: false,
            placed_by: None,
            acknowledged_by: Epoch(0),
            end_acknowledged: false,
            notified: None,
            notified_at: 0,
            running_since: None,
        }
    }

    /// Returns whether the attempt was decided for this incarnation of the machine's worker.
    pub(super) fn belongs_to(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation || !is_enforced(Guard::StartBoundToIncarnation)
    }

    /// Returns whether the start command is in a command batch in flight, so that it may still be
    /// executed.
    pub(super) fn start_in_flight(&self) -> bool {
        self.direct_batch.is_some() && is_enforced(Guard::StartInFlightRemembered)
    }

    /// Returns whether a start command may be sent for the attempt at all.
    pub(super) fn may_start(&self) -> bool {
        !self.adopted || !is_enforced(Guard::AdoptedTaskNotStarted)
    }

    /// Returns whether this owner has sent a start command that may have been executed or may still
    /// be.
    pub(crate) fn start_sent(&self) -> bool {
        self.in_last_response || self.start_uncertain || self.direct_batch.is_some()
    }

    /// Returns whether the worker knows the attempt or may still learn of it.
    pub(super) fn may_be_at_worker(&self) -> bool {
        self.reported || self.start_uncertain || self.direct_batch.is_some()
    }

    /// Records that the coordinator with this epoch has placed or stopped the attempt.
    pub(crate) fn acknowledge(&mut self, coordinator_epoch: Epoch) {
        self.acknowledged_by = self.acknowledged_by.max(coordinator_epoch);
    }

    /// Returns whether the attempt has ended, or never started and never will.
    pub fn is_over(&self) -> bool {
        matches!(self.phase, TaskPhase::Exited(..) | TaskPhase::Gone)
    }

    /// Ends the attempt because the worker incarnation that it belongs to has ended.
    pub(super) fn end_with_incarnation(&mut self) {
        if !self.is_over() {
            self.phase = TaskPhase::Gone;
        }
        self.reported = false;
        self.start_uncertain = false;
        self.direct_batch = None;
    }
}
