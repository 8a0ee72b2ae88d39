//! Users' requests: submissions, queries of a job's state and cancellations.
use super::Node;
use crate::budget::WriteClass;
use crate::context::{
    queued_state, JobLookup, LookupPurpose, Operation, SubmissionRejection, UNKNOWN_RETRY_S,
};
use crate::guards::{is_enforced, Guard};
use crate::ids::{shard_of_job, JobId, MachineTypeIdx, NodeIdx, Shard, Timestamp};
use crate::io::{Effects, LogLevel, RequestId, StoreCall, StoreResult, UserReply};
use crate::jobs::{job_state, wire_shape};
use crate::keys;
use crate::names::Resources;
use crate::stored::{JobRecord, TerminalState};
use leaddeal_wire::state::{Change, Condition, Transaction};
use leaddeal_wire::user;

/// A user may retry after this many seconds if too many requests are in flight.
const OVERLOADED_RETRY_S: u32 = 2;
/// A user may retry after this many seconds if the job's terminal state can't be parsed.
const UNREADABLE_RETRY_S: u32 = 5;
/// A job may exceed its team's quota by this much, in CPUs or GPUs, because of rounding errors.
const QUOTA_TOLERANCE: f64 = 1e-6;

impl Node {
    /// Handles the submission of a job, which may have been submitted before. `id` is `None` if the
    /// job's name can't be parsed.
    pub(super) fn submit(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        id: Option<JobId>,
        job: Result<Box<user::Job>, user::JobError>,
    ) {
        let Some(id) = id else {
            let rejection = SubmissionRejection::Malformed;
            return self.shared.context(effects).reply_rejection(req, rejection);
        };
        let Ok(job) = job else {
            let purpose = LookupPurpose::RejectedSubmission(SubmissionRejection::Malformed);
            return self.lookup(effects, req, id, purpose);
        };
        if self.shared.names.catalog.is_empty() {
            return self.reply_later(effects, req, UNKNOWN_RETRY_S);
        }
        if !self.can_run(&job) {
            let purpose = LookupPurpose::RejectedSubmission(SubmissionRejection::CanNeverRun);
            return self.lookup(effects, req, id, purpose);
        }
        if self.is_overloaded() {
            return self.reply_later(effects, req, OVERLOADED_RETRY_S);
        }
        if self.shared.budget.available(WriteClass::Submission) == 0 {
            // This also refuses repeated submissions of known jobs, because looking a job up costs a
            // request as well.
            let after_s = self.shared.budget.submission_retry_after_s();
            return self.reply_later(effects, req, after_s);
        }
        self.write_submission(effects, req, id, *job);
    }

    /// Whether too many requests are in flight to accept another one from a user.
    fn is_overloaded(&self) -> bool {
        self.shared.too_many_operations() || self.calls.too_many_queries()
    }

    /// Writes the job to the store, on condition that the store has neither the job nor its terminal
    /// state.
    fn write_submission(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        id: JobId,
        job: user::Job,
    ) {
        let shard = shard_of_job(id, self.shared.shard_count());
        let value = JobRecord { accepted_at_ms: Some(self.shared.wall_clock_ms), job }.encode();
        let key = keys::job_key(shard, id);
        let mut conditions = vec![Condition { key: key.clone(), version: 0 }];
        if is_enforced(Guard::NoSubmissionAfterTermination) {
            conditions.push(Condition { key: keys::terminal_state_key(shard, id), version: 0 });
        }
        let changes = vec![Change::Put { key, value: value.clone(), lease: None }];
        self.shared.budget.spend(WriteClass::Submission, 1);
        let call = StoreCall::Transaction(Transaction { conditions, changes });
        self.shared
            .context(effects)
            .call_store(Operation::WriteSubmission { req, id, value }, call);
    }

    /// Whether the job can ever run: some machine type fits one of its tasks, and the team's quota fits
    /// all tasks that must run at the same time.
    fn can_run(&self, job: &user::Job) -> bool {
        let Some(team) = self.shared.config.teams.iter().find(|team| team.name == job.team) else {
            return false;
        };
        // The tasks of an array may run one after another; all tasks of other kinds of jobs run at the
        // same time.
        let tasks_at_once =
            if job.kind == user::JobKind::Array { 1.0 } else { f64::from(job.tasks) };
        let is_within = |max: f64, per_task: f64| {
            max == 0.0 || per_task * tasks_at_once <= max + QUOTA_TOLERANCE
        };
        self.fits_a_machine_type(job)
            && is_within(team.cpus_max, job.cpus)
            && is_within(team.gpus_max, job.gpus)
    }

    fn fits_a_machine_type(&self, job: &user::Job) -> bool {
        let names = &self.shared.names;
        let shape = wire_shape(job);
        let need = Resources::of(&shape);
        names.catalog.iter().enumerate().any(|(index, machine_type)| {
            let type_idx = MachineTypeIdx(index as u8);
            names.allows(&shape, type_idx, false)
                && names.resources_of_type(type_idx).fit_count(need) > 0
                && job.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
        })
    }

    /// Looks a job up: on this node if it owns the job's shard, else at the owner if that is reachable,
    /// else in the store.
    pub(super) fn lookup(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        id: JobId,
        purpose: LookupPurpose,
    ) {
        let lookup = JobLookup { req, id, purpose };
        let shard = shard_of_job(id, self.shared.shard_count());
        if self.can_answer_for(shard, effects.now) {
            if !self.answer_lookup(effects, shard, lookup) {
                self.read_job(effects, lookup);
            }
            return;
        }
        match self.reachable_owner(shard, effects.now) {
            Some(owner) if !self.is_overloaded() => self.query_job(effects, owner, lookup),
            _ => self.read_job(effects, lookup),
        }
    }

    /// Whether this node owns the shard, has loaded it, and may answer for it under its lease.
    fn can_answer_for(&self, shard: Shard, now: Timestamp) -> bool {
        let valid =
            self.shared.lease.is_valid(now) || !is_enforced(Guard::UserAnswerNeedsValidLease);
        let active = self.owned[shard.0 as usize].as_ref();
        active.is_some_and(|active| valid && active.coordinator.is_ready())
    }

    /// Answers a lookup from a shard that this node owns. Returns `false`, without an answer, if the
    /// shard's coordinator does not know the job.
    fn answer_lookup(&mut self, effects: &mut Effects, shard: Shard, lookup: JobLookup) -> bool {
        let Some(active) = &mut self.owned[shard.0 as usize] else { return false };
        let mut context = self.shared.context(effects);
        if lookup.purpose == LookupPurpose::Cancellation {
            return active.coordinator.cancel(&mut context, lookup.req, lookup.id);
        }
        let state = active.coordinator.job_state(lookup.id);
        let found = state.is_some();
        if let Some(state) = state {
            context.reply_state(lookup.req, 200, state);
        }
        found
    }

    /// Returns the sibling that owns the shard, if it is reachable.
    fn reachable_owner(&self, shard: Shard, now: Timestamp) -> Option<NodeIdx> {
        let owner = self.shared.owner(shard)?.node;
        let is_reachable =
            owner != self.shared.this_node && self.shared.health.is_reachable(owner, now);
        is_reachable.then_some(owner)
    }

    /// Answers a lookup from the store: reads the job and, if it is not there, its terminal state. The
    /// transaction that writes the terminal state also deletes the job, so reading in this order finds
    /// one of the two if the job is known.
    pub(super) fn read_job(&mut self, effects: &mut Effects, lookup: JobLookup) {
        if self.shared.too_many_operations() {
            return self.reply_later(effects, lookup.req, OVERLOADED_RETRY_S);
        }
        let mut context = self.shared.context(effects);
        if is_enforced(Guard::JobReadBeforeTerminalState) {
            context.read_job(lookup);
        } else {
            context.read_terminal_state(lookup);
        }
    }

    /// Handles the store's answer to the read of a job.
    pub(super) fn on_job_read(
        &mut self,
        effects: &mut Effects,
        lookup: JobLookup,
        result: &StoreResult,
    ) {
        let mut context = self.shared.context(effects);
        match result {
            // The owner of the job's shard does not answer, so the job can't be cancelled now.
            StoreResult::Item(Some(_)) if lookup.purpose == LookupPurpose::Cancellation => {
                context.reply_later(lookup.req, 503, UNKNOWN_RETRY_S);
            }
            StoreResult::Item(Some(_)) => {
                context.reply_state(lookup.req, 200, queued_state(lookup.id));
            }
            StoreResult::Item(None) if is_enforced(Guard::JobReadBeforeTerminalState) => {
                context.read_terminal_state(lookup);
            }
            StoreResult::Item(None) => context.reply_unknown(lookup),
            _ => context.reply_later(lookup.req, 503, UNKNOWN_RETRY_S),
        }
    }

    /// Handles the store's answer to the read of a job's terminal state.
    pub(super) fn on_terminal_state_read(
        &mut self,
        effects: &mut Effects,
        lookup: JobLookup,
        result: StoreResult,
    ) {
        let mut context = self.shared.context(effects);
        match result {
            StoreResult::Item(Some(item)) => match TerminalState::decode(&item.value) {
                Ok(terminal) => {
                    context.reply_state(lookup.req, 200, job_state(lookup.id, terminal));
                }
                Err(_) => {
                    context.effects.log(LogLevel::Error, "record_unreadable", || item.key);
                    context.reply_later(lookup.req, 503, UNREADABLE_RETRY_S);
                }
            },
            StoreResult::Item(None) if is_enforced(Guard::JobReadBeforeTerminalState) => {
                context.reply_unknown(lookup);
            }
            StoreResult::Item(None) => context.read_job(lookup),
            _ => context.reply_later(lookup.req, 503, UNKNOWN_RETRY_S),
        }
    }

    /// Handles the store's answer to the write of a new job.
    pub(super) fn on_submission_result(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        id: JobId,
        value: &serde_json::Value,
        result: &StoreResult,
    ) {
        match result {
            StoreResult::Committed(revision) => {
                self.job_created(effects, id, value, *revision);
                self.shared.context(effects).reply(req, UserReply::created(queued_state(id)));
            }
            StoreResult::Conflict(_) => {
                self.lookup(effects, req, id, LookupPurpose::Resubmission);
            }
            StoreResult::Unknown if !is_enforced(Guard::SubmissionDurableBeforeAck) => {
                self.shared.context(effects).reply(req, UserReply::created(queued_state(id)));
            }
            _ => self.reply_later(effects, req, UNKNOWN_RETRY_S),
        }
    }

    /// Informs the job's coordinator, if it is on this node and its list of jobs is older than the job.
    fn job_created(
        &mut self,
        effects: &mut Effects,
        id: JobId,
        value: &serde_json::Value,
        revision: u64,
    ) {
        let shard = shard_of_job(id, self.shared.shard_count());
        let Some(active) = &mut self.owned[shard.0 as usize] else { return };
        // While the coordinator loads its jobs, the list will contain this one. If the list is newer
        // than the creation of the job but lacks it, then this answer came late and the job has already
        // reached a terminal state. Informing the coordinator then returned a completed job to running.
        let is_newer = revision > active.coordinator.jobs_loaded_revision
            || !is_enforced(Guard::LateSubmissionResponseIgnored);
        if active.coordinator.is_ready() && is_newer {
            let mut context = self.shared.context(effects);
            active.coordinator.add_job_record(&mut context, &keys::job_key(shard, id), value);
            self.needs_round |= context.needs_round;
        }
    }
}
