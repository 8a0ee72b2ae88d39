//! Requests of users: submissions, questions and cancellations, here or passed on by a sibling.
use super::Node;
use crate::budget::WriteClass;
use crate::context::{
    queued, JobLookup, LookupPurpose, Operation, SubmissionRejection, UNKNOWN_RETRY_S,
};
use crate::guards::{holds, Guard};
use crate::ids::{shard_of_job, JobId, NodeIdx, Shard, Timestamp, TypeIdx};
use crate::io::{Effects, LogLevel, RequestId, StoreCall, StoreResult, UserReply};
use crate::jobs::{job_state, wire_shape};
use crate::keys;
use crate::names::Resources;
use crate::stored::{JobRecord, TerminalState};
use leaddeal_wire::state::{Change, Condition, Transaction};
use leaddeal_wire::user;

/// After a refusal for too many requests in flight, a user asks again after this many seconds.
const OVERLOADED_RETRY_S: u32 = 2;
/// After a terminal state that can't be read.
const UNREADABLE_RETRY_S: u32 = 5;
/// A job may exceed its team's limit by this much, in processors or GPUs: an error of rounding.
const LIMIT_TOLERANCE: f64 = 1e-6;

impl Node {
    /// A new job, or one that was submitted before; `id` is none if it can't be read.
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
        if self.overloaded() {
            return self.reply_later(effects, req, OVERLOADED_RETRY_S);
        }
        if self.shared.budget.available(WriteClass::Submission) == 0 {
            // Retries of known jobs, too, are answered later: to look them up is a request as well.
            let after_s = self.shared.budget.submission_retry_after_s();
            return self.reply_later(effects, req, after_s);
        }
        self.write_submission(effects, req, id, *job);
    }

    /// Too many requests are in flight to take another one of a user.
    fn overloaded(&self) -> bool {
        self.shared.too_many_operations() || self.calls.too_many_queries()
    }

    /// Writes the job, unless it is known already.
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
        if holds(Guard::SubmittedOnce) {
            conditions.push(Condition { key: keys::terminal_state_key(shard, id), version: 0 });
        }
        let changes = vec![Change::Put { key, value: value.clone(), lease: None }];
        self.shared.budget.spend(WriteClass::Submission, 1);
        let call = StoreCall::Transaction(Transaction { conditions, changes });
        self.shared.context(effects).store(Operation::Submit { req, id, value }, call);
    }

    /// Whether a machine type could take a task of the job, and its team's limit the whole job.
    fn can_run(&self, job: &user::Job) -> bool {
        let Some(team) = self.shared.config.teams.iter().find(|team| team.name == job.team) else {
            return false;
        };
        // An array may run task by task; all tasks of the others run at the same time.
        let tasks = if job.kind == user::JobKind::Array { 1.0 } else { f64::from(job.tasks) };
        let within =
            |max: f64, per_task: f64| max == 0.0 || per_task * tasks <= max + LIMIT_TOLERANCE;
        self.fits_a_machine_type(job)
            && within(team.cpus_max, job.cpus)
            && within(team.gpus_max, job.gpus)
    }

    fn fits_a_machine_type(&self, job: &user::Job) -> bool {
        let names = &self.shared.names;
        let shape = wire_shape(job);
        let need = Resources::of(&shape);
        names.catalog.iter().enumerate().any(|(index, machine_type)| {
            let type_idx = TypeIdx(index as u8);
            names.allows(&shape, type_idx, false)
                && names.resources_of_type(type_idx).fit_count(need) > 0
                && job.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
        })
    }

    /// Looks a job up: here if its shard is ours, else at its owner if that can be reached, else in
    /// the store.
    pub(super) fn lookup(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        id: JobId,
        purpose: LookupPurpose,
    ) {
        let lookup = JobLookup { req, id, purpose };
        let shard = shard_of_job(id, self.shared.shard_count());
        if self.speaks_for(shard, effects.now) {
            if !self.answer_lookup(effects, shard, lookup) {
                self.read_job(effects, lookup);
            }
            return;
        }
        match self.reachable_owner(shard, effects.now) {
            Some(owner) if !self.overloaded() => self.query_job(effects, owner, lookup),
            _ => self.read_job(effects, lookup),
        }
    }

    /// Whether this node owns the shard, has loaded it, and may answer for it.
    fn speaks_for(&self, shard: Shard, now: Timestamp) -> bool {
        let valid = self.shared.lease.valid(now) || !holds(Guard::DoubtTells);
        let active = self.owned[shard.0 as usize].as_ref();
        active.is_some_and(|active| valid && active.coordinator.ready())
    }

    /// Answers for a shard of ours. False: the job is not known here.
    fn answer_lookup(&mut self, effects: &mut Effects, shard: Shard, lookup: JobLookup) -> bool {
        let Some(active) = &mut self.owned[shard.0 as usize] else { return false };
        let mut context = self.shared.context(effects);
        if lookup.purpose == LookupPurpose::Cancellation {
            return active.coordinator.cancel(&mut context, lookup.req, lookup.id);
        }
        let state = active.coordinator.state(lookup.id);
        let found = state.is_some();
        if let Some(state) = state {
            context.reply_state(lookup.req, 200, state);
        }
        found
    }

    /// The sibling that owns the shard, if it is reachable.
    fn reachable_owner(&self, shard: Shard, now: Timestamp) -> Option<NodeIdx> {
        let owner = self.shared.owner(shard)?.node;
        let reachable = owner != self.shared.me && self.shared.health.hears(owner, now);
        reachable.then_some(owner)
    }

    /// Reads the store: the job first, then its terminal state. That is written in the same
    /// transaction that deletes the job, so one of the two is found if the job is known.
    pub(super) fn read_job(&mut self, effects: &mut Effects, lookup: JobLookup) {
        if self.shared.too_many_operations() {
            return self.reply_later(effects, lookup.req, OVERLOADED_RETRY_S);
        }
        let mut context = self.shared.context(effects);
        if holds(Guard::KeyBeforeFinal) {
            context.read_job(lookup);
        } else {
            context.read_terminal_state(lookup);
        }
    }

    /// The store's answer to the read of a job.
    pub(super) fn job_read(
        &mut self,
        effects: &mut Effects,
        lookup: JobLookup,
        result: &StoreResult,
    ) {
        let mut context = self.shared.context(effects);
        match result {
            // Its owner does not answer, so it can't be cancelled now.
            StoreResult::Item(Some(_)) if lookup.purpose == LookupPurpose::Cancellation => {
                context.reply_later(lookup.req, 503, UNKNOWN_RETRY_S);
            }
            StoreResult::Item(Some(_)) => context.reply_state(lookup.req, 200, queued(lookup.id)),
            StoreResult::Item(None) if holds(Guard::KeyBeforeFinal) => {
                context.read_terminal_state(lookup);
            }
            StoreResult::Item(None) => context.reply_unknown(lookup),
            _ => context.reply_later(lookup.req, 503, UNKNOWN_RETRY_S),
        }
    }

    /// The store's answer to the read of a job's terminal state.
    pub(super) fn terminal_state_read(
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
            StoreResult::Item(None) if holds(Guard::KeyBeforeFinal) => {
                context.reply_unknown(lookup);
            }
            StoreResult::Item(None) => context.read_job(lookup),
            _ => context.reply_later(lookup.req, 503, UNKNOWN_RETRY_S),
        }
    }

    /// The store's answer to the write of a new job.
    pub(super) fn submitted(
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
                self.shared.context(effects).reply(req, UserReply::created(queued(id)));
            }
            StoreResult::Conflict(_) => {
                self.lookup(effects, req, id, LookupPurpose::Resubmission);
            }
            StoreResult::Unknown if !holds(Guard::AcceptedDurable) => {
                self.shared.context(effects).reply(req, UserReply::created(queued(id)));
            }
            _ => self.reply_later(effects, req, UNKNOWN_RETRY_S),
        }
    }

    /// Informs the job's coordinator, if it is here and its list of jobs is older than this job.
    fn job_created(
        &mut self,
        effects: &mut Effects,
        id: JobId,
        value: &serde_json::Value,
        revision: u64,
    ) {
        let shard = shard_of_job(id, self.shared.shard_count());
        let Some(active) = &mut self.owned[shard.0 as usize] else { return };
        // While it loads, the list brings it. And if the list is newer than the creation but lacks
        // the job, then it is over already: this answer is a late one. (Found by the simulator: a
        // done job went back to running.)
        let newer = revision > active.coordinator.jobs_loaded_revision || !holds(Guard::LoadedFrom);
        if active.coordinator.ready() && newer {
            let mut context = self.shared.context(effects);
            active.coordinator.job_created(&mut context, &keys::job_key(shard, id), value);
            self.wake |= context.wake;
        }
    }
}
