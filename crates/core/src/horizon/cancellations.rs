//! The jobs that are known to be terminal, and the log of the cancellations by this node itself.
use crate::ids::{Epoch, JobId, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Marks a cancellation that was read from the store. It is newer than any epoch, since what the
/// store holds is never revoked.
pub(super) const STORED: Epoch = Epoch(u64::MAX);

/// The evidence of a cancellation.
#[derive(Clone, Copy, Debug)]
struct Cancellation {
    /// The epoch of the owner that stated the cancellation, or [`STORED`].
    stated_by: Epoch,
    learned_at: Timestamp,
}

/// The jobs that are known to be terminal. This includes completed jobs, since none of their tasks
/// may run either.
#[derive(Debug)]
pub(super) struct KnownCancellations {
    by_job: HashMap<JobId, Cancellation>,
    /// Jobs that became known since [`KnownCancellations::take_new`] was last called.
    new: Vec<JobId>,
    keep_ms: u64,
}

impl KnownCancellations {
    /// Creates an empty set whose entries are remembered for `keep_ms`.
    pub(super) fn new(keep_ms: u64) -> KnownCancellations {
        KnownCancellations { by_job: HashMap::new(), new: Vec::new(), keep_ms }
    }

    pub(super) fn keep_ms(&self) -> u64 {
        self.keep_ms
    }

    pub(super) fn contains(&self, job: JobId) -> bool {
        self.by_job.contains_key(&job)
    }

    /// Adds a cancellation, unless it is already known from this epoch or a newer one.
    pub(super) fn learn(&mut self, job: JobId, stated_by: Epoch, now: Timestamp) {
        if self.by_job.get(&job).is_none_or(|known| known.stated_by < stated_by) {
            self.by_job.insert(job, Cancellation { stated_by, learned_at: now });
            self.new.push(job);
        }
    }

    /// Forgets the job's cancellation if it was stated under an older epoch than this.
    pub(super) fn forget_older(&mut self, job: JobId, epoch: Epoch) {
        if self.by_job.get(&job).is_some_and(|known| known.stated_by < epoch) {
            self.by_job.remove(&job);
        }
    }

    /// Returns the jobs that became known since the last call.
    pub(super) fn take_new(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.new)
    }

    pub(super) fn expire(&mut self, now: Timestamp) {
        let keep_ms = self.keep_ms;
        self.by_job.retain(|_, known| now < known.learned_at + keep_ms);
    }
}

/// A cancellation in a shard that this node owns.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoggedCancellation {
    /// The position in the log, counted from 1 under each epoch.
    pub(super) number: u64,
    pub(super) job: JobId,
    logged_at: Timestamp,
}

/// The cancellations that this node made in one shard under its current epoch.
///
/// Invariant: the numbers are consecutive, and no job occurs twice.
#[derive(Clone, Debug, Default)]
pub(super) struct CancellationLog {
    entries: VecDeque<LoggedCancellation>,
    last_number: u64,
}

impl CancellationLog {
    /// Adds a job, unless the log holds it already.
    pub(super) fn append(&mut self, job: JobId, now: Timestamp) {
        if self.entries.iter().all(|entry| entry.job != job) {
            self.last_number += 1;
            let entry = LoggedCancellation { number: self.last_number, job, logged_at: now };
            self.entries.push_back(entry);
        }
    }

    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.last_number = 0;
    }

    /// Returns at most `max_entries` entries with a higher number than this, in ascending order.
    pub(super) fn after(&self, number: u64, max_entries: usize) -> Vec<LoggedCancellation> {
        let later = self.entries.iter().filter(|entry| entry.number > number);
        later.take(max_entries).copied().collect()
    }

    /// Whether the log has no entry with a higher number than this.
    pub(super) fn ends_at(&self, number: u64) -> bool {
        self.entries.back().is_none_or(|entry| entry.number <= number)
    }

    pub(super) fn expire(&mut self, now: Timestamp, keep_ms: u64) {
        while self.entries.front().is_some_and(|entry| now >= entry.logged_at + keep_ms) {
            self.entries.pop_front();
        }
    }
}
