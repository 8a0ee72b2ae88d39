//! The jobs of a shard: what is done, placed and still to be placed.
//!
//! - [`Job`]: one job and its tasks, from submission to its terminal state;
//! - `backoff`: when tasks that no machine had capacity for are requested again;
//! - `zones`: how many tasks each zone may take, and the zone that a gang waits for;
//! - [`Objectives`] and [`Urgency`]: service-level objectives, and the order that follows from them;
//! - [`FailureSuspicion`]: whether a job fails on whatever machine it is tried;
//! - [`CompletionProgress`]: completed tasks on their way into the store;
//! - [`Termination`]: the job's way to its terminal state.
use crate::ids::JobId;
use crate::stored::TerminalState;
use leaddeal_wire::mesh;
use leaddeal_wire::user::{self, JobState};

mod backoff;
mod completion;
mod failure_suspicion;
mod job;
mod objectives;
mod termination;
mod urgency;
mod zones;

pub use backoff::RequestOutcome;
pub use completion::{CompletedAttempt, CompletionProgress};
pub use failure_suspicion::FailureSuspicion;
pub use job::Job;
pub use objectives::Objectives;
pub use termination::Termination;
pub use urgency::Urgency;

/// What users see of a job that is in a terminal state.
pub fn job_state(id: JobId, terminal: TerminalState) -> JobState {
    JobState { id: user::job_id(id.0), status: terminal.status, done: terminal.done, running: 0 }
}

/// What participants need to know of a job to place a task of it: resources in thousandths of
/// processors and GPUs and in MB, rounded up.
pub fn wire_shape(job: &user::Job) -> mesh::Shape {
    let round_up = |amount: f64| (amount * 1000.0 - 1e-6).ceil().max(0.0) as u64;
    mesh::Shape {
        kind: job.kind,
        priority: job.priority,
        cpu: round_up(job.cpus),
        gpu: round_up(job.gpus),
        mem: round_up(job.memory_gb),
        types: job.types.clone(),
        spot: job.spot,
        image: job.image.clone(),
        image_gb: job.image_gb,
        save_s: job.save_s,
        checkpoint_s: job.checkpoint_s,
        estimate_s: job.estimate_s,
    }
}

#[cfg(test)]
mod tests;
