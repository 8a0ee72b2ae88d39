//! What is over: done tasks are folded, final states written, cancellations answered.
use super::{Compaction, Coordinator};
use crate::bits::CHUNK;
use crate::budget::WriteClass;
use crate::context::{Context, Operation};
use crate::guards::{holds, Guard};
use crate::ids::{JobId, Shard, Timestamp};
use crate::io::{RequestId, StoreResult};
use crate::jobs::{job_state, CompletedAttempt};
use crate::keys;
use crate::stored::{CompletionRecord, TerminalState};
use crate::writes::WriteOutcome;
use leaddeal_wire::mesh::{AttemptRef, ShardMessage};
use leaddeal_wire::state::Change;
use leaddeal_wire::user::{JobState, Status};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Users expect to be told within 3 s.
const BEHIND_MS: u64 = 3000;
/// Between two transactions with final states, and with what is done.
const FINALS_MS: u64 = 300;
const CHUNKS_MS: u64 = 1200;
/// What is done of a job is written after this time, or when so much of it waits.
const RIPE_MS: u64 = 2500;
const RIPE: usize = 60;
/// So many deletions are worth a transaction of their own.
const DELETE_ALONE: usize = 8;
const MOST_BYTES: usize = 40_000;
/// A cancellation that the service refused is tried again.
const REFUSED_AGAIN_MS: u64 = 500;

impl Coordinator {
    pub(super) fn final_changes(&self, id: JobId, status: Status) -> Vec<Change> {
        let Some(j) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let mut v = vec![
            Change::Put {
                key: keys::final_key(self.shard, id),
                value: TerminalState { status, done: j.done.len() }.encode(),
                lease: None,
            },
            Change::Delete { key: keys::job_key(self.shard, id) },
        ];
        // Most jobs are over before anything of them was folded: nothing is there to be deleted.
        if !j.completion.stored_chunks.is_empty() {
            for c in 0..j.wire.tasks.div_ceil(CHUNK) {
                v.push(Change::Delete { key: keys::run_key(self.shard, id, c) });
            }
        }
        v
    }

    /// Writes the cancellations that it is time for: a first time, or again.
    pub(super) fn write_cancellations(&mut self, ctx: &mut Context) {
        if !ctx.valid {
            return;
        }
        for id in self.cancelling.iter().copied().collect::<Vec<_>>() {
            let begun = self.jobs.get_mut(&id).and_then(|j| j.termination.write.take());
            let mut write = begun.unwrap_or_else(|| {
                let write =
                    self.write(WriteClass::Cancellation, self.final_changes(id, Status::Cancelled));
                if holds(Guard::CancelVersion) {
                    write.creating(keys::final_key(self.shard, id), 0)
                } else {
                    write
                }
            });
            let call = write.call(ctx.now, ctx.budget);
            match self.jobs.get_mut(&id) {
                Some(j) => j.termination.write = Some(write),
                None => {
                    self.cancelling.remove(&id);
                    continue;
                }
            }
            if let Some(call) = call {
                ctx.horizons.cancelled(self.shard, self.epoch, id, ctx.now);
                let kind = Operation::Finish { shard: self.shard, epoch: self.epoch, job: id };
                ctx.store(kind, call);
            }
        }
    }

    /// WriteOutcome of writing a cancellation. False: the shard is lost.
    pub fn finished(&mut self, ctx: &mut Context, id: JobId, result: &StoreResult) -> bool {
        let write = self.jobs.get_mut(&id).and_then(|j| j.termination.write.as_mut());
        let Some(outcome) = write.map(|w| w.take(ctx.now, result)) else {
            return true;
        };
        match outcome {
            WriteOutcome::Done(_) => {
                self.cancelling.remove(&id);
                let Some(j) = self.jobs.get_mut(&id) else {
                    return true;
                };
                j.termination.status = None;
                j.termination.write = None;
                j.cancelled = true;
                // What it had done counts no more; its machines may forget it.
                let acks = std::mem::take(&mut j.completion.uncompacted);
                j.placed.stop_all();
                self.unsettled.insert(id);
                let s = j.state();
                let empty = j.placed.is_empty();
                for r in std::mem::take(&mut j.termination.requests) {
                    ctx.reply_state(r, 200, s.clone());
                }
                self.acknowledge(ctx, id, acks);
                if empty {
                    self.drop_cancelled(id);
                }
                self.next_resend = 0;
                self.resend(ctx);
            }
            WriteOutcome::Fenced => return false,
            WriteOutcome::NotDone | WriteOutcome::Open => {
                // It may have been executed: until that is known, the job is neither started
                // further nor called anything. Tried again by the tick.
                if let Some(j) = self.jobs.get_mut(&id) {
                    for r in std::mem::take(&mut j.termination.requests) {
                        ctx.reply_later(r, 503, 1);
                    }
                    if let Some(w) =
                        j.termination.write.as_mut().filter(|_| outcome == WriteOutcome::NotDone)
                    {
                        w.again(ctx.now + REFUSED_AGAIN_MS);
                    }
                }
            }
        }
        true
    }

    pub(super) fn acknowledge(
        &mut self,
        ctx: &mut Context,
        id: JobId,
        acks: Vec<CompletedAttempt>,
    ) {
        let mut by_shard: BTreeMap<Shard, Vec<AttemptRef>> = BTreeMap::new();
        for CompletedAttempt { task, attempt, machine: m, round } in acks {
            self.rounds.one_less(round);
            let machine = ctx.names.machine_name(m).to_string();
            let shard = ctx.shard_of_machine(&machine);
            let what =
                AttemptRef { job: id.0, task, attempt: attempt.0, machine, incarnation: None };
            by_shard.entry(shard).or_default().push(what);
        }
        for (shard, all) in by_shard {
            for c in all.chunks(200) {
                ctx.send(self.shard, shard, ShardMessage::Forget { what: c.to_vec() });
            }
        }
    }

    /// Writes final states and what is done, and deletes decisions that nothing depends on any
    /// more: one transaction, each part of it out of its own class.
    pub(super) fn start_fold(&mut self, ctx: &mut Context) {
        if !self.ready() || !ctx.valid {
            return;
        }
        if self.fold.is_some() {
            return self.write_fold(ctx);
        }
        let mut fold = Compaction::default();
        let mut changes: Vec<Change> = Vec::new();
        if !self.over.is_empty() && ctx.now >= self.finals_after {
            self.fold_finals(ctx, &mut fold, &mut changes);
        }
        let finals = changes.len();
        if ctx.now >= self.fold_after && !(self.dirty.is_empty() && self.rounds.waiting() == 0) {
            self.fold_chunks(ctx, &mut fold, &mut changes);
            self.fold_after = ctx.now + CHUNKS_MS;
        }
        let chunks = changes.len() - finals;
        let most = ctx.config.txn_ops.saturating_sub(changes.len());
        let most = most.min(ctx.budget.room(WriteClass::Deferrable));
        // Deletions alone can wait for company.
        if !changes.is_empty() || self.rounds.waiting().min(most) >= DELETE_ALONE {
            fold.rounds = self.rounds.take_unneeded(most);
            changes.extend(fold.rounds.iter().map(|key| Change::Delete { key: key.clone() }));
        }
        if changes.is_empty() {
            return;
        }
        if finals > 0 {
            self.finals_after = ctx.now + FINALS_MS;
        }
        let rest = fold.rounds.len();
        let write = self.write(WriteClass::TerminalState, changes);
        let mut write =
            write.of_which(WriteClass::Completion, chunks).of_which(WriteClass::Deferrable, rest);
        // What was done of a job until then must not be written over what was done later, nor a
        // record made anew that was deleted. (Found by the simulator's check of each write: folds
        // without an answer were given up for newer ones, and a late copy undid those.)
        let first = if let Some((id, _)) = fold.finals.first() {
            Some((keys::final_key(self.shard, *id), 0))
        } else if let Some((id, chunk)) = fold.first_chunk() {
            let version =
                self.jobs.get(&id).and_then(|j| j.completion.stored_chunks.get(&chunk).copied());
            Some((keys::run_key(self.shard, id, chunk), version.unwrap_or(0)))
        } else {
            None
        };
        if let Some((key, version)) = first.filter(|_| holds(Guard::FoldVersion)) {
            write = write.creating(key, version);
        }
        fold.write = Some(write);
        self.fold = Some(fold);
        self.write_fold(ctx);
    }

    /// Sends what is folded if it is time to, a first time or again.
    fn write_fold(&mut self, ctx: &mut Context) {
        let write = self.fold.as_mut().and_then(|f| f.write.as_mut());
        if let Some(call) = write.and_then(|w| w.call(ctx.now, ctx.budget)) {
            ctx.store(Operation::Compaction { shard: self.shard, epoch: self.epoch }, call);
        }
    }

    /// Final states, of those first that are over for longest.
    fn fold_finals(&mut self, ctx: &mut Context, fold: &mut Compaction, changes: &mut Vec<Change>) {
        let most = ctx.config.txn_ops.min(ctx.budget.room(WriteClass::TerminalState));
        let mut over: Vec<(Timestamp, JobId)> =
            self.over.iter().map(|(id, at)| (*at, *id)).collect();
        over.sort_unstable();
        if over.first().is_some_and(|o| ctx.now >= o.0 + BEHIND_MS) {
            ctx.budget.behind(ctx.now);
        }
        for (_, id) in over {
            let c = self.final_changes(id, Status::Done);
            // The largest job has more chunks than the smallest store takes changes at once: alone
            // it may go beyond what there is room for.
            if changes.len() + c.len() > most && !(changes.is_empty() && most >= 2) {
                break;
            }
            self.over.remove(&id);
            self.dirty.remove(&id);
            // Cancelled meanwhile: that is its end.
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            if j.cancelled || j.termination.status == Some(Status::Cancelled) {
                continue;
            }
            j.termination.status = Some(Status::Done);
            fold.acks.push((id, std::mem::take(&mut j.completion.uncompacted)));
            fold.finals.push((id, Status::Done));
            changes.extend(c);
        }
    }

    /// What is done of jobs that go on, of those first where a change lets the most be forgotten.
    fn fold_chunks(&mut self, ctx: &mut Context, fold: &mut Compaction, changes: &mut Vec<Change>) {
        let left = ctx.config.txn_ops.saturating_sub(changes.len());
        let most = changes.len() + left.min(ctx.budget.room(WriteClass::Completion));
        let mut ripe: Vec<(Reverse<usize>, JobId)> = Vec::new();
        let jobs = &self.jobs;
        self.dirty.retain(|id| {
            let Some(j) =
                jobs.get(id).filter(|j| !j.completion.dirty_chunks.is_empty() && !j.cancelled)
            else {
                return false;
            };
            // Soon over, perhaps: its final state makes this write needless.
            let late = j.completion.uncompacted_since.is_some_and(|t| ctx.now >= t + RIPE_MS);
            if (late || j.completion.uncompacted.len() >= RIPE)
                && j.termination.status.is_none()
                && !j.complete()
            {
                ripe.push((Reverse(j.completion.uncompacted.len()), *id));
            }
            true
        });
        ripe.sort_unstable();
        let mut bytes = 0;
        for (_, id) in ripe {
            let Some(j) = self.jobs.get_mut(&id) else { continue };
            if changes.len() + j.completion.dirty_chunks.len() > most || bytes > MOST_BYTES {
                break;
            }
            self.dirty.remove(&id);
            j.completion.uncompacted_since = None;
            let chunks: Vec<u32> =
                std::mem::take(&mut j.completion.dirty_chunks).into_iter().collect();
            for &c in &chunks {
                j.completion.stored_chunks.entry(c).or_insert(0);
                let text = j.done.encode_chunk(c);
                bytes += text.len();
                let key = keys::run_key(self.shard, j.id, c);
                changes.push(Change::Put {
                    key,
                    value: CompletionRecord(&text).encode(),
                    lease: None,
                });
            }
            fold.chunks.push((id, chunks));
            fold.acks.push((id, std::mem::take(&mut j.completion.uncompacted)));
        }
    }

    /// False: the shard is lost.
    pub fn folded(&mut self, ctx: &mut Context, result: &StoreResult) -> bool {
        let write = self.fold.as_mut().and_then(|f| f.write.as_mut());
        let Some(outcome) = write.map(|w| w.take(ctx.now, result)) else { return true };
        if outcome == WriteOutcome::Open {
            // Who waits asks again: it may take as long as the service does.
            for id in self.fold.iter().flat_map(|f| &f.finals).map(|f| f.0).collect::<Vec<_>>() {
                if let Some(j) = self.jobs.get_mut(&id) {
                    for r in std::mem::take(&mut j.termination.requests) {
                        ctx.reply_later(r, 503, 1);
                    }
                }
            }
            return true;
        }
        let Some(f) = self.fold.take() else { return true };
        match outcome {
            WriteOutcome::Done(revision) => {
                for (id, chunks) in f.chunks {
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.completion
                            .stored_chunks
                            .extend(chunks.into_iter().map(|c| (c, revision)));
                    }
                }
                for (id, acks) in f.acks {
                    self.acknowledge(ctx, id, acks);
                }
                for (id, status) in f.finals {
                    if let Some(j) = self.jobs.remove(&id) {
                        let terminal = TerminalState { status, done: j.done.len() };
                        for r in j.termination.requests {
                            ctx.reply_state(r, 200, job_state(id, terminal));
                        }
                        self.closed.insert(id, terminal);
                    }
                }
            }
            WriteOutcome::Fenced => return false,
            WriteOutcome::Open => {}
            WriteOutcome::NotDone => {
                self.fold_after = ctx.now + 500;
                self.finals_after = ctx.now + 500;
                self.rounds.delete_again(f.rounds);
                for (id, chunks) in f.chunks {
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.completion.dirty_chunks.extend(chunks);
                        j.completion.uncompacted_since.get_or_insert(ctx.now);
                        self.dirty.insert(id);
                    }
                }
                for (id, acks) in f.acks {
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.completion.uncompacted.extend(acks);
                    }
                }
                // The final states stay in the making and are tried again.
                self.over.extend(f.finals.into_iter().map(|(id, _)| (id, ctx.now)));
            }
        }
        true
    }

    /// A cancelled job without tasks left: only its final state remains.
    pub(super) fn drop_cancelled(&mut self, id: JobId) {
        if let Some(j) = self.jobs.remove(&id) {
            if !j.is_tombstone() {
                let status = Status::Cancelled;
                self.closed.insert(id, TerminalState { status, done: j.done.len() });
            }
        }
    }

    pub fn state(&self, id: JobId) -> Option<JobState> {
        if let Some(f) = self.closed.get(&id) {
            return Some(job_state(id, *f));
        }
        let j = self.jobs.get(&id)?;
        // A leftover stands for a job whose final state is in the store. And a final state that
        // is being written may be there already, and may have been told by a node that read it.
        let told = j.termination.status.is_none() || !holds(Guard::Finishing);
        (!j.is_tombstone() && told).then(|| j.state())
    }

    /// True if the job is known here; the answer follows once it is durable.
    pub fn cancel(&mut self, ctx: &mut Context, req: RequestId, id: JobId) -> bool {
        if let Some(f) = self.closed.get(&id) {
            ctx.reply_state(req, 200, job_state(id, *f));
            return true;
        }
        let Some(j) = self.jobs.get_mut(&id) else {
            return false;
        };
        if j.is_tombstone() {
            return false;
        }
        if j.cancelled {
            let s = j.state();
            ctx.reply_state(req, 200, s);
            return true;
        }
        if j.termination.requests.len() > 100 {
            ctx.reply_later(req, 503, 1);
            return true;
        }
        j.termination.requests.push(req);
        if !holds(Guard::CancelledDurable) {
            let terminal = TerminalState { status: Status::Cancelled, done: j.done.len() };
            for r in std::mem::take(&mut j.termination.requests) {
                ctx.reply_state(r, 200, job_state(id, terminal));
            }
        }
        if j.termination.status.is_none() && !j.complete() {
            j.termination.status = Some(Status::Cancelled);
            self.cancelling.insert(id);
            self.write_cancellations(ctx);
        }
        true
    }
}
