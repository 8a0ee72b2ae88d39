//! Terminal states: what is written of a job that is over, and what users see of it.
use super::Coordinator;
use crate::context::Context;
use crate::guards::{holds, Guard};
use crate::ids::JobId;
use crate::jobs::{job_state, Job};
use crate::keys;
use crate::stored::TerminalState;
use crate::task_set::TASKS_PER_CHUNK;
use leaddeal_wire::state::Change;
use leaddeal_wire::user::{JobState, JobStatus};

/// Tells users that wait for a job's terminal state to ask again: the outcome of its write is not
/// known yet.
pub(super) fn defer_requests(ctx: &mut Context, job: &mut Job) {
    for request in std::mem::take(&mut job.termination.requests) {
        ctx.reply_later(request, 503, 1);
    }
}

impl Coordinator {
    /// The changes that write a job's terminal state and delete its other records; none if the job
    /// is not known.
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
        // Most jobs are over before any completion of them was compacted: there is nothing to delete.
        if !job.completion.stored_chunks.is_empty() {
            for chunk in 0..job.wire.tasks.div_ceil(TASKS_PER_CHUNK) {
                changes.push(Change::Delete { key: keys::completion_key(self.shard, id, chunk) });
            }
        }
        changes
    }

    /// A cancelled job without tasks left: only its terminal state remains.
    pub(super) fn drop_cancelled(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id).filter(|job| !job.is_tombstone()) else { return };
        let terminal = TerminalState { status: JobStatus::Cancelled, done: job.done.len() };
        self.closed.insert(id, terminal);
    }

    /// What users see of a job; none if it is not known here, or is just being terminated.
    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(terminal) = self.closed.get(&id) {
            return Some(job_state(id, *terminal));
        }
        let job = self.jobs.get(&id)?;
        // A tombstone stands for a job whose terminal state is in the store. And a terminal state that
        // is being written may be there already, and a controller that read it may have told it.
        let may_tell = job.termination.status.is_none() || !holds(Guard::Finishing);
        (!job.is_tombstone() && may_tell).then(|| job.state())
    }
}
