//! The order in which waiting jobs are served.
use crate::ids::{JobId, Timestamp};
use leaddeal_wire::mesh::QueuePosition;
use leaddeal_wire::user::Priority;
use std::cmp::Reverse;

/// A job's rank among those that wait: the lesser is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    /// The higher priority first.
    pub priority: Reverse<Priority>,
    /// Objectives that it has missed: a job that missed fewer first.
    pub missed_objectives: u8,
    /// When its next objective is due: the earlier first.
    pub due_at: Timestamp,
    /// Makes the order total.
    pub job: JobId,
}

impl QueueRank {
    /// The rank of a job whose coordinator says now that it has this position.
    pub fn new(priority: Priority, position: QueuePosition, job: JobId, now: Timestamp) -> Self {
        QueueRank {
            priority: Reverse(priority),
            missed_objectives: position.missed_objectives,
            due_at: now.saturating_add_signed(position.time_left_ms),
            job,
        }
    }
}
