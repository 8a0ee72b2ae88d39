//! The order in which waiting gangs are served.
use crate::ids::{JobId, Timestamp};
use leaddeal_wire::mesh::QueuePosition;
use leaddeal_wire::user::Priority;
use std::cmp::Reverse;

/// Rank of a job's gang among those that wait; the smallest rank is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    /// Priority of the job; the highest is served first.
    pub priority: Reverse<Priority>,
    /// Number of objectives that the job has missed; the job with the fewest is served first.
    pub missed_objectives: u8,
    /// When the job's next objective is due; the earliest is served first.
    pub due_at: Timestamp,
    /// The job. It makes the order total.
    pub job: JobId,
}

impl QueueRank {
    /// Returns the rank of a job whose coordinator states this position at `now`.
    pub fn new(priority: Priority, position: QueuePosition, job: JobId, now: Timestamp) -> Self {
        QueueRank {
            priority: Reverse(priority),
            missed_objectives: position.missed_objectives,
            due_at: now.saturating_add_signed(position.time_left_ms),
            job,
        }
    }
}
