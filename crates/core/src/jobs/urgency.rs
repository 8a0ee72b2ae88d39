//! The order of jobs of the same priority, by their service-level objectives.
use super::Job;
use crate::ids::Timestamp;
use leaddeal_wire::mesh;
use leaddeal_wire::user::JobKind;

/// A job that waits for its first start for longer comes first among those of its priority.
const MAX_WAIT_FOR_FIRST_START_MS: u64 = 110_000;
/// A job without a further objective counts as due this long after its submission.
const DEFAULT_LATEST_START_MS: f64 = 600_000.0;

/// How urgent a job is; the least is served first. Jobs that have missed objectives already come
/// after those that can still meet theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// How many of its objectives the job can't meet any more.
    pub missed_objectives: u8,
    /// The latest start that meets the next objective.
    pub due: Timestamp,
}

impl Job {
    /// How urgent the job is by its objectives alone.
    pub fn urgency(&self, now: Timestamp) -> Urgency {
        let age = now.saturating_sub(self.created) as f64;
        let missed = self.latest_starts_ms.partition_point(|&start| start < age);
        let next = self.latest_starts_ms.get(missed).copied().unwrap_or(DEFAULT_LATEST_START_MS);
        Urgency { missed_objectives: missed as u8, due: self.created + next.max(0.0) as u64 }
    }

    /// The job's urgency among jobs of the same priority that wait to be placed. Whatever its
    /// objectives, and however many others have nearer ones, a job that has waited too long for its
    /// first start comes first: the operators' largest and idle-time jobs have to begin within four
    /// minutes. (Found on their sites: arrays without an objective began after 500 to 590 s, behind
    /// a stream of small ones.)
    pub fn placement_urgency(&self, now: Timestamp) -> Urgency {
        let due = self.created + MAX_WAIT_FOR_FIRST_START_MS;
        if self.first_started_at.is_none() && now >= due {
            return Urgency { missed_objectives: 0, due };
        }
        self.urgency(now)
    }

    /// More than a third of the time to its next objective is over.
    pub fn is_urgent(&self, now: Timestamp) -> bool {
        let due = self.urgency(now).due;
        now.saturating_sub(self.created) > due.saturating_sub(self.created) / 3
    }

    /// A gang's position in the gang queue of a participant; none for other kinds of jobs.
    pub fn queue_position(&self, now: Timestamp) -> Option<mesh::QueuePosition> {
        if self.wire.kind != JobKind::Gang {
            return None;
        }
        let urgency = self.urgency(now);
        Some(mesh::QueuePosition {
            missed_objectives: urgency.missed_objectives,
            // Below zero once it is over: cut off there, each gang that was late took itself for
            // later than those that had asked before it, and none was ever first.
            time_left_ms: urgency.due as i64 - now as i64,
            blocks_gangs_behind: self.backoff.failed_tries > 0 && self.target_zone.is_some(),
            zone: self.target_zone.map(|zone| zone.0),
        })
    }
}
