//! When a job that no participant had capacity for is requested again.
use super::Job;
use crate::ids::Timestamp;
use leaddeal_wire::user::{JobKind, Priority};

/// A late service that no machine had capacity for during this time may use machines with GPUs.
const GPU_MACHINES_ALLOWED_AFTER_MS: u64 = 9000;

/// Between two retries of a job at low priority.
const LOW_PRIORITY_RETRY_INTERVAL_MS: u64 = 1800;
/// Between the first retries, and how many those are.
const FIRST_RETRY_INTERVAL_MS: u64 = 150;
const FIRST_RETRIES: u32 = 4;
/// Between the next ones, up to this retry.
const NEXT_RETRY_INTERVAL_MS: u64 = 300;
const NEXT_RETRIES_UNTIL: u32 = 10;
/// Between all later ones.
const LATER_RETRY_INTERVAL_MS: u64 = 1200;

/// Why a request for a job placed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// No participant had capacity for any of its tasks.
    NoOffer,
    /// There was capacity for some tasks of a gang.
    GangIncomplete,
    /// There was capacity, but its team's limit lets none of its tasks in.
    QuotaExceeded,
    /// The decision was not written.
    DecisionNotWritten,
}

/// The retry state of a job whose demand is unmet.
#[derive(Debug, Default)]
pub struct PlacementBackoff {
    /// Retries by timer that found no capacity since a task was last placed.
    pub(super) failed_tries: u32,
    /// Since when no participant has had capacity for it.
    unmet_since: Option<Timestamp>,
    /// When no participant had capacity for it the last time.
    refused_at: Timestamp,
    /// When it is retried even if no participant reports freed capacity.
    next_retry_at: Timestamp,
}

impl PlacementBackoff {
    /// The interval between retries, given how many have failed.
    fn retry_interval_ms(&self, priority: Priority) -> u64 {
        if priority == Priority::Low {
            return LOW_PRIORITY_RETRY_INTERVAL_MS;
        }
        match self.failed_tries {
            0..FIRST_RETRIES => FIRST_RETRY_INTERVAL_MS,
            FIRST_RETRIES..NEXT_RETRIES_UNTIL => NEXT_RETRY_INTERVAL_MS,
            _ => LATER_RETRY_INTERVAL_MS,
        }
    }
}

impl Job {
    /// No participant had capacity for it. Participants report freed capacity, so the next retry by
    /// timer may wait; it comes soon at first, since preemption is asked of one participant after
    /// the other. Retries fall on common moments, so that one round serves many jobs. Returns true
    /// if this was a retry by timer.
    pub fn record_unmet_demand(&mut self, now: Timestamp) -> bool {
        self.backoff.unmet_since.get_or_insert(now);
        self.backoff.refused_at = now;
        let by_timer = now >= self.backoff.next_retry_at;
        if by_timer {
            self.backoff.failed_tries += 1;
            let interval = self.backoff.retry_interval_ms(self.wire.priority);
            self.backoff.next_retry_at = (now / interval + 1) * interval;
        }
        self.not_before = self.backoff.next_retry_at;
        by_timer
    }

    /// How long no participant has had capacity for it, in milliseconds; none: its last demand was
    /// met.
    pub fn demand_unmet_ms(&self, now: Timestamp) -> Option<u64> {
        self.backoff.unmet_since.map(|since| now.saturating_sub(since))
    }

    /// No participant had capacity for it, the last time within `ms`.
    pub fn was_refused_within(&self, ms: u64, now: Timestamp) -> bool {
        self.backoff.unmet_since.is_some() && now <= self.backoff.refused_at + ms
    }

    /// A participant had capacity for it: the next unmet demand starts a new backoff.
    pub fn reset_backoff(&mut self) {
        self.backoff = PlacementBackoff::default();
    }

    /// A participant reports freed capacity: retried now, unless the job waits for another reason.
    pub fn capacity_freed(&mut self, now: Timestamp) {
        let waits_for_capacity = self.not_before == self.backoff.next_retry_at;
        if self.backoff.unmet_since.is_some() && waits_for_capacity {
            self.not_before = self.not_before.min(now);
        }
    }

    /// A service that is late and finds no machine may use any: users notice it sooner than GPU work
    /// that waits, and it is moved to another machine later.
    pub fn may_use_gpu_machines(&self, now: Timestamp) -> bool {
        let late = self.urgency(now).missed_objectives > 0;
        let long = self.demand_unmet_ms(now).is_some_and(|ms| ms >= GPU_MACHINES_ALLOWED_AFTER_MS);
        self.wire.kind == JobKind::Service && late && long
    }
}
