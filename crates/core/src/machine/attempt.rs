//! One attempt of a task on a machine.
use crate::guards::{is_enforced, Guard};
use crate::ids::{Attempt, Epoch, JobId, Timestamp};
use crate::names::Shape;
use leaddeal_wire::mesh::{AttemptRef, TaskPhase};
use leaddeal_wire::worker::TaskId;

/// Names an attempt. Ordered by job, then task, then attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptKey {
    /// The job.
    pub job: JobId,
    /// The task's number within the job.
    pub task: u32,
    /// Which start of the task.
    pub attempt: Attempt,
}

impl AttemptKey {
    /// The attempt that a coordinator names.
    pub(crate) fn of(attempt: &AttemptRef) -> AttemptKey {
        AttemptKey {
            job: JobId(attempt.job),
            task: attempt.task,
            attempt: Attempt(attempt.attempt),
        }
    }

    /// The task as workers name it.
    pub(crate) fn task_id(&self) -> TaskId {
        TaskId { job: self.job.0, task: self.task }
    }
}

/// A request to stop an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StopRequest {
    /// Time in seconds that the task has to save its progress; 0: it is killed at once.
    pub grace_s: f64,
    /// When the stop was requested.
    pub since: Timestamp,
}

/// An attempt that is, was, or may come to be on a machine.
#[derive(Clone, Debug)]
pub(crate) struct TaskOnMachine {
    /// What the task takes; none: its coordinator has not said yet.
    pub shape: Option<Shape>,
    /// How far the attempt got.
    pub phase: TaskPhase,
    /// The worker's incarnation that the attempt was decided for. It is started in no other.
    pub incarnation: u64,
    /// Its start command was in the newest heartbeat response.
    pub in_last_response: bool,
    /// The command batch in flight that its start command is in.
    pub direct_batch: Option<u64>,
    /// A start command sent directly got no answer: a copy may be executed late. As long as the
    /// worker has not forgotten the attempt, such a copy does nothing.
    pub start_uncertain: bool,
    /// It was in the worker's newest heartbeat.
    pub reported: bool,
    /// It is to stop.
    pub stop: Option<StopRequest>,
    /// Taken over by a new coordinator: kept if it is on the machine, never started.
    pub adopted: bool,
    /// The coordinator has acknowledged its end.
    pub end_acknowledged: bool,
    /// The phase that was last sent to the coordinator, and the coordinator's epoch.
    pub notified: Option<(Epoch, TaskPhase)>,
    /// When the phase was last sent.
    pub notified_at: Timestamp,
    /// When it was first seen running.
    pub running_since: Option<Timestamp>,
}

impl TaskOnMachine {
    /// An attempt of which nothing was sent yet, neither to the worker nor to the coordinator.
    pub fn new(shape: Option<Shape>, phase: TaskPhase, incarnation: u64) -> TaskOnMachine {
        TaskOnMachine {
            shape,
            phase,
            incarnation,
            in_last_response: false,
            direct_batch: None,
            start_uncertain: false,
            reported: false,
            stop: None,
            adopted: false,
            end_acknowledged: false,
            notified: None,
            notified_at: 0,
            running_since: None,
        }
    }

    /// Whether it was decided for this incarnation of its machine's worker.
    pub(super) fn belongs_to(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation || !is_enforced(Guard::StartBoundToIncarnation)
    }

    /// Whether a direct copy of its start command may still be executed.
    pub(super) fn start_in_flight(&self) -> bool {
        self.direct_batch.is_some() && is_enforced(Guard::StartInFlightRemembered)
    }

    /// Whether a start command may be sent for it at all.
    pub(super) fn may_start(&self) -> bool {
        !self.adopted || !is_enforced(Guard::AdoptedTaskNotStarted)
    }

    /// Whether a start command of ours may be on its way, or may have been executed.
    pub(crate) fn start_sent(&self) -> bool {
        self.in_last_response || self.start_uncertain || self.direct_batch.is_some()
    }

    /// Whether the worker may still know it, or come to know it.
    pub(super) fn is_open(&self) -> bool {
        self.reported || self.start_uncertain || self.direct_batch.is_some()
    }

    /// Whether it has ended, or never started and never will.
    pub fn is_over(&self) -> bool {
        matches!(self.phase, TaskPhase::Exited(..) | TaskPhase::Gone)
    }

    /// The worker's incarnation that it belongs to has ended, and it with that.
    pub(super) fn end_with_incarnation(&mut self) {
        if !self.is_over() {
            self.phase = TaskPhase::Gone;
        }
        self.reported = false;
        self.start_uncertain = false;
        self.direct_batch = None;
    }
}
