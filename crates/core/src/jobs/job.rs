//! One job and its tasks, from submission to completion.
use super::backoff::{PlacementBackoff, RequestOutcome};
use super::wire_shape;
use super::{CompletionProgress, FailureSuspicion, Objectives, Termination};
use crate::guards::{is_enforced, Guard};
use crate::ids::{JobId, Timestamp, ZoneIdx};
use crate::names::{Names, Shape};
use crate::placed::Placements;
use crate::task_set::TaskSet;
use leaddeal_wire::user::{self, JobKind, JobState, JobStatus};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A job array, gang or service, with the progress of its tasks.
///
/// Invariant: a task is in exactly one of these states: completed, placed, part of a pending
/// decision, or unplaced. [`Job::pending`] counts the last two.
#[derive(Debug)]
pub struct Job {
    /// The number of the job, unique in the cluster.
    pub id: JobId,
    /// The job as its user submitted it.
    pub spec: user::Job,
    /// The resources and constraints of one task.
    pub shape: Shape,
    /// When the job was submitted, which may be before this process started.
    pub submitted_at: Timestamp,
    /// The latest starts that meet the job's objectives, in milliseconds from its submission, in
    /// ascending order.
    pub(super) latest_starts_ms: Vec<f64>,

    /// When a task of the job was first known to run, by this owner of the job's shard.
    pub first_started_at: Option<Timestamp>,
    /// Completed tasks.
    pub done: TaskSet,
    /// Tasks that are or may be on machines.
    pub placed: Placements,
    unplaced: UnplacedTasks,

    /// The job's tasks are not requested before this time.
    pub not_before: Timestamp,
    pub(super) backoff: PlacementBackoff,
    /// Why the last request placed nothing; `None`: it placed something, or there was no request
    /// yet.
    pub last_request_outcome: Option<RequestOutcome>,
    /// A counter that selects the participant that is to preempt for the job, one at a time;
    /// `None`: capacity was not short.
    pub preemption_turn: Option<u32>,
    /// When a participant last reported that it preempts for the job.
    pub preemption_reported_at: Option<Timestamp>,
    /// The zone in which a gang waits for capacity; `None`: no zone is chosen.
    pub target_zone: Option<ZoneIdx>,
    /// The failures since a task of the job last ran well.
    pub failure_suspicion: FailureSuspicion,

    /// Completed tasks that are being written to the store.
    pub completion: CompletionProgress,

    /// The terminal state that is being written.
    pub termination: Termination,
    /// Whether the cancellation is durable and answered, so that no task of the job may start.
    pub cancelled: bool,
}

/// Tasks that have yet to be placed.
#[derive(Debug, Default)]
struct UnplacedTasks {
    /// The first task that was never taken; all tasks after it were not taken either.
    next_fresh: u32,
    /// Tasks before `next_fresh` that were returned.
    returned: BTreeSet<u32>,
}

impl Job {
    /// Creates a job without placed or completed tasks.
    pub fn new(
        id: JobId,
        spec: user::Job,
        shape: Shape,
        submitted_at: Timestamp,
        objectives: &Objectives,
    ) -> Job {
        Job {
            id,
            shape,
            submitted_at,
            latest_starts_ms: objectives.latest_starts_ms(&spec),
            spec,
            first_started_at: None,
            done: TaskSet::default(),
            placed: Placements::default(),
            unplaced: UnplacedTasks::default(),
            not_before: 0,
            backoff: PlacementBackoff::default(),
            last_request_outcome: None,
            preemption_turn: None,
            preemption_reported_at: None,
            target_zone: None,
            failure_suspicion: FailureSuspicion::default(),
            completion: CompletionProgress::default(),
            termination: Termination::default(),
            cancelled: false,
        }
    }

    /// Creates a placeholder for a job whose terminal state is in the store while its tasks may
    /// still be on machines. It counts as cancelled. What its user submitted is not known.
    pub fn tombstone(id: JobId, names: &mut Names) -> Job {
        let spec = user::Job {
            id: user::job_id(id.0),
            class: String::new(),
            team: String::new(),
            kind: JobKind::Array,
            priority: user::Priority::Low,
            tasks: 100_000,
            cpus: 0.0,
            gpus: 0.0,
            memory_gb: 0.0,
            image: String::new(),
            image_gb: 0.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 0.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        };
        let shape = names.resolve_shape(&Arc::new(wire_shape(&spec)));
        let mut job = Job::new(id, spec, shape, 0, &Objectives::default());
        job.cancelled = true;
        job
    }

    /// Whether the job was created by [`Job::tombstone`]. Submitted jobs always have a class.
    pub fn is_tombstone(&self) -> bool {
        self.spec.class.is_empty()
    }

    /// Returns how many tasks are neither completed nor placed.
    pub fn pending(&self) -> u32 {
        self.spec.tasks - self.done.len() - self.placed.len()
    }

    /// Whether tasks may be placed while others are: not those of a gang, which starts as a whole,
    /// nor those of a suspected job, which is tried on one machine at a time.
    pub fn may_start(&self) -> bool {
        self.placed.is_empty()
            || (self.spec.kind != JobKind::Gang && !self.failure_suspicion.is_suspected())
    }

    /// Takes the next task to be placed; `None`: all are taken, placed or completed.
    pub fn take_task(&mut self) -> Option<u32> {
        if let Some(task) = self.unplaced.returned.pop_first() {
            return Some(task);
        }
        while self.unplaced.next_fresh < self.spec.tasks {
            let task = self.unplaced.next_fresh;
            self.unplaced.next_fresh += 1;
            if !self.done.contains(task) && self.placed.get(task).is_none() {
                return Some(task);
            }
        }
        None
    }

    /// Returns a task that was taken, or that lost its machine, to the unplaced tasks.
    pub fn return_task(&mut self, task: u32) {
        if task < self.unplaced.next_fresh && !self.done.contains(task) {
            self.unplaced.returned.insert(task);
        }
    }

    /// Marks a task as completed. Ignored if it already is, or if the job has no such task.
    pub fn mark_done(&mut self, task: u32, now: Timestamp) {
        if task < self.spec.tasks && self.done.insert(task) {
            self.unplaced.returned.remove(&task);
            self.completion.mark_dirty(task, now);
        }
    }

    /// Whether all tasks are completed. A service is never complete.
    pub fn is_complete(&self) -> bool {
        let all = self.done.len() == self.spec.tasks;
        self.spec.kind != JobKind::Service
            && (all || !self.done.is_empty() && !is_enforced(Guard::CompletionNeedsAllTasks))
    }

    /// Returns the state shown to users.
    pub fn state(&self) -> JobState {
        let running = self.placed.running_count();
        let status = match (self.cancelled, running) {
            (true, _) => JobStatus::Cancelled,
            (false, 0) => JobStatus::Queued,
            (false, _) => JobStatus::Running,
        };
        JobState { id: user::job_id(self.id.0), status, done: self.done.len(), running }
    }
}
