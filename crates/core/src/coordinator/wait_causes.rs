//! Why jobs are pending: the step at which each job is held back, counted for the operators' log.
//!
//! Only the outcome of a job's last request is stored. The rest is computed once a minute, when the
//! statistics are logged.
use super::quota_admission::JobAdmission;
use super::Coordinator;
use crate::context::Context;
use crate::ids::{JobId, Timestamp};
use crate::jobs::{Job, RequestOutcome};
use leaddeal_wire::user;
use std::collections::HashMap;

/// Jobs that have been pending for less than this time are not counted.
const MIN_WAIT_MS: u64 = 30_000;

/// Why a job is pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// It must not start more tasks while earlier ones are on machines: a gang starts as a whole, a
    /// suspected job on one machine at a time.
    TasksStillPlaced,
    /// It is suspected of failing on any machine, and its back-off has not passed yet.
    FailureBackoff,
    /// Its team's quota is used up or kept for jobs that rank before it.
    Quota,
    /// This coordinator's grant of the team's quota is not known.
    GrantUnknown,
    /// Participants had capacity for it, but its team's quota did not cover it.
    QuotaAfterOffer,
    /// No participant had capacity for any of its tasks.
    NoOffer,
    /// There was capacity for some tasks of the gang, but not for all.
    GangIncomplete,
    /// The decision to place its tasks was not written.
    DecisionNotWritten,
    /// Offers are being requested for it, or it waits for its turn in a round.
    Queued,
}

impl WaitCause {
    /// All causes.
    pub const ALL: [WaitCause; 9] = [
        WaitCause::TasksStillPlaced,
        WaitCause::FailureBackoff,
        WaitCause::Quota,
        WaitCause::GrantUnknown,
        WaitCause::QuotaAfterOffer,
        WaitCause::NoOffer,
        WaitCause::GangIncomplete,
        WaitCause::DecisionNotWritten,
        WaitCause::Queued,
    ];

    /// Returns the name of the cause in the log.
    pub fn name(self) -> &'static str {
        match self {
            WaitCause::TasksStillPlaced => "tasks_still_placed",
            WaitCause::FailureBackoff => "failure_backoff",
            WaitCause::Quota => "quota",
            WaitCause::GrantUnknown => "grant_unknown",
            WaitCause::QuotaAfterOffer => "quota_after_offer",
            WaitCause::NoOffer => "no_offer",
            WaitCause::GangIncomplete => "gang_incomplete",
            WaitCause::DecisionNotWritten => "decision_not_written",
            WaitCause::Queued => "queued",
        }
    }

    /// Returns the cause for a job whose last request had this outcome; `None`: the last request
    /// placed tasks, or there was none yet.
    fn from_request_outcome(outcome: Option<RequestOutcome>) -> WaitCause {
        match outcome {
            None => WaitCause::Queued,
            Some(RequestOutcome::NoOffer) => WaitCause::NoOffer,
            Some(RequestOutcome::GangIncomplete) => WaitCause::GangIncomplete,
            Some(RequestOutcome::QuotaExceeded) => WaitCause::QuotaAfterOffer,
            Some(RequestOutcome::DecisionNotWritten) => WaitCause::DecisionNotWritten,
        }
    }
}

/// Pending jobs counted by cause.
#[derive(Debug, Default)]
struct WaitCounts {
    by_cause: [u32; WaitCause::ALL.len()],
    /// Submission time, cause and identifier of the job that was submitted first.
    oldest: Option<(Timestamp, WaitCause, String)>,
}

impl WaitCounts {
    fn add(&mut self, job: &Job, cause: WaitCause) {
        self.by_cause[cause as usize] += 1;
        let known = self.oldest.as_ref().map(|(submitted_at, ..)| *submitted_at);
        if known.is_none_or(|submitted_at| job.submitted_at < submitted_at) {
            self.oldest = Some((job.submitted_at, cause, user::job_id(job.id.0)));
        }
    }

    fn statistics(&self, shard: u8, now: Timestamp) -> Option<String> {
        let (submitted_at, cause, job) = self.oldest.as_ref()?;
        let mut details = vec![format!("shard={shard}")];
        let counted = WaitCause::ALL.into_iter().filter(|cause| self.by_cause[*cause as usize] > 0);
        details.extend(
            counted.map(|cause| format!("{}={}", cause.name(), self.by_cause[cause as usize])),
        );
        let waited_s = now.saturating_sub(*submitted_at) / 1000;
        details.push(format!("oldest={job} oldest_s={waited_s} oldest_cause={}", cause.name()));
        Some(details.join(" "))
    }
}

impl Coordinator {
    /// Returns the log details of the jobs that have been pending for `MIN_WAIT_MS`: their number
    /// by cause, and the oldest of them. `None`: there are no such jobs.
    pub fn wait_statistics(&self, ctx: &Context) -> Option<String> {
        let mut counts = WaitCounts::default();
        for (job, cause) in self.wait_causes(ctx) {
            counts.add(job, cause);
        }
        counts.statistics(self.shard.0, ctx.now)
    }

    /// Returns the jobs that have been pending for `MIN_WAIT_MS`, each with its cause.
    fn wait_causes<'a>(&'a self, ctx: &Context) -> Vec<(&'a Job, WaitCause)> {
        let admissions = self.quota.admissions.iter().map(|admission| (admission.id, admission));
        let admissions: HashMap<JobId, &JobAdmission> = admissions.collect();
        let jobs = self.unplaced_jobs.iter().filter_map(|id| self.jobs.get(id));
        let pending = jobs
            .filter(|job| !job.cancelled && job.termination.status.is_none() && job.pending() > 0)
            .filter(|job| ctx.now >= job.submitted_at + MIN_WAIT_MS);
        let with_cause =
            pending.map(|job| (job, wait_cause(job, admissions.get(&job.id).copied(), ctx.now)));
        with_cause.collect()
    }
}

/// Returns why a job is pending. `admission` is the job's admission at the last quota report;
/// `None`: the team has no quota, or the job was not pending then.
fn wait_cause(job: &Job, admission: Option<&JobAdmission>, now: Timestamp) -> WaitCause {
    if !job.may_start() {
        WaitCause::TasksStillPlaced
    } else if job.failure_suspicion.is_suspected() && job.not_before > now {
        WaitCause::FailureBackoff
    } else if admission.is_some_and(|admission| !admission.is_grant_known) {
        WaitCause::GrantUnknown
    } else if admission.is_some_and(|admission| admission.admitted.after_preemption == 0) {
        WaitCause::Quota
    } else {
        WaitCause::from_request_outcome(job.last_request_outcome)
    }
}
