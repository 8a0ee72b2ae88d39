//! Handles the outcome of a compaction: acknowledges attempts and answers users if it was executed,
//! and queues its contents again if it was not.
use super::CompactionContents;
use crate::context::Context;
use crate::coordinator::terminal_state::defer_requests;
use crate::coordinator::{Coordinator, Ownership};
use crate::ids::{JobId, Shard};
use crate::io::StoreResult;
use crate::jobs::{job_state, CompletedAttempt};
use crate::stored::TerminalState;
use crate::writes::WriteOutcome;
use leaddeal_wire::mesh::{AttemptRef, ShardMessage};
use leaddeal_wire::user::JobStatus;
use std::collections::BTreeMap;

/// Delay before the contents of a compaction that the store refused are written again.
const RETRY_DELAY_MS: u64 = 500;
/// Maximum number of attempts that one message acknowledges.
const MAX_ATTEMPTS_PER_MESSAGE: usize = 200;

impl Coordinator {
    /// Handles the result of the compaction's transaction.
    pub fn on_compaction_result(&mut self, ctx: &mut Context, result: &StoreResult) -> Ownership {
        let Some(mut compaction) = self.compaction.in_flight.take() else {
            return Ownership::Kept;
        };
        match compaction.write.on_result(ctx.now, result) {
            WriteOutcome::Committed(revision) => {
                self.compaction_committed(ctx, revision, compaction.contents);
            }
            WriteOutcome::NotCommitted => self.compaction_refused(ctx, compaction.contents),
            WriteOutcome::Pending => {
                self.defer_terminal_answers(ctx, &compaction.contents);
                self.compaction.in_flight = Some(compaction);
            }
            WriteOutcome::Fenced => return Ownership::Lost,
        }
        Ownership::Kept
    }

    /// Tells users that wait for one of these terminal states to try again later: the outcome is
    /// unknown for as long as the store does not answer.
    fn defer_terminal_answers(&mut self, ctx: &mut Context, contents: &CompactionContents) {
        for id in &contents.complete_jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                defer_requests(ctx, job);
            }
        }
    }

    fn compaction_committed(
        &mut self,
        ctx: &mut Context,
        revision: u64,
        contents: CompactionContents,
    ) {
        for (id, chunks) in contents.chunks {
            if let Some(job) = self.jobs.get_mut(&id) {
                let versions = chunks.into_iter().map(|chunk| (chunk, revision));
                job.completion.stored_chunks.extend(versions);
            }
        }
        for (id, completed) in contents.completed {
            self.acknowledge(ctx, id, completed);
        }
        for id in contents.complete_jobs {
            let Some(job) = self.jobs.remove(&id) else { continue };
            let terminal = TerminalState { status: JobStatus::Done, done: job.done.len() };
            for request in job.termination.requests {
                ctx.reply_state(request, 200, job_state(id, terminal));
            }
            self.terminal_jobs.insert(id, terminal);
        }
    }

    /// Queues the contents of a compaction that was certainly not executed to be written again.
    fn compaction_refused(&mut self, ctx: &mut Context, contents: CompactionContents) {
        self.compaction.next_completions_at = ctx.now + RETRY_DELAY_MS;
        self.compaction.next_terminal_states_at = ctx.now + RETRY_DELAY_MS;
        self.decision_log.delete_again(contents.deleted_decisions);
        for (id, chunks) in contents.chunks {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.completion.dirty_chunks.extend(chunks);
                job.completion.uncompacted_since.get_or_insert(ctx.now);
                self.compaction.dirty_jobs.insert(id);
            }
        }
        for (id, completed) in contents.completed {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.completion.uncompacted.extend(completed);
            }
        }
        // `termination.status` stays set: the terminal state of these jobs is still to be written.
        let complete = contents.complete_jobs.into_iter().map(|id| (id, ctx.now));
        self.compaction.complete_jobs.extend(complete);
    }

    /// Acknowledges attempts whose completions are durable or do not count any more: participants
    /// may forget them, and the records of the decisions that placed them may be deleted.
    pub(in crate::coordinator) fn acknowledge(
        &mut self,
        ctx: &mut Context,
        id: JobId,
        completed: Vec<CompletedAttempt>,
    ) {
        let mut by_shard: BTreeMap<Shard, Vec<AttemptRef>> = BTreeMap::new();
        for CompletedAttempt { task, attempt, machine, round } in completed {
            self.decision_log.end_placement(round);
            let machine = ctx.names.machine_name(machine).to_string();
            let shard = ctx.shard_of_machine(&machine);
            let what =
                AttemptRef { job: id.0, task, attempt: attempt.0, machine, incarnation: None };
            by_shard.entry(shard).or_default().push(what);
        }
        for (shard, attempts) in by_shard {
            for chunk in attempts.chunks(MAX_ATTEMPTS_PER_MESSAGE) {
                ctx.send(self.shard, shard, ShardMessage::Forget { what: chunk.to_vec() });
            }
        }
    }
}
