//! Puts together the next compaction.
use super::{Compaction, CompactionContents};
use crate::budget::WriteClass;
use crate::context::Context;
use crate::coordinator::Coordinator;
use crate::guards::{is_enforced, Guard};
use crate::ids::{JobId, Shard, Timestamp};
use crate::jobs::Job;
use crate::keys;
use crate::stored::CompletionRecord;
use crate::writes::PendingWrite;
use leaddeal_wire::state::Change;
use leaddeal_wire::user::JobStatus;
use std::cmp::Reverse;

/// Users expect to see a job's terminal state within this time of its completion. If one waits for
/// longer, the write budget limits submissions in favor of terminal states.
const MAX_TERMINAL_STATE_DELAY_MS: u64 = 3000;
/// Minimum time between two compactions with terminal states.
const TERMINAL_STATES_INTERVAL_MS: u64 = 300;
/// Minimum time between two compactions with completions of jobs that have tasks left.
const COMPLETIONS_INTERVAL_MS: u64 = 1200;
/// Completions of a job that has tasks left are due for compaction after this time.
const MAX_UNCOMPACTED_MS: u64 = 2500;
/// Completions of a job that has tasks left are due at once if there are this many.
const MAX_UNCOMPACTED_ATTEMPTS: usize = 60;
/// A job with more changes than fit into a transaction is written in a transaction of its own if
/// the write budget has at least this many changes available.
const MIN_CHANGES_OF_LARGE_JOB: usize = 2;
/// Fewer deletions than this wait for a compaction that has other changes.
const MIN_DELETIONS_ALONE: usize = 8;
/// No further job is added to a compaction with more than this many bytes of bitmaps.
const MAX_COMPLETION_BYTES: usize = 40_000;

/// A compaction that is being put together.
#[derive(Debug, Default)]
struct Draft {
    changes: Vec<Change>,
    contents: CompactionContents,
}

impl Draft {
    /// Adds the terminal state of a complete job; `changes` write it.
    fn add_terminal_state(&mut self, job: &mut Job, changes: Vec<Change>) {
        job.termination.status = Some(JobStatus::Done);
        let completed = std::mem::take(&mut job.completion.uncompacted);
        self.contents.completed.push((job.id, completed));
        self.contents.complete_jobs.push(job.id);
        self.changes.extend(changes);
    }

    /// Adds the completions of a job that has tasks left; returns the size of their bitmaps in
    /// bytes.
    fn add_completions(&mut self, shard: Shard, job: &mut Job) -> usize {
        let mut bytes = 0;
        job.completion.uncompacted_since = None;
        let chunks: Vec<u32> =
            std::mem::take(&mut job.completion.dirty_chunks).into_iter().collect();
        for &chunk in &chunks {
            job.completion.stored_chunks.entry(chunk).or_insert(0);
            let bitmap = job.done.encode_chunk(chunk);
            bytes += bitmap.len();
            let key = keys::completion_key(shard, job.id, chunk);
            let value = CompletionRecord(&bitmap).encode();
            self.changes.push(Change::Put { key, value, lease: None });
        }
        self.contents.chunks.push((job.id, chunks));
        let completed = std::mem::take(&mut job.completion.uncompacted);
        self.contents.completed.push((job.id, completed));
        bytes
    }
}

impl Coordinator {
    /// Returns the next compaction; `None`: there is nothing to write, or it is not due yet.
    pub(super) fn next_compaction(&mut self, ctx: &mut Context) -> Option<Compaction> {
        let mut draft = Draft::default();
        self.draft_terminal_states(ctx, &mut draft);
        let terminal_changes = draft.changes.len();
        self.draft_completions(ctx, &mut draft);
        let completion_changes = draft.changes.len() - terminal_changes;
        self.draft_deletions(ctx, &mut draft);
        let Draft { changes, contents } = draft;
        if changes.is_empty() {
            return None;
        }
        if terminal_changes > 0 {
            self.compaction.next_terminal_states_at = ctx.now + TERMINAL_STATES_INTERVAL_MS;
        }
        let write = self
            .fenced_write(WriteClass::TerminalState, changes)
            .with_changes_of_class(WriteClass::Completion, completion_changes)
            .with_changes_of_class(WriteClass::Deferrable, contents.deleted_decisions.len());
        Some(Compaction { write: self.with_idempotency_key(write, &contents), contents })
    }

    /// Makes the write conditional on the version of the first record that it writes, so that it is
    /// executed at most once. A late copy must neither overwrite newer completions nor create a
    /// record that was deleted: without the condition, compactions without an answer were abandoned
    /// for newer ones, and a late copy of them undid the newer ones.
    fn with_idempotency_key(
        &self,
        write: PendingWrite,
        contents: &CompactionContents,
    ) -> PendingWrite {
        let (key, version) = if let Some(id) = contents.complete_jobs.first() {
            (keys::terminal_state_key(self.shard, *id), 0)
        } else if let Some((id, chunk)) = contents.first_chunk() {
            let job = self.jobs.get(&id);
            let version = job.and_then(|job| job.completion.stored_chunks.get(&chunk).copied());
            (keys::completion_key(self.shard, id, chunk), version.unwrap_or(0))
        } else {
            return write;
        };
        if is_enforced(Guard::CompactionWrittenOnce) {
            write.with_idempotency_key(key, version)
        } else {
            write
        }
    }

    /// Adds terminal states, of the jobs that have been complete for the longest first.
    fn draft_terminal_states(&mut self, ctx: &mut Context, draft: &mut Draft) {
        // The budget counts each query as demand, so query it only if there is something to write.
        let has_none = self.compaction.complete_jobs.is_empty();
        if has_none || ctx.now < self.compaction.next_terminal_states_at {
            return;
        }
        let max_changes = ctx.config.txn_ops.min(ctx.budget.available(WriteClass::TerminalState));
        let mut complete: Vec<(Timestamp, JobId)> =
            self.compaction.complete_jobs.iter().map(|(id, since)| (*since, *id)).collect();
        complete.sort_unstable();
        let oldest = complete.first();
        if oldest.is_some_and(|(since, _)| ctx.now >= since + MAX_TERMINAL_STATE_DELAY_MS) {
            ctx.budget.on_terminal_states_delayed(ctx.now);
        }
        for (_, id) in complete {
            let changes = self.terminal_changes(id, JobStatus::Done);
            // The largest job has more chunks than the smallest transaction limit allows changes,
            // so it would never fit. Written alone, a job may exceed the available changes.
            let fits = draft.changes.len() + changes.len() <= max_changes;
            let may_exceed = draft.changes.is_empty() && max_changes >= MIN_CHANGES_OF_LARGE_JOB;
            if !fits && !may_exceed {
                break;
            }
            self.compaction.complete_jobs.remove(&id);
            self.compaction.dirty_jobs.remove(&id);
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            // The job was cancelled in the meantime, and `Cancelled` is its terminal state.
            if job.cancelled || job.termination.status == Some(JobStatus::Cancelled) {
                continue;
            }
            draft.add_terminal_state(job, changes);
        }
    }

    /// Adds completions of jobs that have tasks left, of the jobs with the most attempts to
    /// acknowledge first.
    fn draft_completions(&mut self, ctx: &mut Context, draft: &mut Draft) {
        if ctx.now < self.compaction.next_completions_at
            || (self.compaction.dirty_jobs.is_empty() && self.decision_log.pending_deletions() == 0)
        {
            return;
        }
        self.compaction.next_completions_at = ctx.now + COMPLETIONS_INTERVAL_MS;
        let left = ctx.config.txn_ops.saturating_sub(draft.changes.len());
        let max_changes =
            draft.changes.len() + left.min(ctx.budget.available(WriteClass::Completion));
        let mut bytes = 0;
        for id in self.jobs_to_compact(ctx.now) {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let fits = draft.changes.len() + job.completion.dirty_chunks.len() <= max_changes;
            if !fits || bytes > MAX_COMPLETION_BYTES {
                break;
            }
            self.compaction.dirty_jobs.remove(&id);
            bytes += draft.add_completions(self.shard, job);
        }
    }

    /// Returns the jobs whose completions are due, those with the most attempts to acknowledge
    /// first.
    fn jobs_to_compact(&mut self, now: Timestamp) -> Vec<JobId> {
        let mut due: Vec<(Reverse<usize>, JobId)> = Vec::new();
        let jobs = &self.jobs;
        self.compaction.dirty_jobs.retain(|id| {
            let job = jobs
                .get(id)
                .filter(|job| !job.completion.dirty_chunks.is_empty() && !job.cancelled);
            let Some(job) = job else { return false };
            let attempts = job.completion.uncompacted.len();
            let since = job.completion.uncompacted_since;
            let is_late = since.is_some_and(|since| now >= since + MAX_UNCOMPACTED_MS);
            // The terminal state of a job that is ending makes this write unnecessary.
            let is_unfinished = job.termination.status.is_none() && !job.is_complete();
            if (is_late || attempts >= MAX_UNCOMPACTED_ATTEMPTS) && is_unfinished {
                due.push((Reverse(attempts), *id));
            }
            true
        });
        due.sort_unstable();
        due.into_iter().map(|(_, id)| id).collect()
    }

    /// Adds deletions of decision records that no placement depends on. Without other changes in
    /// the draft, fewer than [`MIN_DELETIONS_ALONE`] are left for a later compaction.
    fn draft_deletions(&mut self, ctx: &mut Context, draft: &mut Draft) {
        let left = ctx.config.txn_ops.saturating_sub(draft.changes.len());
        let max_deletions = left.min(ctx.budget.available(WriteClass::Deferrable));
        let is_alone = draft.changes.is_empty();
        if is_alone
            && self.decision_log.pending_deletions().min(max_deletions) < MIN_DELETIONS_ALONE
        {
            return;
        }
        let keys = self.decision_log.take_deletions(max_deletions);
        draft.changes.extend(keys.iter().map(|key| Change::Delete { key: key.clone() }));
        draft.contents.deleted_decisions = keys;
    }
}
