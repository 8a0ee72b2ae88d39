//! Why jobs wait: the step that last held each of them back, counted for the operators' log.
//!
//! Nothing is kept for it but what became of a job's last request: the rest is worked out when the
//! figures are asked for, once a minute.
use super::quota_admission::WaitingJob;
use super::Coordinator;
use crate::context::Context;
use crate::ids::{JobId, Timestamp};
use crate::jobs::{Job, RequestOutcome};
use leaddeal_wire::user;
use std::collections::HashMap;

/// Jobs that have waited for less are left out.
const MIN_WAIT_MS: u64 = 30_000;

/// What holds a job back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// Tasks of it are still on machines: a gang starts whole, a suspected job in one place.
    TasksStillPlaced,
    /// It failed wherever it was tried, and is retried later.
    FailureBackoff,
    /// Its team's limit is used up, or left to jobs before it.
    Quota,
    /// What its team's limit grants this coordinator is not known.
    GrantUnknown,
    /// Participants had capacity for it, its team's limit had not.
    QuotaAfterOffer,
    /// No participant had capacity for any of its tasks.
    NoOffer,
    /// There was capacity for some tasks of the gang, not for all.
    GangIncomplete,
    /// The decision to place its tasks was not written.
    DecisionNotWritten,
    /// It is requested, or will be once those before it were.
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

    /// Its name in the log.
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

    /// Of a job whose last request ended like this, or that was not requested yet.
    fn of_request(outcome: Option<RequestOutcome>) -> WaitCause {
        match outcome {
            None => WaitCause::Queued,
            Some(RequestOutcome::NoOffer) => WaitCause::NoOffer,
            Some(RequestOutcome::GangIncomplete) => WaitCause::GangIncomplete,
            Some(RequestOutcome::QuotaExceeded) => WaitCause::QuotaAfterOffer,
            Some(RequestOutcome::DecisionNotWritten) => WaitCause::DecisionNotWritten,
        }
    }
}

/// Jobs by what holds them back.
#[derive(Debug, Default)]
struct WaitCounts {
    by_cause: [u32; WaitCause::ALL.len()],
    /// The one that was submitted first.
    oldest: Option<(Timestamp, WaitCause, String)>,
}

impl WaitCounts {
    fn add(&mut self, job: &Job, cause: WaitCause) {
        self.by_cause[cause as usize] += 1;
        let known = self.oldest.as_ref().map(|(created, ..)| *created);
        if known.is_none_or(|created| job.submitted_at < created) {
            self.oldest = Some((job.submitted_at, cause, user::job_id(job.id.0)));
        }
    }

    fn figures(&self, shard: u8, now: Timestamp) -> Option<String> {
        let (created, cause, job) = self.oldest.as_ref()?;
        let mut words = vec![format!("shard={shard}")];
        let met = WaitCause::ALL.into_iter().filter(|cause| self.by_cause[*cause as usize] > 0);
        words.extend(met.map(|met| format!("{}={}", met.name(), self.by_cause[met as usize])));
        let waited_s = now.saturating_sub(*created) / 1000;
        words.push(format!("oldest={job} oldest_s={waited_s} oldest_cause={}", cause.name()));
        Some(words.join(" "))
    }
}

impl Coordinator {
    /// For the operators' log: pending jobs that have waited for long, by what holds them back, and
    /// the oldest of them. None: there are none.
    pub fn wait_figures(&self, ctx: &Context) -> Option<String> {
        let mut counts = WaitCounts::default();
        for (job, cause) in self.wait_causes(ctx) {
            counts.add(job, cause);
        }
        counts.figures(self.shard.0, ctx.now)
    }

    /// Pending jobs that have waited for long, each with what holds it back.
    fn wait_causes<'a>(&'a self, ctx: &Context) -> Vec<(&'a Job, WaitCause)> {
        let limited = self.quota.waiting.iter().map(|waiting| (waiting.id, waiting));
        let limited: HashMap<JobId, &WaitingJob> = limited.collect();
        let jobs = self.unplaced_jobs.iter().filter_map(|id| self.jobs.get(id));
        let waiting = jobs
            .filter(|job| !job.cancelled && job.termination.status.is_none() && job.pending() > 0)
            .filter(|job| ctx.now >= job.submitted_at + MIN_WAIT_MS);
        let with_cause =
            waiting.map(|job| (job, wait_cause(job, limited.get(&job.id).copied(), ctx.now)));
        with_cause.collect()
    }
}

/// `limited`: what the last report said of the job, if its team has a limit.
fn wait_cause(job: &Job, limited: Option<&WaitingJob>, now: Timestamp) -> WaitCause {
    if !job.may_start() {
        WaitCause::TasksStillPlaced
    } else if job.failure_suspicion.is_suspected() && job.not_before > now {
        WaitCause::FailureBackoff
    } else if limited.is_some_and(|waiting| !waiting.grant_known) {
        WaitCause::GrantUnknown
    } else if limited.is_some_and(|waiting| waiting.admitted.after_preemption == 0) {
        WaitCause::Quota
    } else {
        WaitCause::of_request(job.last_request_outcome)
    }
}
