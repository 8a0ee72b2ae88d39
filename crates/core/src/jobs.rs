//! The jobs of a shard, with their completed, placed and pending tasks.
//!
//! - [`Job`]: one job and its tasks, from submission to its terminal state;
//! - `backoff`: when placement is retried for tasks that no machine had capacity for;
//! - `zones`: how many tasks each zone may run, and the zone in which a gang waits;
//! - [`Objectives`] and [`Urgency`]: service-level objectives, and the order that follows from
//!   them;
//! - [`FailureSuspicion`]: whether a job fails on every machine that it is tried on;
//! - [`CompletionProgress`]: completed tasks that are being written to the store;
//! - [`Termination`]: a terminal state that is being written.
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

/// Returns the state shown to users for a job in a terminal state.
pub fn job_state(id: JobId, terminal: TerminalState) -> JobState {
    JobState { id: user::job_id(id.0), status: terminal.status, done: terminal.done, running: 0 }
}

/// Returns what participants need to know of a job to place its tasks. Resources are in thousandths
/// of processors and GPUs and in MB, rounded up.
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
