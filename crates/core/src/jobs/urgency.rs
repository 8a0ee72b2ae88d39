//! The order of jobs of the same priority, from their service-level objectives.
use super::Job;
use crate::ids::Timestamp;
use leaddeal_wire::mesh;
use leaddeal_wire::user::JobKind;

/// A job that has waited this long for its first start is served first among jobs of its priority.
const MAX_WAIT_FOR_FIRST_START_MS: u64 = 110_000;
/// A job without any objective left to meet is due this long after its submission.
const DEFAULT_LATEST_START_MS: f64 = 600_000.0;

/// How urgent a job is; the least value is served first. Jobs that have already missed objectives
/// come after jobs that can still meet theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// How many of its objectives the job can no longer meet.
    pub missed_objectives: u8,
    /// The latest start that meets the next objective.
    pub due: Timestamp,
}

impl Job {
    /// Returns how urgent the job is by its objectives alone.
    pub fn urgency(&self, now: Timestamp) -> Urgency {
        let age = now.saturating_sub(self.submitted_at) as f64;
        let missed = self.latest_starts_ms.partition_point(|&start| start < age);
        let next = self.latest_starts_ms.get(missed).copied().unwrap_or(DEFAULT_LATEST_START_MS);
        Urgency { missed_objectives: missed as u8, due: self.submitted_at + next.max(0.0) as u64 }
    }

    /// Returns the job's urgency among jobs of the same priority that wait to be placed. A job that
    /// has waited too long for its first start comes first, regardless of its objectives and those
    /// of other jobs: the operators' largest and idle-time jobs have to start within four minutes.
    /// Without this, arrays without an objective started after 500 to 590 s on operators' sites,
    /// behind a stream of small jobs.
    pub fn placement_urgency(&self, now: Timestamp) -> Urgency {
        let due = self.submitted_at + MAX_WAIT_FOR_FIRST_START_MS;
        if self.first_started_at.is_none() && now >= due {
            return Urgency { missed_objectives: 0, due };
        }
        self.urgency(now)
    }

    /// Whether more than a third of the time from submission to the next objective has passed.
    pub fn is_urgent(&self, now: Timestamp) -> bool {
        let due = self.urgency(now).due;
        now.saturating_sub(self.submitted_at) > due.saturating_sub(self.submitted_at) / 3
    }

    /// Returns a gang's position in the gang queue of a participant; `None` for other kinds of
    /// jobs.
    pub fn queue_position(&self, now: Timestamp) -> Option<mesh::QueuePosition> {
        if self.spec.kind != JobKind::Gang {
            return None;
        }
        let urgency = self.urgency(now);
        Some(mesh::QueuePosition {
            missed_objectives: urgency.missed_objectives,
            // Negative once the job is late. If it were cut off at zero, each late gang would count
            // as later than the gangs that requested before it, and no gang would ever be first.
            time_left_ms: urgency.due as i64 - now as i64,
            blocks_gangs_behind: self.backoff.failed_retries > 0 && self.target_zone.is_some(),
            zone: self.target_zone.map(|zone| zone.0),
        })
    }
}
