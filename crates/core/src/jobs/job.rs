//! One job: its tasks from submission to completion.
use super::backoff::{PlacementBackoff, RequestOutcome};
use super::wire_shape;
use super::{CompletionProgress, FailureSuspicion, Objectives, Termination};
use crate::guards::{holds, Guard};
use crate::ids::{JobId, Timestamp, ZoneIdx};
use crate::names::{Names, Shape};
use crate::placed::Placed;
use crate::task_set::TaskSet;
use leaddeal_wire::user::{self, JobKind, JobState, JobStatus};
use std::collections::BTreeSet;
use std::sync::Arc;

/// A job array, gang or service, with the progress of its tasks.
///
/// Invariant: a task is done, placed, being decided, or still to be placed; never two of these.
/// [`Job::pending`] counts those being decided as still to be placed.
#[derive(Debug)]
pub struct Job {
    /// Its number, unique in the cluster.
    pub id: JobId,
    /// The job as its user submitted it.
    pub wire: user::Job,
    /// What a task of it takes.
    pub shape: Shape,
    /// When it was submitted; before this process began, perhaps.
    pub created: Timestamp,
    /// Latest starts that meet its objectives, in milliseconds from the submission, ascending.
    pub(super) latest_starts_ms: Vec<f64>,

    /// When a task of it was first known to run, by this owner of its shard.
    pub first_started_at: Option<Timestamp>,
    /// Completed tasks.
    pub done: TaskSet,
    /// Tasks that are or may be on machines.
    pub placed: Placed,
    unplaced: UnplacedTasks,

    /// Not requested before this time.
    pub not_before: Timestamp,
    pub(super) backoff: PlacementBackoff,
    /// Why its last request placed nothing; none: it placed something, or there was none.
    pub last_request: Option<RequestOutcome>,
    /// Counts up to which participant is to preempt for it, one at a time; none: capacity was not
    /// short.
    pub preemption_turn: Option<u32>,
    /// When a participant last said that it preempts for it.
    pub preempting_at: Option<Timestamp>,
    /// The zone in which a gang waits for capacity.
    pub target_zone: Option<ZoneIdx>,
    /// Failures since anything of it last ran well.
    pub failure_suspicion: FailureSuspicion,

    /// Completed tasks on their way into the store.
    pub completion: CompletionProgress,

    /// The terminal state that is being written.
    pub termination: Termination,
    /// Its cancellation is durable and answered: no task of it may start any more.
    pub cancelled: bool,
}

/// Tasks that are still to be placed.
#[derive(Debug, Default)]
struct UnplacedTasks {
    /// This task and all after it were never taken.
    next_fresh: u32,
    /// Tasks before it that were put back.
    returned: BTreeSet<u32>,
}

impl Job {
    /// A job none of whose tasks is placed or done yet.
    pub fn new(
        id: JobId,
        wire: user::Job,
        shape: Shape,
        created: Timestamp,
        objectives: &Objectives,
    ) -> Job {
        Job {
            id,
            shape,
            created,
            latest_starts_ms: objectives.latest_starts_ms(&wire),
            wire,
            first_started_at: None,
            done: TaskSet::default(),
            placed: Placed::default(),
            unplaced: UnplacedTasks::default(),
            not_before: 0,
            backoff: PlacementBackoff::default(),
            last_request: None,
            preemption_turn: None,
            preempting_at: None,
            target_zone: None,
            failure_suspicion: FailureSuspicion::default(),
            completion: CompletionProgress::default(),
            termination: Termination::default(),
            cancelled: false,
        }
    }

    /// Stands for a job whose terminal state is in the store while tasks of it may still be on
    /// machines. It counts as cancelled, and what its user submitted is not known.
    pub fn tombstone(id: JobId, names: &mut Names) -> Job {
        let wire = user::Job {
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
        let shape = names.shape(&Arc::new(wire_shape(&wire)));
        let mut job = Job::new(id, wire, shape, 0, &Objectives::default());
        job.cancelled = true;
        job
    }

    /// Made by [`Job::tombstone`]: submitted jobs have a class.
    pub fn is_tombstone(&self) -> bool {
        self.wire.class.is_empty()
    }

    /// How many tasks are neither done nor placed.
    pub fn pending(&self) -> u32 {
        self.wire.tasks - self.done.len() - self.placed.len()
    }

    /// Gangs start whole, and a suspected job in one place at a time.
    pub fn may_start(&self) -> bool {
        self.placed.is_empty()
            || (self.wire.kind != JobKind::Gang && !self.failure_suspicion.is_suspected())
    }

    /// Takes the next task to be placed.
    pub fn take(&mut self) -> Option<u32> {
        if let Some(task) = self.unplaced.returned.pop_first() {
            return Some(task);
        }
        while self.unplaced.next_fresh < self.wire.tasks {
            let task = self.unplaced.next_fresh;
            self.unplaced.next_fresh += 1;
            if !self.done.contains(task) && self.placed.get(task).is_none() {
                return Some(task);
            }
        }
        None
    }

    /// Puts a task back that was taken or has lost its machine.
    pub fn give_back(&mut self, task: u32) {
        if task < self.unplaced.next_fresh && !self.done.contains(task) {
            self.unplaced.returned.insert(task);
        }
    }

    /// A task was completed; ignored if it was already, or if the job has no such task.
    pub fn set_done(&mut self, task: u32, now: Timestamp) {
        if task < self.wire.tasks && self.done.insert(task) {
            self.unplaced.returned.remove(&task);
            self.completion.mark_dirty(task, now);
        }
    }

    /// All tasks are done. A service never is.
    pub fn complete(&self) -> bool {
        let all = self.done.len() == self.wire.tasks;
        self.wire.kind != JobKind::Service
            && (all || !self.done.is_empty() && !holds(Guard::AllDone))
    }

    /// What users see of it.
    pub fn state(&self) -> JobState {
        let running = self.placed.running();
        let status = match (self.cancelled, running) {
            (true, _) => JobStatus::Cancelled,
            (false, 0) => JobStatus::Queued,
            (false, _) => JobStatus::Running,
        };
        JobState { id: user::job_id(self.id.0), status, done: self.done.len(), running }
    }
}
