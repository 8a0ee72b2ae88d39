//! Completed tasks of a job that are being written to the store.
//!
//! Completions are written as compactions: bitmaps of completed tasks, with one record for each
//! chunk of tasks. A worker may forget a completed attempt only after its completion is durable.
use crate::ids::{Attempt, MachineIdx, Timestamp};
use crate::task_set::TASKS_PER_CHUNK;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that completed its task, and what has to be released after its completion is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompletedAttempt {
    /// The completed task.
    pub task: u32,
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The machine that the attempt ran on, whose worker is told to forget it.
    pub machine: MachineIdx,
    /// The number of the decision that contains the attempt's placement.
    pub round: u64,
}

/// Which completions of a job are in the store, and which have yet to be written.
#[derive(Debug, Default)]
pub struct CompletionProgress {
    /// Chunks with completed tasks that are not yet in the store.
    pub(crate) dirty_chunks: BTreeSet<u32>,
    /// Since when there has been a completed task that is not in the store; `None`: there is none.
    pub(crate) uncompacted_since: Option<Timestamp>,
    /// Chunks that are in the store, or may be, with the last known version of their records; 0:
    /// the record may not exist.
    pub(crate) stored_chunks: BTreeMap<u32, u64>,
    /// Completed attempts that are acknowledged to their machines after their completion is
    /// durable.
    pub(crate) uncompacted: Vec<CompletedAttempt>,
}

impl CompletionProgress {
    /// Marks the chunk of a task that was completed at `now` as to be written.
    pub(super) fn mark_dirty(&mut self, task: u32, now: Timestamp) {
        self.uncompacted_since.get_or_insert(now);
        self.dirty_chunks.insert(task / TASKS_PER_CHUNK);
    }
}
