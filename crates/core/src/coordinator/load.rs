//! Loading a shard: decisions, jobs, done tasks, in this order.
use super::{Coordinator, Load};
use crate::context::{Context, Operation};
use crate::guards::{holds, Guard};
use crate::io::StoreResult;
use crate::jobs::{wire_shape, Job};
use crate::keys;
use crate::placed::Placement;
use crate::records::{Record, RecordReader};
use crate::stored::{CompletionRecord, DecisionRecord, JobRecord};
use leaddeal_wire::mesh::TaskPhase;
use serde_json::Value;
use std::sync::Arc;

/// So long a watch for new jobs waits.
const JOBS_WAIT_MS: u64 = 15_000;

/// A record that does not decode silences only itself.
fn unreadable(ctx: &mut Context, key: &str) {
    ctx.effects.log(0, "record_unreadable", || key.to_string());
}

impl Coordinator {
    /// Reads on: the next page, or what comes.
    pub(super) fn read_on(&mut self, ctx: &mut Context) {
        if let Some(call) = self.feed.call(ctx.now) {
            ctx.store(Operation::Records { shard: self.shard, epoch: self.epoch }, call);
        }
    }

    pub fn records(&mut self, ctx: &mut Context, result: StoreResult) {
        let heard = matches!(result, StoreResult::Page(_) | StoreResult::Events(_));
        for r in self.feed.take(ctx.now, result) {
            match self.load {
                Load::Decisions => self.decisions.push(r),
                Load::Jobs | Load::Ready => self.job_created(ctx, &r.key, &r.value),
                Load::Runs => self.run_loaded(ctx, &r),
            }
        }
        if !heard {
            if let Some(what) = self.feed.in_vain() {
                ctx.effects.log(1, "records_refused", || what);
            }
            return;
        }
        if self.feed.caught_up() && !self.ready() {
            self.next_load(ctx);
            if self.ready() {
                return;
            }
        }
        self.read_on(ctx);
    }

    fn next_load(&mut self, ctx: &mut Context) {
        match self.load {
            Load::Decisions => {
                self.load = Load::Jobs;
                self.feed = RecordReader::all(keys::job_prefix(self.shard), JOBS_WAIT_MS);
            }
            Load::Jobs => {
                self.load = Load::Runs;
                self.loaded_from = self.feed.revision();
                let runs = RecordReader::pages(keys::run_prefix(self.shard));
                self.jobs_feed = Some(std::mem::replace(&mut self.feed, runs));
            }
            Load::Runs => {
                self.load = Load::Ready;
                if let Some(jobs) = self.jobs_feed.take() {
                    self.feed = jobs;
                }
                self.take_decisions(ctx);
                let done = self.jobs.values().filter(|j| j.complete() && !j.cancelled);
                let placed = self.jobs.values().filter(|j| !j.placed.is_empty());
                self.unsettled = placed.map(|j| j.id).collect();
                self.compaction.complete_jobs = done.map(|j| (j.id, ctx.now)).collect();
                for j in self.jobs.values_mut().filter(|j| !j.is_tombstone()) {
                    if !j.placed.is_empty() || !j.done.is_empty() {
                        j.first_started_at = Some(ctx.now);
                        self.service_statistics.record_earlier_start(j);
                    }
                }
                // Their final states are written already: an owner before may have told nobody else.
                for j in self.jobs.values().filter(|j| j.is_tombstone()) {
                    ctx.horizons.cancelled(self.shard, self.epoch, j.id, ctx.now);
                }
                ctx.wake = true;
                let (s, n) = (self.shard.0, self.jobs.len());
                ctx.effects.log(1, "seat_loaded", || format!("seat={s} jobs={n}"));
            }
            Load::Ready => {}
        }
    }

    pub fn job_created(&mut self, ctx: &mut Context, key: &str, value: &Value) {
        let Some(id) = keys::job_of_key(key) else {
            return;
        };
        if self.jobs.contains_key(&id) || self.closed.contains_key(&id) {
            return;
        }
        let Ok(JobRecord { accepted_at_ms, job: wire }) = JobRecord::decode(value) else {
            let k = key.to_string();
            ctx.effects.log(0, "job_unreadable", || k);
            return;
        };
        let age = ctx.time_ms.saturating_sub(accepted_at_ms.unwrap_or(ctx.time_ms));
        let shape = ctx.names.shape(&Arc::new(wire_shape(&wire)));
        let job = Job::new(id, wire, shape, ctx.now.saturating_sub(age), &ctx.config.aims);
        self.service_statistics.record_submission(&job);
        self.jobs.insert(id, job);
        self.pending.insert(id);
        ctx.wake = true;
    }

    /// One that can't be read counts as nothing done: its tasks run again, and exit with `done`.
    pub(super) fn run_loaded(&mut self, ctx: &mut Context, r: &Record) {
        let found = keys::run_of_key(&r.key).map(|(id, chunk)| (self.jobs.get_mut(&id), chunk));
        let read = match found {
            Some((Some(j), chunk)) => {
                j.completion.stored_chunks.insert(chunk, r.version);
                CompletionRecord::decode(&r.value)
                    .is_ok_and(|text| j.done.add_chunk(chunk, text.0, j.wire.tasks))
            }
            // Of a job that is over.
            Some((None, _)) => true,
            None => false,
        };
        if !read {
            unreadable(ctx, &r.key);
        }
    }

    /// Decisions of older epochs: their winners may be on machines. Of several attempts of a
    /// task only the newest counts; it was decided after the older ones were proven gone.
    pub(super) fn take_decisions(&mut self, ctx: &mut Context) {
        for Record { key, value, .. } in std::mem::take(&mut self.decisions) {
            let Ok((attempt, placements)) = DecisionRecord::decode(&value) else {
                unreadable(ctx, &key);
                continue;
            };
            let round = self.next_round_id();
            let mut live = 0;
            let mut replaced = Vec::new();
            for placement in placements {
                let Ok(placement) = placement else {
                    unreadable(ctx, &key);
                    continue;
                };
                let (id, task) = (placement.job, placement.task);
                if !self.jobs.contains_key(&id) && !holds(Guard::Leftovers) {
                    continue;
                }
                let participant = ctx.shard_of_machine(placement.machine);
                let machine = ctx.names.machine(placement.machine);
                let j = self.jobs.entry(id).or_insert_with(|| Job::tombstone(id, ctx.names));
                let newer = j.placed.get(task).is_some_and(|o| o.attempt > attempt);
                if j.done.get(task) || newer && holds(Guard::NewestAttempt) {
                    continue;
                }
                let new = Placement {
                    attempt,
                    machine,
                    participant,
                    incarnation: placement.incarnation,
                    zone: placement.zone,
                    phase: TaskPhase::Decided,
                    round,
                    placed_at: ctx.now,
                    sent_at: 0,
                    stop: None,
                    adopted: true,
                    team: placement.quota.map(|q| (q.team, q.amount.cpu, q.amount.gpu)),
                };
                live += 1;
                replaced.extend(j.placed.insert(task, new).map(|old| old.round));
            }
            // Of an older epoch: its version is not known here.
            self.rounds.open(round, key, None, live);
            for old in replaced {
                self.rounds.one_less(old);
            }
        }
    }
}
