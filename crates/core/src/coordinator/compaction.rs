//! Compactions: transactions that make completions and terminal states durable.
//!
//! A compaction has up to three parts, each counted against its own class of the write budget:
//! terminal states of jobs whose tasks are all done, bitmaps of the completed tasks of other jobs,
//! and deletions of decision records that no placement depends on any more. At most one compaction
//! is in flight.
use super::Coordinator;
use crate::context::{Context, Operation};
use crate::ids::{Attempt, JobId, Timestamp};
use crate::jobs::CompletedAttempt;
use crate::writes::PendingWrite;
use std::collections::{BTreeMap, BTreeSet};

mod draft;
mod outcome;

/// The jobs to compact, and the compaction in flight.
#[derive(Debug, Default)]
pub(super) struct CompactionState {
    /// Jobs whose tasks are all done but whose terminal state is not written, with the time since
    /// when they wait.
    pub(super) complete_jobs: BTreeMap<JobId, Timestamp>,
    /// Jobs with tasks left that have completions which are not in the store.
    pub(super) dirty_jobs: BTreeSet<JobId>,
    in_flight: Option<Compaction>,
    next_terminal_states_at: Timestamp,
    next_completions_at: Timestamp,
}

/// A compaction whose outcome is not known yet.
#[derive(Debug)]
struct Compaction {
    write: PendingWrite,
    contents: CompactionContents,
}

/// What a compaction makes durable.
#[derive(Debug, Default)]
struct CompactionContents {
    /// Jobs whose terminal state is written.
    complete_jobs: Vec<JobId>,
    /// Chunks of the bitmap of completed tasks that are written, by job.
    chunks: Vec<(JobId, Vec<u32>)>,
    /// Attempts to acknowledge to participants once the compaction is durable.
    completed: Vec<(JobId, Vec<CompletedAttempt>)>,
    /// Keys of decision records that are deleted.
    deleted_decisions: Vec<String>,
}

impl CompactionState {
    pub(super) fn is_in_flight(&self) -> bool {
        self.in_flight.is_some()
    }

    /// Whether the compaction in flight makes this attempt's completion durable.
    pub(super) fn is_compacting(&self, id: JobId, task: u32, attempt: Attempt) -> bool {
        let Some(compaction) = &self.in_flight else { return false };
        let of_job = compaction.contents.completed.iter().filter(|(job, _)| *job == id);
        of_job
            .flat_map(|(_, completed)| completed)
            .any(|completed| completed.task == task && completed.attempt == attempt)
    }
}

impl CompactionContents {
    fn first_chunk(&self) -> Option<(JobId, u32)> {
        self.chunks.iter().find_map(|(id, chunks)| Some((*id, *chunks.first()?)))
    }
}

impl Coordinator {
    /// Starts the next compaction, or retries the one in flight if a retry is due.
    pub(super) fn compact(&mut self, ctx: &mut Context) {
        if !self.is_ready() || !ctx.lease_valid {
            return;
        }
        if !self.compaction.is_in_flight() {
            self.compaction.in_flight = self.next_compaction(ctx);
        }
        let Some(compaction) = self.compaction.in_flight.as_mut() else { return };
        if let Some(call) = compaction.write.next_call(ctx.now, ctx.budget) {
            ctx.call_store(
                Operation::WriteCompaction { shard: self.shard, epoch: self.epoch },
                call,
            );
        }
    }
}
