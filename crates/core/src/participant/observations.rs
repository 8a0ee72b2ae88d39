//! What a heartbeat shows about the tasks on a machine: images that are in use, failures and successes.
use crate::ids::{JobId, Timestamp};
use crate::machine::{AttemptKey, CachedImage, Machine};
use crate::names::Shape;
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::{ExitReason, TaskState};

/// A task of a service or with GPUs counts as a success of its job once it has run for this long, in ms.
const SUCCESS_AFTER_MS: u64 = 30_000;

/// What a heartbeat shows about the tasks on a machine.
#[derive(Debug, Default)]
pub(super) struct Observations {
    /// Images of tasks that are waiting or running, or that completed since the previous heartbeat.
    pub(super) images: Vec<CachedImage>,
    /// Jobs of which a task failed since the previous heartbeat.
    pub(super) failed: Vec<JobId>,
    /// Jobs of which a task completed since the previous heartbeat, or has run for
    /// `SUCCESS_AFTER_MS`.
    pub(super) succeeded: Vec<JobId>,
    /// Whether any attempt ended since the previous heartbeat.
    pub(super) has_ended_attempt: bool,
    /// Whether the worker refused a task because the machine lacks the free resources.
    pub(super) lacked_resources: bool,
}

impl Observations {
    /// Collects the observations from a machine to which the heartbeat was applied. `ended_before`
    /// lists the attempts that were over before the heartbeat, in ascending order.
    pub(super) fn of(
        machine: &Machine,
        ended_before: &[AttemptKey],
        now: Timestamp,
    ) -> Observations {
        let mut observed = Observations::default();
        for (key, task) in &machine.tasks {
            if let (Some(shape), TaskPhase::On(TaskState::Running | TaskState::Waiting)) =
                (&task.shape, task.phase)
            {
                observed.images.push(image_of(shape));
                let has_run_long =
                    task.running_since.is_some_and(|at| now >= at + SUCCESS_AFTER_MS);
                if shape.is_long_running() && has_run_long {
                    observed.succeeded.push(key.job);
                }
            }
            if ended_before.binary_search(key).is_err() {
                observed.has_ended_attempt |= task.is_over();
                observed.record_exit(key.job, task.shape.as_ref(), task.phase);
            }
        }
        observed.images.dedup_by_key(|cached| cached.image);
        observed
    }

    fn record_exit(&mut self, job: JobId, shape: Option<&Shape>, phase: TaskPhase) {
        match phase {
            TaskPhase::Exited(ExitReason::Error | ExitReason::Other, _) => self.failed.push(job),
            TaskPhase::Exited(ExitReason::Done, _) => {
                self.succeeded.push(job);
                self.images.extend(shape.map(image_of));
            }
            TaskPhase::Exited(ExitReason::InsufficientResources, _) => self.lacked_resources = true,
            _ => {}
        }
    }
}

fn image_of(shape: &Shape) -> CachedImage {
    CachedImage { image: shape.image, size_gb: shape.wire.image_gb }
}
