//! Loads a shard from the store: decisions, jobs and completions, in this order. Afterwards,
//! watches for new jobs.
use super::Coordinator;
use crate::context::{Context, Operation};
use crate::guards::{is_enforced, Guard};
use crate::ids::{Attempt, Epoch, JobId};
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

/// How long the store holds a watch for new jobs open without an event.
const JOB_WATCH_TIMEOUT_MS: u64 = 15_000;

/// The records that are being loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadStage {
    Decisions,
    Jobs,
    Completions,
    /// All records are loaded; new jobs are watched for.
    Ready,
}

/// The outcome of adopting a placement from a loaded decision.
enum Adoption {
    /// Not adopted: the task is done, or a newer attempt of it is known.
    Skipped,
    /// Adopted as the first known attempt of the task.
    New,
    /// Adopted in place of an older attempt, which the decision with this number placed.
    Replaced { round: u64 },
}

/// Logs a record that can't be decoded. The caller skips the record, so that a bad record affects
/// only itself.
fn log_unreadable(ctx: &mut Context, key: &str) {
    ctx.effects.log(LogLevel::Error, "record_unreadable", || key.to_string());
}

impl Coordinator {
    /// Requests the next page of records, or the next events of the watch, if no read is in flight.
    pub(super) fn read_next(&mut self, ctx: &mut Context) {
        if let Some(call) = self.record_reader.next_call(ctx.now) {
            ctx.call_store(Operation::ReadRecords { shard: self.shard, epoch: self.epoch }, call);
        }
    }

    /// Handles the result of a read of records.
    pub fn on_records_result(&mut self, ctx: &mut Context, result: StoreResult) {
        let is_answered = matches!(result, StoreResult::Page(_) | StoreResult::Events(_));
        for record in self.record_reader.on_result(ctx.now, result) {
            match self.load_stage {
                LoadStage::Decisions => self.loaded_decisions.push(record),
                LoadStage::Jobs | LoadStage::Ready => {
                    self.add_job_record(ctx, &record.key, &record.value);
                }
                LoadStage::Completions => self.completion_loaded(ctx, &record),
            }
        }
        if !is_answered {
            if let Some(what) = self.record_reader.failures_to_log() {
                ctx.effects.log(LogLevel::Info, "records_refused", || what);
            }
            return;
        }
        if self.record_reader.is_list_complete() && !self.is_ready() {
            self.next_load_stage(ctx);
            if self.is_ready() {
                return;
            }
        }
        self.read_next(ctx);
    }

    fn next_load_stage(&mut self, ctx: &mut Context) {
        match self.load_stage {
            LoadStage::Decisions => {
                self.load_stage = LoadStage::Jobs;
                self.record_reader = RecordReader::list_and_watch(
                    keys::job_prefix(self.shard),
                    JOB_WATCH_TIMEOUT_MS,
                );
            }
            LoadStage::Jobs => {
                self.load_stage = LoadStage::Completions;
                self.jobs_loaded_revision = self.record_reader.revision();
                let completions = RecordReader::list(keys::completion_prefix(self.shard));
                self.paused_job_reader =
                    Some(std::mem::replace(&mut self.record_reader, completions));
            }
            LoadStage::Completions => {
                self.load_stage = LoadStage::Ready;
                if let Some(jobs) = self.paused_job_reader.take() {
                    self.record_reader = jobs;
                }
                self.finish_loading(ctx);
            }
            LoadStage::Ready => {}
        }
    }

    /// Derives the state of the jobs once all records are read.
    fn finish_loading(&mut self, ctx: &mut Context) {
        self.adopt_decisions(ctx);
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
        // The terminal states of tombstones are in the store, but an earlier owner may have told no
        // other node of the cancellations.
        for job in self.jobs.values().filter(|job| job.spec.class.is_empty()) {
            ctx.horizons.on_cancelled(self.shard, self.epoch, job.id, ctx.now);
        }
        ctx.needs_round = true;
        let (shard, jobs) = (self.shard.0, self.jobs.len());
        let (epoch, revision) = (self.epoch.0, self.jobs_loaded_revision);
        let (placed, cancelled) = (
            self.jobs.values().map(|job| job.placed.len()).sum::<u32>(),
            self.jobs.values().filter(|job| job.cancelled).count(),
        );
        ctx.effects.log(LogLevel::Info, "shard_loaded", || {
            format!(
                "shard={shard} jobs={jobs} epoch={epoch} revision={revision} placed_tasks={placed} cancelled={cancelled}"
            )
        });
    }

    /// Adds a job whose record was read or written. Does nothing if the job is already known.
    pub fn add_job_record(&mut self, ctx: &mut Context, key: &str, value: &Value) {
        let Some(id) = keys::parse_job_key(key) else {
            return;
        };
        if self.jobs.contains_key(&id) || self.terminal_jobs.contains_key(&id) {
            return;
        }
        let Ok(JobRecord { accepted_at_ms, job: wire }) = JobRecord::decode(value) else {
            ctx.effects.log(LogLevel::Error, "job_unreadable", || key.to_string());
            return;
        };
        let age_ms = ctx.wall_clock_ms.saturating_sub(accepted_at_ms.unwrap_or(ctx.wall_clock_ms));
        let submitted_at = ctx.now.saturating_sub(age_ms);
        let shape = ctx.names.resolve_shape(&Arc::new(wire_shape(&wire)));
        let job = Job::new(id, wire, shape, submitted_at, &ctx.config.objectives);
        self.service_statistics.record_submission(&job);
        self.jobs.insert(id, job);
        self.unplaced_jobs.insert(id);
        ctx.needs_round = true;
    }

    /// Adds the completed tasks of a loaded record. The tasks of a record that can't be decoded
    /// count as not done: they run again, and exit with `done`.
    fn completion_loaded(&mut self, ctx: &mut Context, record: &Record) {
        let Some((id, chunk)) = keys::parse_completion_key(&record.key) else {
            log_unreadable(ctx, &record.key);
            return;
        };
        // A record without a job belongs to a job that has ended.
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.completion.stored_chunks.insert(chunk, record.version);
        let is_read = CompletionRecord::decode(&record.value)
            .is_ok_and(|bitmap| job.done.insert_chunk(chunk, bitmap.0, job.spec.tasks));
        if !is_read {
            log_unreadable(ctx, &record.key);
        }
    }

    /// Adopts the placements of decisions of older epochs, since their tasks may be on machines.
    fn adopt_decisions(&mut self, ctx: &mut Context) {
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
            // The version of an older epoch's record counts as unknown, so the record is later
            // deleted instead of overwritten.
            self.decision_log.add(round, key, None, live);
            for old_round in replaced {
                self.decision_log.end_placement(old_round);
            }
        }
    }

    /// Adopts a placement. Of several attempts of a task only the newest counts: it was decided
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
            sent_to: Epoch(0),
            reported_by: Epoch(0),
            awaits_report: false,
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
