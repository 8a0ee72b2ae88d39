//! Completed tasks of a job on their way into the store.
//!
//! Completions are written as compactions: bitmaps of completed tasks, a chunk of tasks a record.
//! A worker may forget a completed attempt only once its completion is durable.
use crate::ids::{Attempt, MachineIdx, Timestamp};
use crate::task_set::TASKS_PER_CHUNK;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that completed its task, and what has to be released once that is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedAttempt {
    /// The task that it completed.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// The machine that it ran on, which is to be told to forget it.
    pub machine: MachineIdx,
    /// Number of the decision that holds its placement.
    pub round: u64,
}

/// Which completions of a job are in the store, and which are still to be written.
#[derive(Debug, Default)]
pub struct CompletionProgress {
    /// Chunks with completed tasks that are not in the store.
    pub(crate) dirty_chunks: BTreeSet<u32>,
    /// Since when there is a completed task that is not in the store.
    pub(crate) uncompacted_since: Option<Timestamp>,
    /// Chunks that are in the store, or may be, with the version that was last reported for them;
    /// 0: perhaps not there.
    pub(crate) stored_chunks: BTreeMap<u32, u64>,
    /// Completed attempts to be acknowledged to their machines once they are durable.
    pub(crate) uncompacted: Vec<CompletedAttempt>,
}

impl CompletionProgress {
    /// A task was completed at `now`: its chunk has to be written.
    pub(super) fn mark_dirty(&mut self, task: u32, now: Timestamp) {
        self.uncompacted_since.get_or_insert(now);
        self.dirty_chunks.insert(task / TASKS_PER_CHUNK);
    }
}
