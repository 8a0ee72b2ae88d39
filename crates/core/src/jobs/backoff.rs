//! Retry back-off for jobs that no participant had capacity for.
use super::Job;
use crate::ids::Timestamp;
use leaddeal_wire::user::{JobKind, Priority};

/// How long a late service must have found no capacity before it may use machines with GPUs.
const GPU_MACHINES_ALLOWED_AFTER_MS: u64 = 9000;

/// The interval between retries of a low-priority job.
const LOW_PRIORITY_RETRY_INTERVAL_MS: u64 = 1800;
/// The interval between the first retries of other jobs.
const FIRST_RETRY_INTERVAL_MS: u64 = 150;
/// The number of the first retries.
const FIRST_RETRIES: u32 = 4;
/// The interval between the next retries.
const NEXT_RETRY_INTERVAL_MS: u64 = 300;
/// The number of the first and the next retries together.
const NEXT_RETRIES_UNTIL: u32 = 10;
/// The interval between all later retries.
const LATER_RETRY_INTERVAL_MS: u64 = 1200;

/// Why a request for a job placed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// No participant had capacity for any of its tasks.
    NoOffer,
    /// There was capacity for only some tasks of a gang.
    GangIncomplete,
    /// There was capacity, but the team's quota admits none of the job's tasks.
    QuotaExceeded,
    /// The decision was not written to the store.
    DecisionNotWritten,
}

/// The retry state of a job with unmet demand.
#[derive(Debug, Default)]
pub struct PlacementBackoff {
    /// Retries by timer that found no capacity, since a participant last had capacity for the job.
    pub(super) failed_retries: u32,
    /// Since when no participant has had capacity for the job; `None`: its last demand was met.
    unmet_since: Option<Timestamp>,
    /// When the last request found no capacity.
    last_unmet_at: Timestamp,
    /// When the job is retried even if no participant reports freed capacity.
    next_retry_at: Timestamp,
}

impl PlacementBackoff {
    /// Returns the interval until the next retry, given how many have failed.
    fn retry_interval_ms(&self, priority: Priority) -> u64 {
        if priority == Priority::Low {
            return LOW_PRIORITY_RETRY_INTERVAL_MS;
        }
        match self.failed_retries {
            0..FIRST_RETRIES => FIRST_RETRY_INTERVAL_MS,
            FIRST_RETRIES..NEXT_RETRIES_UNTIL => NEXT_RETRY_INTERVAL_MS,
            _ => LATER_RETRY_INTERVAL_MS,
        }
    }
}

impl Job {
    /// Records that no participant had capacity for the job, and schedules the next retry. Returns
    /// true if this was a retry by timer.
    ///
    /// Participants report freed capacity, so the next retry by timer may be late. The first
    /// retries follow soon, since preemption is requested from one participant after the other.
    /// Retry times are multiples of the interval, so that one round serves many jobs.
    pub fn record_unmet_demand(&mut self, now: Timestamp) -> bool {
        self.backoff.unmet_since.get_or_insert(now);
        self.backoff.last_unmet_at = now;
        let by_timer = now >= self.backoff.next_retry_at;
        if by_timer {
            self.backoff.failed_retries += 1;
            let interval = self.backoff.retry_interval_ms(self.spec.priority);
            self.backoff.next_retry_at = (now / interval + 1) * interval;
        }
        self.not_before = self.backoff.next_retry_at;
        by_timer
    }

    /// Returns for how long no participant has had capacity for the job, in milliseconds; `None`:
    /// its last demand was met.
    pub fn demand_unmet_ms(&self, now: Timestamp) -> Option<u64> {
        self.backoff.unmet_since.map(|since| now.saturating_sub(since))
    }

    /// Whether the job has unmet demand and its last request without capacity was within `ms`.
    pub fn had_no_capacity_within(&self, ms: u64, now: Timestamp) -> bool {
        self.backoff.unmet_since.is_some() && now <= self.backoff.last_unmet_at + ms
    }

    /// Resets the back-off because a participant had capacity for the job. The next unmet demand
    /// starts a new back-off.
    pub fn reset_backoff(&mut self) {
        self.backoff = PlacementBackoff::default();
    }

    /// Schedules a retry now because a participant reports freed capacity, unless the job waits for
    /// another reason.
    pub fn capacity_freed(&mut self, now: Timestamp) {
        let waits_for_capacity = self.not_before == self.backoff.next_retry_at;
        if self.backoff.unmet_since.is_some() && waits_for_capacity {
            self.not_before = self.not_before.min(now);
        }
    }

    /// Whether the job may use machines with GPUs that it does not need. This holds for a service
    /// that is late and finds no machine: users notice a missing service sooner than waiting GPU
    /// work, and the service is moved to another machine later.
    pub fn may_use_gpu_machines(&self, now: Timestamp) -> bool {
        let late = self.urgency(now).missed_objectives > 0;
        let long = self.demand_unmet_ms(now).is_some_and(|ms| ms >= GPU_MACHINES_ALLOWED_AFTER_MS);
        self.spec.kind == JobKind::Service && late && long
    }
}
