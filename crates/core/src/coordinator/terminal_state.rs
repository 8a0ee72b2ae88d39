//! Terminal states: the changes that write them, and the job states that users see.
use super::Coordinator;
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::ids::JobId;
use crate::jobs::{job_state, Job};
use crate::keys;
use crate::stored::TerminalState;
use crate::task_set::TASKS_PER_CHUNK;
use leaddeal_wire::state::Change;
use leaddeal_wire::user::{JobState, JobStatus};

/// Tells users that wait for a job's terminal state to try again later, since the outcome of its
/// write is not known yet.
pub(super) fn defer_requests(ctx: &mut Context, job: &mut Job) {
    for request in std::mem::take(&mut job.termination.requests) {
        ctx.reply_later(request, 503, 1);
    }
}

impl Coordinator {
    /// Returns the changes that write a job's terminal state and delete its other records; empty if
    /// the job is not known.
    pub(super) fn terminal_changes(&self, id: JobId, status: JobStatus) -> Vec<Change> {
        let Some(job) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let mut changes = vec![
            Change::Put {
                key: keys::terminal_state_key(self.shard, id),
                value: TerminalState { status, done: job.done.len() }.encode(),
                lease: None,
            },
            Change::Delete { key: keys::job_key(self.shard, id) },
        ];
        // Most jobs end before any of their completions was compacted, so no chunk needs deleting.
        if !job.completion.stored_chunks.is_empty() {
            for chunk in 0..job.spec.tasks.div_ceil(TASKS_PER_CHUNK) {
                changes.push(Change::Delete { key: keys::completion_key(self.shard, id, chunk) });
            }
        }
        changes
    }

    /// Drops a cancelled job that has no tasks left on machines; only its terminal state is kept.
    pub(super) fn drop_cancelled(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id).filter(|job| !job.is_tombstone()) else { return };
        let terminal = TerminalState { status: JobStatus::Cancelled, done: job.done.len() };
        self.terminal_jobs.insert(id, terminal);
    }

    /// Returns the state of a job as users see it; `None` if the job is not known here or its
    /// terminal state is being written.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        if let Some(terminal) = self.terminal_jobs.get(&id) {
            return Some(job_state(id, *terminal));
        }
        let job = self.jobs.get(&id)?;
        // The terminal state of a tombstone is in the store. A terminal state that is being written
        // may be in the store already, where another node may have read it and shown it to a user:
        // an answer from memory would contradict it.
        let is_current =
            job.termination.status.is_none() || !is_enforced(Guard::StateWithheldDuringTermination);
        (!job.is_tombstone() && is_current).then(|| job.state())
    }
}
