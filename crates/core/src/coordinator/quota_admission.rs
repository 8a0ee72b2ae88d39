//! Admission of the pending jobs of teams with a quota.
use super::queue_rank::QueueRank;
use super::quota_state::{team_quotas, TeamQueue};
use super::Coordinator;
use crate::context::Context;
use crate::ids::{JobId, Timestamp};
use crate::jobs::Job;
use crate::quota::admission::{Admission, AdmissionRequest, Admitted, QuotaClaim};
use crate::quota::phase::QuotaPhase;
use crate::stored::QuotaUse;
use leaddeal_wire::mesh::QuotaAmount;
use leaddeal_wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A job whose demand for machines has been unmet for this time yields its quota to other jobs of
/// its team.
const YIELD_AFTER_MS: u64 = 3000;
/// An unmet demand counts for this time after the job's last request that was refused.
const UNMET_EVIDENCE_MS: u64 = 10_000;
/// When the first of a queue's yielding jobs keeps its quota all the same. Without this, no work
/// would ever be preempted for it.
const KEEP_QUOTA_CYCLE: DutyCycle = DutyCycle { period_ms: 20_000, active_ms: 10_000 };
/// The same while a participant preempts for the job.
const KEEP_QUOTA_PREEMPTING_CYCLE: DutyCycle = DutyCycle { period_ms: 60_000, active_ms: 40_000 };
/// A participant counts as preempting for a job for this time after it last reported so.
const PREEMPTING_TIMEOUT_MS: u64 = 5000;
/// A job for which lower-priority work of its team was preempted keeps the freed quota for this
/// time, in which it is to start.
const PREEMPTED_QUOTA_KEPT_MS: u64 = 15_000;

/// A schedule that is active for the first part of each period.
///
/// Invariant: `active_ms` is at most `period_ms`, which is above zero.
#[derive(Clone, Copy, Debug)]
struct DutyCycle {
    period_ms: u64,
    active_ms: u64,
}

impl DutyCycle {
    fn is_active(self, elapsed_ms: u64) -> bool {
        elapsed_ms % self.period_ms < self.active_ms
    }
}

/// A pending job of a team with a quota, and how many of its tasks are admitted.
#[derive(Debug)]
pub(super) struct JobAdmission {
    pub(super) id: JobId,
    pub(super) team: u8,
    pub(super) request: AdmissionRequest,
    pub(super) claim: QuotaClaim,
    pub(super) admitted: Admitted,
    /// Whether this coordinator's grant of the team's quota is known.
    pub(super) is_grant_known: bool,
}

/// A pending job of a team with a quota, before admission.
struct PendingJob<'a> {
    rank: QueueRank,
    job: &'a Job,
    team: u8,
    /// What one task takes of the quota.
    amount_per_task: QuotaAmount,
}

impl PendingJob<'_> {
    /// Returns for how many tasks admission is requested: one at a time for a suspected job.
    fn count(&self) -> u32 {
        if self.job.failure_suspicion.is_suspected() {
            1
        } else {
            self.job.pending()
        }
    }

    fn is_gang(&self) -> bool {
        self.job.spec.kind == JobKind::Gang
    }

    fn queue(&self) -> TeamQueue {
        (self.team, self.job.spec.priority)
    }

    /// Returns what the next task takes of the quota, or the gang as a whole.
    fn next_need(&self) -> QuotaAmount {
        self.amount_per_task.times(if self.is_gang() { self.count() } else { 1 })
    }

    /// Whether the next task, or the gang as a whole, fits within the team's total quota.
    fn can_fit(&self, quotas: &BTreeMap<u8, QuotaAmount>) -> bool {
        quotas.get(&self.team).is_some_and(|quota| self.next_need().is_within(*quota))
    }
}

impl Coordinator {
    /// Returns how many tasks of each pending job are admitted, for the jobs whose teams have a
    /// quota. Jobs of other teams need no admission.
    pub(super) fn admitted(&self, ctx: &Context) -> HashMap<JobId, Admitted> {
        self.admit_pending(ctx)
            .into_iter()
            .map(|admission| (admission.id, admission.admitted))
            .collect()
    }

    /// Returns the pending jobs of teams with a quota in the order of their rank, each with its
    /// admission.
    pub(super) fn admit_pending(&self, ctx: &Context) -> Vec<JobAdmission> {
        let quotas = team_quotas(ctx);
        if quotas.is_empty() {
            return Vec::new();
        }
        let statuses = self.quota_statuses(ctx);
        let phase = QuotaPhase::at(ctx.wall_clock_ms);
        let mut admissions: BTreeMap<u8, Admission> = BTreeMap::new();
        let mut queues_keeping = BTreeSet::new();
        let mut job_admissions = Vec::new();
        for pending in self.pending_jobs_with_quota(ctx) {
            if !pending.can_fit(&quotas) {
                continue;
            }
            let team = pending.team;
            let status = || statuses.get(&team).copied().unwrap_or_default();
            let admission =
                admissions.entry(team).or_insert_with(|| Admission::new(status()).in_phase(phase));
            let claim = self.quota_claim(&pending, phase, ctx.now, &mut queues_keeping);
            let request = AdmissionRequest {
                priority: pending.job.spec.priority,
                amount_per_task: pending.amount_per_task,
                tasks: pending.count(),
                all_or_nothing: pending.is_gang(),
                yields_quota: claim == QuotaClaim::Nothing,
            };
            let admitted = admission.admit_claim(&request, claim);
            let is_grant_known = statuses.contains_key(&team);
            let id = pending.job.id;
            job_admissions.push(JobAdmission {
                id,
                team,
                request,
                claim,
                admitted,
                is_grant_known,
            });
        }
        job_admissions
    }

    /// Returns the pending jobs of teams with a quota in the order of their rank.
    fn pending_jobs_with_quota(&self, ctx: &Context) -> Vec<PendingJob<'_>> {
        let jobs = self.unplaced_jobs.iter().filter_map(|id| self.jobs.get(id));
        let mut pending: Vec<PendingJob> = jobs
            .filter(|job| !job.cancelled && job.termination.status.is_none() && job.pending() > 0)
            .filter(|job| job.may_start())
            .filter_map(|job| {
                let QuotaUse { team, amount: amount_per_task } = ctx.quota_use(job)?;
                let rank = QueueRank::of(job, ctx.now);
                Some(PendingJob { rank, job, team, amount_per_task })
            })
            .collect();
        pending.sort_unstable_by_key(|pending| pending.rank);
        pending
    }

    /// Returns how much of its team's quota a job keeps from the jobs after it. `queues_keeping`
    /// collects the queues in which a job with unmet demand already keeps its quota.
    fn quota_claim(
        &self,
        pending: &PendingJob,
        phase: QuotaPhase,
        now: Timestamp,
        queues_keeping: &mut BTreeSet<TeamQueue>,
    ) -> QuotaClaim {
        let job = pending.job;
        if job.failure_suspicion.is_suspected() {
            return QuotaClaim::Nothing;
        }
        let unmet_ms = job.demand_unmet_ms(now).filter(|unmet_ms| *unmet_ms > YIELD_AFTER_MS);
        // Without a recent request, there may be capacity for the job by now.
        let unmet_ms = unmet_ms.filter(|_| job.had_no_capacity_within(UNMET_EVIDENCE_MS, now));
        let Some(unmet_ms) = unmet_ms else { return QuotaClaim::All };
        let is_preempting =
            job.preemption_reported_at.is_some_and(|at| now < at + PREEMPTING_TIMEOUT_MS);
        let cycle = if is_preempting { KEEP_QUOTA_PREEMPTING_CYCLE } else { KEEP_QUOTA_CYCLE };
        let keeps_next = phase == QuotaPhase::Reserving
            && cycle.is_active(unmet_ms)
            && queues_keeping.insert(pending.queue());
        if self.keeps_preempted_quota(job.id, now) {
            QuotaClaim::All
        } else if keeps_next {
            QuotaClaim::Next
        } else {
            QuotaClaim::Nothing
        }
    }

    /// Whether lower-priority work of the team was preempted for the job within
    /// [`PREEMPTED_QUOTA_KEPT_MS`].
    fn keeps_preempted_quota(&self, job: JobId, now: Timestamp) -> bool {
        let since = self.quota.preempted_for.get(&job);
        since.is_some_and(|since| now < since + PREEMPTED_QUOTA_KEPT_MS)
    }

    /// Forgets the jobs for which work was preempted more than twice [`PREEMPTED_QUOTA_KEPT_MS`]
    /// ago: work may be preempted for them again.
    pub(super) fn expire_preempted_quota(&mut self, now: Timestamp) {
        self.quota.preempted_for.retain(|_, since| now < *since + 2 * PREEMPTED_QUOTA_KEPT_MS);
    }
}
