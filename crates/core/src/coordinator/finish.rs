//! What is over: done tasks are folded, final states written, cancellations answered.
use super::{Coordinator, Fold, FOLD_MS};
use crate::bits::CHUNK;
use crate::budget::Class;
use crate::ctx::{Ctx, OpKind};
use crate::ids::{JobId, Seat};
use crate::io::{ReqId, StoreResult};
use crate::jobs::{job_state, DoneOn};
use crate::keys;
use crate::writes::Outcome;
use leaddeal_wire::mesh::{AttemptRef, SeatMsg};
use leaddeal_wire::state::Change;
use leaddeal_wire::user::{JobState, Status};
use serde_json::Value;
use std::collections::BTreeMap;

impl Coordinator {
    pub(super) fn final_changes(&self, id: JobId, status: Status) -> Vec<Change> {
        let Some(j) = self.jobs.get(&id) else {
            return Vec::new();
        };
        let mut v = vec![
            Change::Put {
                key: keys::final_key(self.seat, id),
                value: keys::final_value(status, j.done.len()),
                lease: None,
            },
            Change::Delete { key: keys::job_key(self.seat, id) },
        ];
        // Most jobs are over before anything of them was folded: nothing is there to be deleted.
        if j.stored {
            for c in 0..j.wire.tasks.div_ceil(CHUNK) {
                v.push(Change::Delete { key: keys::run_key(self.seat, id, c) });
            }
        }
        v
    }

    pub(super) fn write_final(&mut self, ctx: &mut Ctx, id: JobId, status: Status) {
        let changes = self.final_changes(id, status);
        let mut write = self.write(Class::Decision, changes);
        if let Some(call) = write.call(ctx.now, ctx.budget) {
            let kind = OpKind::Finish { seat: self.seat, epoch: self.epoch, job: id };
            ctx.store(kind, call);
        }
        if let Some(j) = self.jobs.get_mut(&id) {
            j.final_write = Some(write);
        }
    }

    /// Outcome of writing a cancellation. False: the seat is lost.
    pub fn finished(&mut self, ctx: &mut Ctx, id: JobId, result: &StoreResult) -> bool {
        let write = self.jobs.get_mut(&id).and_then(|j| j.final_write.as_mut());
        let Some(outcome) = write.map(|w| w.take(ctx.now, result)) else {
            return true;
        };
        match outcome {
            Outcome::Done => {
                let Some(j) = self.jobs.get_mut(&id) else {
                    return true;
                };
                j.finishing = None;
                j.final_write = None;
                j.cancelled = true;
                // What it had done counts no more; its machines may forget it.
                let acks = std::mem::take(&mut j.unfolded);
                j.placed.stop_all();
                let s = j.state();
                let empty = j.placed.is_empty();
                for r in std::mem::take(&mut j.cancel_reqs) {
                    ctx.reply_state(r, 200, s.clone());
                }
                self.acknowledge(ctx, id, acks);
                if empty {
                    self.drop_cancelled(id);
                }
                self.next_resend = 0;
                self.resend(ctx);
            }
            Outcome::Fenced => return false,
            Outcome::NotDone | Outcome::Open => {
                // It may have been executed: until that is known, the job is neither started
                // further nor called anything. Tried again by the tick.
                if let Some(j) = self.jobs.get_mut(&id) {
                    for r in std::mem::take(&mut j.cancel_reqs) {
                        ctx.reply_later(r, 503, 1);
                    }
                    j.not_before = ctx.now + 500;
                    j.refusals = u32::MAX;
                }
            }
        }
        true
    }

    pub(super) fn acknowledge(&mut self, ctx: &mut Ctx, id: JobId, acks: Vec<DoneOn>) {
        let mut by_seat: BTreeMap<Seat, Vec<AttemptRef>> = BTreeMap::new();
        for (task, attempt, m, round) in acks {
            self.round_less(round);
            let machine = ctx.names.machine_name(m).to_string();
            let seat = ctx.seat_of_machine(&machine);
            let what = AttemptRef { job: id.0, task, attempt: attempt.0, machine, session: None };
            by_seat.entry(seat).or_default().push(what);
        }
        for (seat, all) in by_seat {
            for c in all.chunks(200) {
                ctx.send(self.seat, seat, SeatMsg::Forget { what: c.to_vec() });
            }
        }
    }

    /// Writes what is done, and deletes decisions that nothing depends on any more.
    pub(super) fn start_fold(&mut self, ctx: &mut Ctx) {
        if !self.ready() || self.fold.is_some() || ctx.now < self.fold_after || !ctx.valid {
            return;
        }
        let most = ctx.cfg.txn_ops.min(ctx.budget.room(Class::Fold));
        let mut chunks_of = Vec::new();
        let mut acks = Vec::new();
        let mut finals = Vec::new();
        let mut rounds = Vec::new();
        let mut changes: Vec<Change> = Vec::new();
        let mut bytes = 0;
        let full = |c: &Vec<Change>, b: usize, n: usize| c.len() + n > most || b > 40_000;
        let done: Vec<JobId> = self
            .jobs
            .values()
            .filter(|j| j.complete() && j.finishing != Some(Status::Cancelled) && !j.cancelled)
            .map(|j| j.id)
            .collect();
        for id in done {
            let c = self.final_changes(id, Status::Done);
            if full(&changes, bytes, c.len()) {
                break;
            }
            changes.extend(c);
            if let Some(j) = self.jobs.get_mut(&id) {
                j.finishing = Some(Status::Done);
                acks.push((id, std::mem::take(&mut j.unfolded)));
            }
            finals.push((id, Status::Done));
        }
        let seat = self.seat;
        for j in self.jobs.values_mut() {
            if j.dirty.is_empty() || j.cancelled || j.finishing.is_some() || j.complete() {
                continue;
            }
            if full(&changes, bytes, j.dirty.len()) {
                break;
            }
            let chunks: Vec<u32> = std::mem::take(&mut j.dirty).into_iter().collect();
            j.stored = true;
            for &c in &chunks {
                let text = j.done.encode_chunk(c);
                bytes += text.len();
                let key = keys::run_key(seat, j.id, c);
                changes.push(Change::Put { key, value: Value::String(text), lease: None });
            }
            chunks_of.push((j.id, chunks));
            acks.push((j.id, std::mem::take(&mut j.unfolded)));
        }
        while changes.len() < most {
            let Some(key) = self.finished_rounds.pop() else {
                break;
            };
            changes.push(Change::Delete { key: key.clone() });
            rounds.push(key);
        }
        if changes.is_empty() {
            return;
        }
        // Deletions alone can wait for company.
        if finals.is_empty() && chunks_of.is_empty() && changes.len() < most.min(8) {
            self.finished_rounds.append(&mut rounds);
            return;
        }
        self.fold_after = ctx.now + if finals.is_empty() { 1200 } else { FOLD_MS };
        let mut write = self.write(Class::Fold, changes);
        if let Some(call) = write.call(ctx.now, ctx.budget) {
            ctx.store(OpKind::Fold { seat: self.seat, epoch: self.epoch }, call);
        }
        self.fold = Some(Fold { write, chunks: chunks_of, acks, finals, rounds });
    }

    /// False: the seat is lost.
    pub fn folded(&mut self, ctx: &mut Ctx, result: &StoreResult) -> bool {
        let Some(mut f) = self.fold.take() else {
            return true;
        };
        match f.write.take(ctx.now, result) {
            Outcome::Done => {
                for (id, acks) in f.acks {
                    self.acknowledge(ctx, id, acks);
                }
                for (id, status) in f.finals {
                    if let Some(j) = self.jobs.remove(&id) {
                        let fin = (status, j.done.len());
                        for r in j.cancel_reqs {
                            ctx.reply_state(r, 200, job_state(id, fin));
                        }
                        self.closed.insert(id, fin);
                    }
                }
            }
            Outcome::Fenced => return false,
            Outcome::NotDone | Outcome::Open => {
                // Every change of a fold may be repeated: whatever happened, try again.
                self.fold_after = ctx.now + 500;
                self.finished_rounds.extend(f.rounds);
                for (id, chunks) in f.chunks {
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.dirty.extend(chunks);
                    }
                }
                for (id, acks) in f.acks {
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.unfolded.extend(acks);
                    }
                }
                // The final states, perhaps written, stay in the making and are tried again.
            }
        }
        true
    }

    /// A cancelled job without tasks left: only its final state remains.
    pub(super) fn drop_cancelled(&mut self, id: JobId) {
        if let Some(j) = self.jobs.remove(&id) {
            if !j.wire.class.is_empty() {
                self.closed.insert(id, (Status::Cancelled, j.done.len()));
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
        (!j.wire.class.is_empty() && j.finishing.is_none()).then(|| j.state())
    }

    /// True if the job is known here; the answer follows once it is durable.
    pub fn cancel(&mut self, ctx: &mut Ctx, req: ReqId, id: JobId) -> bool {
        if let Some(f) = self.closed.get(&id) {
            ctx.reply_state(req, 200, job_state(id, *f));
            return true;
        }
        let Some(j) = self.jobs.get_mut(&id) else {
            return false;
        };
        if j.wire.class.is_empty() {
            return false;
        }
        if j.cancelled {
            let s = j.state();
            ctx.reply_state(req, 200, s);
            return true;
        }
        if j.cancel_reqs.len() > 100 {
            ctx.reply_later(req, 503, 1);
            return true;
        }
        j.cancel_reqs.push(req);
        if j.finishing.is_none() && !j.complete() {
            j.finishing = Some(Status::Cancelled);
            self.write_final(ctx, id, Status::Cancelled);
        }
        true
    }
}
