//! The order in which pending jobs are placed.
use crate::ids::{JobId, Timestamp};
use crate::jobs::{Job, Urgency};
use leaddeal_wire::user::Priority;
use std::cmp::Reverse;

/// A job's rank among the pending jobs: the job with the lowest rank is placed first.
///
/// Ranks compare field by field, in the order of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    priority: Reverse<Priority>,
    urgency: Urgency,
    submitted_at: Timestamp,
    pub(super) job: JobId,
}

impl QueueRank {
    pub(super) fn of(job: &Job, now: Timestamp) -> QueueRank {
        QueueRank {
            priority: Reverse(job.spec.priority),
            urgency: job.placement_urgency(now),
            submitted_at: job.submitted_at,
            job: job.id,
        }
    }
}
