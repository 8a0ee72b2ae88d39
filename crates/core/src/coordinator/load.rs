//! Loading a shard: decisions, jobs and completions, in this order. Afterwards, jobs as they are created.
use super::Coordinator;
use crate::context::{Context, Operation};
use crate::guards::{is_enforced, Guard};
use crate::ids::{Attempt, JobId};
use crate::io::LogLevel;
use crate::io::StoreResult;
use crate::jobs::{wire_shape, Job};
use crate::keys;
use crate::placed::Placement;
use crate::records::{Record, RecordReader};
use crate::stored::{CompletionRecord, DecisionRecord, JobRecord, PlacementRecord};
use leaddeal_wire::mesh::TaskPhase;
use serde_json::Value;
use std::sync::Arc;

/// How long a watch for new jobs waits at the store.
const JOB_WATCH_TIMEOUT_MS: u64 = 15_000;

/// What is being loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadStage {
    Decisions,
    Jobs,
    Completions,
    /// All is loaded; new jobs are watched for.
    Ready,
}

/// What became of a placement from a decision that was loaded.
enum Adoption {
    /// The task is done, or a newer attempt of it is known.
    Skipped,
    /// It is the first known attempt of the task.
    New,
    /// It took the place of an older attempt, of this round.
    Replaced { round: u64 },
}

/// A record that does not decode is logged and skipped: it affects only itself.
fn log_unreadable(ctx: &mut Context, key: &str) {
    ctx.effects.log(LogLevel::Error, "record_unreadable", || key.to_string());
}

impl Coordinator {
    /// Reads on: the next page, or what is written.
    pub(super) fn read_on(&mut self, ctx: &mut Context) {
        if let Some(call) = self.reader.next_call(ctx.now) {
            ctx.call_store(Operation::ReadRecords { shard: self.shard, epoch: self.epoch }, call);
        }
    }

    /// Handles the answer to a read of records.
    pub fn records_read(&mut self, ctx: &mut Context, result: StoreResult) {
        let is_answered = matches!(result, StoreResult::Page(_) | StoreResult::Events(_));
        for record in self.reader.on_result(ctx.now, result) {
            match self.load_stage {
                LoadStage::Decisions => self.loaded_decisions.push(record),
                LoadStage::Jobs | LoadStage::Ready => {
                    self.job_created(ctx, &record.key, &record.value);
                }
                LoadStage::Completions => self.completion_loaded(ctx, &record),
            }
        }
        if !is_answered {
            if let Some(what) = self.reader.failures_to_log() {
                ctx.effects.log(LogLevel::Info, "records_refused", || what);
            }
            return;
        }
        if self.reader.is_list_complete() && !self.ready() {
            self.next_load_stage(ctx);
            if self.ready() {
                return;
            }
        }
        self.read_on(ctx);
    }

    fn next_load_stage(&mut self, ctx: &mut Context) {
        match self.load_stage {
            LoadStage::Decisions => {
                self.load_stage = LoadStage::Jobs;
                self.reader = RecordReader::list_and_watch(
                    keys::job_prefix(self.shard),
                    JOB_WATCH_TIMEOUT_MS,
                );
            }
            LoadStage::Jobs => {
                self.load_stage = LoadStage::Completions;
                self.jobs_loaded_revision = self.reader.revision();
                let completions = RecordReader::list(keys::completion_prefix(self.shard));
                self.jobs_reader = Some(std::mem::replace(&mut self.reader, completions));
            }
            LoadStage::Completions => {
                self.load_stage = LoadStage::Ready;
                if let Some(jobs) = self.jobs_reader.take() {
                    self.reader = jobs;
                }
                self.loaded(ctx);
            }
            LoadStage::Ready => {}
        }
    }

    /// All records are read: puts together what they say of the jobs.
    fn loaded(&mut self, ctx: &mut Context) {
        self.take_decisions(ctx);
        let done = self.jobs.values().filter(|job| job.is_complete() && !job.cancelled);
        let placed = self.jobs.values().filter(|job| !job.placed.is_empty());
        self.unsettled_jobs = placed.map(|job| job.id).collect();
        self.compaction.complete_jobs = done.map(|job| (job.id, ctx.now)).collect();
        for job in self.jobs.values_mut().filter(|job| !job.spec.class.is_empty()) {
            if !job.placed.is_empty() || !job.done.is_empty() {
                job.first_started_at = Some(ctx.now);
                self.service_statistics.record_earlier_start(job);
            }
        }
        // Their terminal states are written already: an earlier owner may have told nobody else.
        for job in self.jobs.values().filter(|job| job.spec.class.is_empty()) {
            ctx.horizons.on_cancelled(self.shard, self.epoch, job.id, ctx.now);
        }
        ctx.needs_round = true;
        let (shard, jobs) = (self.shard.0, self.jobs.len());
        ctx.effects.log(LogLevel::Info, "shard_loaded", || format!("shard={shard} jobs={jobs}"));
    }

    /// A job's record was read or written; one that is known already changes nothing.
    pub fn job_created(&mut self, ctx: &mut Context, key: &str, value: &Value) {
        let Some(id) = keys::parse_job_key(key) else {
            return;
        };
        if self.jobs.contains_key(&id) || self.closed.contains_key(&id) {
            return;
        }
        let Ok(JobRecord { accepted_at_ms, job: wire }) = JobRecord::decode(value) else {
            ctx.effects.log(LogLevel::Error, "job_unreadable", || key.to_string());
            return;
        };
        let age_ms = ctx.wall_clock_ms.saturating_sub(accepted_at_ms.unwrap_or(ctx.wall_clock_ms));
        let created = ctx.now.saturating_sub(age_ms);
        let shape = ctx.names.shape(&Arc::new(wire_shape(&wire)));
        let job = Job::new(id, wire, shape, created, &ctx.config.objectives);
        self.service_statistics.record_submission(&job);
        self.jobs.insert(id, job);
        self.unplaced_jobs.insert(id);
        ctx.needs_round = true;
    }

    /// One that can't be read counts as nothing done: its tasks run again, and exit with `done`.
    fn completion_loaded(&mut self, ctx: &mut Context, record: &Record) {
        let Some((id, chunk)) = keys::parse_completion_key(&record.key) else {
            log_unreadable(ctx, &record.key);
            return;
        };
        // None: the job is over.
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.completion.stored_chunks.insert(chunk, record.version);
        let is_read = CompletionRecord::decode(&record.value)
            .is_ok_and(|bitmap| job.done.insert_chunk(chunk, bitmap.0, job.spec.tasks));
        if !is_read {
            log_unreadable(ctx, &record.key);
        }
    }

    /// Decisions of older epochs: their placements may be on machines.
    fn take_decisions(&mut self, ctx: &mut Context) {
        for Record { key, value, .. } in std::mem::take(&mut self.loaded_decisions) {
            let Ok((attempt, placements)) = DecisionRecord::decode(&value) else {
                log_unreadable(ctx, &key);
                continue;
            };
            let round = self.next_round_id();
            let mut live = 0;
            let mut replaced = Vec::new();
            for placement in placements {
                let Ok(placement) = placement else {
                    log_unreadable(ctx, &key);
                    continue;
                };
                match self.adopt_placement(ctx, attempt, round, &placement) {
                    Adoption::Skipped => continue,
                    Adoption::New => {}
                    Adoption::Replaced { round } => replaced.push(round),
                }
                live += 1;
            }
            // Of an older epoch: its version is not known here.
            self.decision_log.open(round, key, None, live);
            for old_round in replaced {
                self.decision_log.placement_over(old_round);
            }
        }
    }

    /// Takes a placement over. Of several attempts of a task only the newest counts; it was decided
    /// after the older ones were proven gone.
    fn adopt_placement(
        &mut self,
        ctx: &mut Context,
        attempt: Attempt,
        round: u64,
        record: &PlacementRecord,
    ) -> Adoption {
        let id: JobId = record.job;
        if !self.jobs.contains_key(&id) && !is_enforced(Guard::TerminatedJobTasksAdopted) {
            return Adoption::Skipped;
        }
        let participant = ctx.shard_of_machine(record.machine);
        let machine = ctx.names.machine(record.machine);
        let job = self.jobs.entry(id).or_insert_with(|| Job::tombstone(id, ctx.names));
        let known = job.placed.get(record.task);
        let is_older = known.is_some_and(|known| known.attempt > attempt);
        if job.done.contains(record.task) || is_older && is_enforced(Guard::NewestAttemptAdopted) {
            return Adoption::Skipped;
        }
        let placement = Placement {
            attempt,
            machine,
            participant,
            incarnation: record.incarnation,
            zone: record.zone,
            phase: TaskPhase::Decided,
            round,
            placed_at: ctx.now,
            sent_at: 0,
            stop: None,
            adopted: true,
            quota: record.quota,
        };
        match job.placed.insert(record.task, placement) {
            Some(old) => Adoption::Replaced { round: old.round },
            None => Adoption::New,
        }
    }
}
