//! Which pending jobs of teams with a limit may run.
use super::queue_rank::QueueRank;
use super::quota_state::{limited_teams, TeamQueue};
use super::Coordinator;
use crate::context::Context;
use crate::ids::{JobId, Timestamp};
use crate::jobs::Job;
use crate::quota::admission::{Admission, AdmissionRequest, Admitted, QuotaClaim};
use crate::quota::phase::LimitPhase;
use crate::stored::QuotaUse;
use leaddeal_wire::mesh::QuotaAmount;
use leaddeal_wire::user::JobKind;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A job that has found no machine during this time yields its quota: what it could take of its
/// team's limit is left to others.
const YIELD_AFTER_MS: u64 = 3000;
/// That it found none is forgotten after this time.
const UNMET_EVIDENCE_MS: u64 = 10_000;
/// When the first such job of a queue keeps its quota all the same: nothing would ever be preempted
/// for it otherwise.
const KEEP_QUOTA_CYCLE: DutyCycle = DutyCycle { period_ms: 20_000, active_ms: 10_000 };
/// The same while a participant preempts for it.
const KEEP_QUOTA_PREEMPTING_CYCLE: DutyCycle = DutyCycle { period_ms: 60_000, active_ms: 40_000 };
/// A participant that said that it preempts for a job counts as doing so for this time.
const PREEMPTING_TIMEOUT_MS: u64 = 5000;
/// A job for which lesser work of its team was preempted has this time to begin.
const PREEMPTED_QUOTA_KEPT_MS: u64 = 15_000;

/// Something that is active for the first part of each period.
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

/// A pending job of a team with a limit, and how many of its tasks may run.
#[derive(Debug)]
pub(super) struct WaitingJob {
    pub(super) id: JobId,
    pub(super) team: u8,
    pub(super) request: AdmissionRequest,
    pub(super) claim: QuotaClaim,
    pub(super) admitted: Admitted,
    /// What its team's limit grants this coordinator is known.
    pub(super) grant_known: bool,
}

/// A pending job of a team with a limit, before admission.
struct Pending<'a> {
    rank: QueueRank,
    job: &'a Job,
    team: u8,
    /// What a task takes of the limit.
    task: QuotaAmount,
}

impl Pending<'_> {
    /// How many tasks ask for admission: of a suspected job one at a time.
    fn count(&self) -> u32 {
        if self.job.failure_suspicion.is_suspected() {
            1
        } else {
            self.job.pending()
        }
    }

    fn is_gang(&self) -> bool {
        self.job.wire.kind == JobKind::Gang
    }

    fn queue(&self) -> TeamQueue {
        (self.team, self.job.wire.priority)
    }

    /// What its next task takes, or the gang as a whole.
    fn next_need(&self) -> QuotaAmount {
        self.task.times(if self.is_gang() { self.count() } else { 1 })
    }

    /// A task of it, or the gang as a whole, is no larger than the limit.
    fn can_fit(&self, limits: &BTreeMap<u8, QuotaAmount>) -> bool {
        limits.get(&self.team).is_some_and(|limit| self.next_need().is_within(*limit))
    }
}

impl Coordinator {
    /// What may run of the pending jobs whose teams have limits; all others may.
    pub(super) fn admitted(&self, ctx: &Context) -> HashMap<JobId, Admitted> {
        self.admit_waiting(ctx).into_iter().map(|job| (job.id, job.admitted)).collect()
    }

    /// The pending jobs of teams with a limit by their rank, each with what may run of it.
    pub(super) fn admit_waiting(&self, ctx: &Context) -> Vec<WaitingJob> {
        let limits = limited_teams(ctx);
        if limits.is_empty() {
            return Vec::new();
        }
        let statuses = self.quota_statuses(ctx);
        let phase = LimitPhase::at(ctx.wall_clock_ms);
        let mut admissions: BTreeMap<u8, Admission> = BTreeMap::new();
        let mut keeping = BTreeSet::new();
        let mut waiting = Vec::new();
        for pending in self.pending_of_limited_teams(ctx) {
            if !pending.can_fit(&limits) {
                continue;
            }
            let team = pending.team;
            let status = || statuses.get(&team).copied().unwrap_or_default();
            let admission =
                admissions.entry(team).or_insert_with(|| Admission::new(status()).in_phase(phase));
            let claim = self.quota_claim(&pending, phase, ctx.now, &mut keeping);
            let request = AdmissionRequest {
                priority: pending.job.wire.priority,
                task: pending.task,
                count: pending.count(),
                all_or_nothing: pending.is_gang(),
                yields_quota: claim == QuotaClaim::Nothing,
            };
            let admitted = admission.admit_claim(&request, claim);
            let grant_known = statuses.contains_key(&team);
            let id = pending.job.id;
            waiting.push(WaitingJob { id, team, request, claim, admitted, grant_known });
        }
        waiting
    }

    fn pending_of_limited_teams(&self, ctx: &Context) -> Vec<Pending<'_>> {
        let jobs = self.unplaced_jobs.iter().filter_map(|id| self.jobs.get(id));
        let mut pending: Vec<Pending> = jobs
            .filter(|job| !job.cancelled && job.termination.status.is_none() && job.pending() > 0)
            .filter(|job| job.may_start())
            .filter_map(|job| {
                let QuotaUse { team, amount: task } = ctx.team_use(job)?;
                let rank = QueueRank::of(job, ctx.now);
                Some(Pending { rank, job, team, task })
            })
            .collect();
        pending.sort_unstable_by_key(|pending| pending.rank);
        pending
    }

    /// What a job keeps of its team's limit from those after it. `keeping` are the queues whose first
    /// job without a machine keeps its quota.
    fn quota_claim(
        &self,
        pending: &Pending,
        phase: LimitPhase,
        now: Timestamp,
        keeping: &mut BTreeSet<TeamQueue>,
    ) -> QuotaClaim {
        let job = pending.job;
        if job.failure_suspicion.is_suspected() {
            return QuotaClaim::Nothing;
        }
        let unmet_ms = job.demand_unmet_ms(now).filter(|unmet_ms| *unmet_ms > YIELD_AFTER_MS);
        // What was true of a job that was not asked for lately may have changed.
        let unmet_ms = unmet_ms.filter(|_| job.was_refused_within(UNMET_EVIDENCE_MS, now));
        let Some(unmet_ms) = unmet_ms else { return QuotaClaim::All };
        let preempting = job.preempting_at.is_some_and(|at| now < at + PREEMPTING_TIMEOUT_MS);
        let cycle = if preempting { KEEP_QUOTA_PREEMPTING_CYCLE } else { KEEP_QUOTA_CYCLE };
        let keeps = phase == LimitPhase::Keeping
            && cycle.is_active(unmet_ms)
            && keeping.insert(pending.queue());
        if self.keeps_preempted_quota(job.id, now) {
            QuotaClaim::All
        } else if keeps {
            QuotaClaim::Next
        } else {
            QuotaClaim::Nothing
        }
    }

    /// Lesser work of its team was preempted for the job a short while ago.
    fn keeps_preempted_quota(&self, job: JobId, now: Timestamp) -> bool {
        let since = self.quota.preempted_for.get(&job);
        since.is_some_and(|since| now < since + PREEMPTED_QUOTA_KEPT_MS)
    }

    /// Forgets jobs for which work was preempted so long ago that it may be again: after twice the
    /// time that a job has to begin.
    pub(super) fn expire_preempted_quota(&mut self, now: Timestamp) {
        self.quota.preempted_for.retain(|_, since| now < *since + 2 * PREEMPTED_QUOTA_KEPT_MS);
    }
}
