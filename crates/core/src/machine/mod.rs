//! A participant's state of a machine: its worker's newest heartbeat, the worker's lease, and the
//! task attempts that are, or may still start, on the machine.
//!
//! | module | what |
//! | --- | --- |
//! | `attempt` | one attempt and its phase |
//! | `heartbeat` | applies heartbeats, and tracks the worker's lease |
//! | `commands` | the commands to send to the worker |
//! | `load` | the resources that the attempts use |
//! | `removed_attempts` | the attempts that were removed |
//! | `token` | the fencing token under which the worker is commanded |
use crate::guards::{is_enforced, Guard};
use crate::ids::{Attempt, ImageIdx, JobId, MachineTypeIdx, Shard, Timestamp, ZoneIdx};
use crate::reachability::Reachability;
use load::Load;
use removed_attempts::RemovedAttempts;
use std::collections::{BTreeMap, VecDeque};

mod attempt;
mod commands;
mod heartbeat;
mod load;
mod removed_attempts;
#[cfg(test)]
mod tests;
mod token;

pub(crate) use attempt::{AttemptKey, StopRequest, TaskOnMachine};
pub(crate) use commands::{BatchOutcome, OwnerLease};
pub(crate) use heartbeat::HeartbeatKind;
pub(crate) use load::GpuTasks;
pub(crate) use token::TokenDemand;

/// An image in a machine's cache.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CachedImage {
    /// The image.
    pub image: ImageIdx,
    /// Its size in GB.
    pub size_gb: f64,
}

/// A job that had a task fail on a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct JobFailure {
    /// The job.
    pub job: JobId,
    /// When a task of the job first failed there.
    pub first_at: Timestamp,
}

/// A machine as its participant knows it.
///
/// Invariant: `load` holds the sums over `tasks`. Code that changes a task's phase, shape or stop
/// request, or adds or removes a task, calls [`Machine::update_load`] afterwards.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    /// Address at which the worker takes command batches.
    pub addr: String,
    /// Type in the catalog. `None`: not reported yet, or not in the catalog.
    pub machine_type: Option<MachineTypeIdx>,
    /// Zone. `None`: not reported yet, or not in the settings.
    pub zone: Option<ZoneIdx>,
    /// The machine is a spot instance.
    pub spot: bool,
    /// Incarnation of the worker process in the newest heartbeat; 0: there was none yet.
    pub incarnation: u64,
    /// Sequence number of the newest heartbeat, within the incarnation.
    pub seq: u64,
    /// Fencing token in the newest heartbeat.
    reported_token: u64,
    /// Newest fencing token of this owner that the worker may have seen, under which commands are sent to it. It is
    /// raised by [`Machine::raise_token`].
    pub token: u64,
    /// The worker has reported this owner's fencing token, so it ignores responses and commands of
    /// previous owners.
    pub token_confirmed: bool,
    /// When the worker's lease was last granted or renewed: when this owner last responded to a
    /// heartbeat, or a previous owner last may have.
    pub lease_granted_at: Timestamp,
    /// When the newest heartbeat arrived.
    pub last_heartbeat_at: Timestamp,
    /// Incarnation and sequence number of the newest periodic heartbeat. Only the newest one gets a
    /// response.
    last_periodic: (u64, u64),
    /// Whether the worker receives what is sent to it.
    pub reachability: Reachability,
    /// When the cloud interrupts the machine. `None`: it gave no notice.
    pub interruption_at: Option<Timestamp>,
    /// The attempts that are, or may still start, on the machine, and ended ones until the
    /// coordinator has acknowledged their end and the worker has forgotten them.
    pub tasks: BTreeMap<AttemptKey, TaskOnMachine>,
    /// Images in the worker's cache, the least recently used first.
    pub cached_images: VecDeque<CachedImage>,
    /// When a task was last on the machine.
    pub last_busy_at: Timestamp,
    /// The machine gets no new tasks, and is released when idle.
    pub draining: bool,
    /// The machine was released to the cloud.
    pub released: bool,
    /// The machine is not offered before this time.
    pub quarantined_until: Timestamp,
    /// Jobs that had a task fail here since a task last ran well here.
    pub recent_failures: Vec<JobFailure>,
    /// The failures are attributed to the machine rather than to the jobs.
    pub suspected: bool,
    /// The command batch that was sent to the worker and whose outcome is not known yet.
    pub direct_batch: Option<u64>,
    /// No command batch is sent before this time.
    pub next_direct_at: Timestamp,
    /// The worker's lease has expired by this owner's clock, so all attempts there have ended.
    pub lease_expired: bool,
    /// When the participant next checks the lease if no heartbeat arrives.
    pub next_check_at: Timestamp,
    load: Load,
    removed_attempts: RemovedAttempts,
    /// Attempts in the newest heartbeat that were not known here although the worker had confirmed this owner's token.
    unexpected_attempts: Vec<AttemptKey>,
}

impl Machine {
    /// Returns a machine without any heartbeat yet. A previous owner may have renewed the lease of
    /// its worker as late as `now`.
    pub fn new(now: Timestamp) -> Machine {
        Machine {
            addr: String::new(),
            machine_type: None,
            zone: None,
            spot: false,
            incarnation: 0,
            seq: 0,
            reported_token: 0,
            token: 0,
            token_confirmed: false,
            lease_granted_at: now,
            last_heartbeat_at: now,
            last_periodic: (0, 0),
            reachability: Reachability::default(),
            interruption_at: None,
            tasks: BTreeMap::new(),
            cached_images: VecDeque::new(),
            last_busy_at: now,
            draining: false,
            released: false,
            quarantined_until: 0,
            recent_failures: Vec::new(),
            suspected: false,
            direct_batch: None,
            next_direct_at: 0,
            lease_expired: false,
            next_check_at: now,
            load: Load::default(),
            removed_attempts: RemovedAttempts::default(),
            unexpected_attempts: Vec::new(),
        }
    }

    /// Removes the attempts whose end the coordinator has acknowledged and that the worker has
    /// forgotten.
    pub fn remove_forgotten(&mut self) {
        let removed = &mut self.removed_attempts;
        self.tasks.retain(|key, task| {
            let is_removed = task.end_acknowledged && task.is_over() && !task.may_be_at_worker();
            if let Some(shard) = task.placed_by.filter(|_| is_removed) {
                removed.record(shard, key.attempt);
            }
            !is_removed
        });
    }

    /// Returns whether a placement by this shard's coordinator is of an attempt that was removed: a late copy.
    pub fn is_removed(&self, shard: Shard, attempt: Attempt) -> bool {
        self.removed_attempts.contains(shard, attempt)
            && is_enforced(Guard::RemovedAttemptNotPlaced)
    }

    /// Ends all attempts on the machine, because the worker's lease has expired or the machine was
    /// released.
    pub fn end_all_attempts(&mut self) {
        for task in self.tasks.values_mut() {
            task.end_with_incarnation();
        }
        self.direct_batch = None;
        self.remove_forgotten();
        self.update_load();
    }

    /// Takes the attempts that a heartbeat contained although the worker obeys this owner, who did not know them.
    pub fn take_unexpected_attempts(&mut self) -> Vec<AttemptKey> {
        std::mem::take(&mut self.unexpected_attempts)
    }

    /// Clears the recorded failures, because a task ran well here after them.
    pub fn clear_failures(&mut self) {
        self.recent_failures.clear();
    }

    /// Records that tasks of these jobs failed here. A failure counts for `remember_ms` milliseconds.
    pub fn record_failures(&mut self, jobs: &[JobId], now: Timestamp, remember_ms: u64) {
        if jobs.is_empty() {
            return;
        }
        self.recent_failures.retain(|failure| now < failure.first_at + remember_ms);
        for &job in jobs {
            if !self.recent_failures.iter().any(|failure| failure.job == job) {
                self.recent_failures.push(JobFailure { job, first_at: now });
            }
        }
    }

    /// Records that the worker used this image. Its cache holds `cache_gb` GB and evicts the least
    /// recently used images.
    pub fn record_image_use(&mut self, used: CachedImage, cache_gb: f64) {
        self.cached_images.retain(|cached| cached.image != used.image);
        self.cached_images.push_back(used);
        while self.cached_images.len() > 1 && self.cached_gb() > cache_gb {
            self.cached_images.pop_front();
        }
    }

    fn cached_gb(&self) -> f64 {
        self.cached_images.iter().map(|cached| cached.size_gb).sum::<f64>()
    }

    /// Returns whether the worker has the image in its cache.
    pub fn has_image(&self, image: ImageIdx) -> bool {
        self.cached_images.iter().any(|cached| cached.image == image)
    }
}
