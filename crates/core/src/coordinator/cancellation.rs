//! Cancellations: each is written to the store, retried until its outcome is known, then answered.
use super::terminal_state::defer_requests;
use super::{Coordinator, Ownership};
use crate::budget::WriteClass;
use crate::context::{Context, Operation};
use crate::guards::{is_enforced, Guard};
use crate::ids::JobId;
use crate::io::{RequestId, StoreResult};
use crate::jobs::{job_state, Job};
use crate::keys;
use crate::stored::TerminalState;
use crate::writes::{PendingWrite, WriteOutcome};
use leaddeal_wire::user::JobStatus;

/// Delay before a cancellation that the store refused is retried.
const RETRY_DELAY_MS: u64 = 500;
/// Further requests to cancel a job are refused while more than this many wait.
const MAX_WAITING_REQUESTS: usize = 100;

/// Answers before the write, as the code would without the guard `CancellationDurableBeforeAck`.
fn answer_before_durable(ctx: &mut Context, id: JobId, job: &mut Job) {
    let terminal = TerminalState { status: JobStatus::Cancelled, done: job.done.len() };
    for request in std::mem::take(&mut job.termination.requests) {
        ctx.reply_state(request, 200, job_state(id, terminal));
    }
}

impl Coordinator {
    /// Cancels a job for a user, who is answered once the cancellation is durable. Returns false if
    /// the job is not known here.
    pub fn cancel(&mut self, ctx: &mut Context, request: RequestId, id: JobId) -> bool {
        if let Some(terminal) = self.terminal_jobs.get(&id) {
            ctx.reply_state(request, 200, job_state(id, *terminal));
            return true;
        }
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_tombstone()) else {
            return false;
        };
        if job.cancelled {
            let state = job.state();
            ctx.reply_state(request, 200, state);
            return true;
        }
        if job.termination.requests.len() > MAX_WAITING_REQUESTS {
            ctx.reply_later(request, 503, 1);
            return true;
        }
        job.termination.requests.push(request);
        if !is_enforced(Guard::CancellationDurableBeforeAck) {
            answer_before_durable(ctx, id, job);
        }
        if job.termination.status.is_none() && !job.is_complete() {
            job.termination.status = Some(JobStatus::Cancelled);
            self.cancelling.insert(id);
            self.write_cancellations(ctx);
        }
        true
    }

    /// Sends the cancellations for which a first try or a retry is due to the store.
    pub(super) fn write_cancellations(&mut self, ctx: &mut Context) {
        if !ctx.lease_valid {
            return;
        }
        for id in self.cancelling.iter().copied().collect::<Vec<_>>() {
            self.write_cancellation(ctx, id);
        }
    }

    fn write_cancellation(&mut self, ctx: &mut Context, id: JobId) {
        let in_flight = self.jobs.get_mut(&id).and_then(|job| job.termination.write.take());
        let mut write = in_flight.unwrap_or_else(|| self.new_cancellation(id));
        let call = write.next_call(ctx.now, ctx.budget);
        let Some(job) = self.jobs.get_mut(&id) else {
            self.cancelling.remove(&id);
            return;
        };
        job.termination.write = Some(write);
        if let Some(call) = call {
            ctx.horizons.on_cancelled(self.shard, self.epoch, id, ctx.now);
            let operation =
                Operation::WriteCancellation { shard: self.shard, epoch: self.epoch, job: id };
            ctx.call_store(operation, call);
        }
    }

    fn new_cancellation(&self, id: JobId) -> PendingWrite {
        let changes = self.terminal_changes(id, JobStatus::Cancelled);
        let write = self.fenced_write(WriteClass::Cancellation, changes);
        if is_enforced(Guard::CancellationWrittenOnce) {
            write.with_idempotency_key(keys::terminal_state_key(self.shard, id), 0)
        } else {
            write
        }
    }

    /// Handles the result of the transaction that cancels a job.
    pub fn on_cancellation_result(
        &mut self,
        ctx: &mut Context,
        id: JobId,
        result: &StoreResult,
    ) -> Ownership {
        let Some(job) = self.jobs.get_mut(&id) else { return Ownership::Kept };
        let Some(write) = job.termination.write.as_mut() else { return Ownership::Kept };
        // A transaction without an answer may have been executed all the same. Until its outcome is
        // known, no further task of the job is started and its state is not reported. The tick
        // retries the write.
        match write.on_result(ctx.now, result) {
            WriteOutcome::Committed(_) => self.cancellation_committed(ctx, id),
            WriteOutcome::Fenced => return Ownership::Lost,
            WriteOutcome::NotCommitted => {
                write.resend_at(ctx.now + RETRY_DELAY_MS);
                defer_requests(ctx, job);
            }
            WriteOutcome::Pending => defer_requests(ctx, job),
        }
        Ownership::Kept
    }

    fn cancellation_committed(&mut self, ctx: &mut Context, id: JobId) {
        self.cancelling.remove(&id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.termination.status = None;
        job.termination.write = None;
        job.cancelled = true;
        // Completions of a cancelled job do not count any more, so participants may forget them.
        let completed = std::mem::take(&mut job.completion.uncompacted);
        job.placed.kill_all();
        self.unsettled_jobs.insert(id);
        let state = job.state();
        let nothing_placed = job.placed.is_empty();
        for request in std::mem::take(&mut job.termination.requests) {
            ctx.reply_state(request, 200, state.clone());
        }
        self.acknowledge(ctx, id, completed);
        if nothing_placed {
            self.drop_cancelled(id);
        }
        self.next_resend_at = 0;
        self.resend(ctx);
    }
}
