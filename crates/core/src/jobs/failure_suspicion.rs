//! Whether a job, and not the machines that it ran on, is at fault when its tasks fail.
use crate::ids::{MachineIdx, Timestamp};
use std::collections::BTreeSet;

/// A job that fails on this many machines and runs well on none is suspected.
const MIN_MACHINES_TO_SUSPECT: usize = 3;
/// Before the retry after a failure that doesn't make the job suspected.
const RETRY_DELAY_MS: u64 = 200;
/// Before the retry of a suspected job; doubled before each retry, the first included.
const SUSPECTED_RETRY_DELAY_MS: u64 = 1000;
/// The longest delay before the retry of a suspected job.
const MAX_SUSPECTED_RETRY_DELAY_MS: u64 = 60_000;
/// The delay is doubled no more often, so that the shift can't overflow.
const MAX_DELAY_DOUBLINGS: u32 = 8;

/// Whether a job fails by itself, on whatever machine it is tried.
///
/// One failure, or many on the same machine, don't make the job suspected: it is retried elsewhere
/// at once. Once it has failed on several machines and run well on none, it is retried with
/// exponential backoff, and in one place at a time, until it runs well or its user cancels it. (Of
/// one job in 25 each start fails: tried at once on all machines, an array of hundreds takes
/// fetches, starts and changes from the others for as long as its user waits.)
#[derive(Clone, Debug, Default)]
pub struct FailureSuspicion {
    /// Machines on which it failed since it last ran well; no more than make it suspected.
    failed_on: BTreeSet<MachineIdx>,
    retries: u32,
}

impl FailureSuspicion {
    /// A task failed on this machine. Returns the time before which the job is not to be retried,
    /// given the one that held until now. Tasks that were started together fail together, and count
    /// as one retry.
    pub fn failed(
        &mut self,
        machine: MachineIdx,
        now: Timestamp,
        not_before: Timestamp,
    ) -> Timestamp {
        if self.failed_on.len() < MIN_MACHINES_TO_SUSPECT {
            self.failed_on.insert(machine);
        }
        if !self.is_suspected() {
            return now + RETRY_DELAY_MS;
        }
        if now >= not_before {
            self.retries += 1;
        }
        let delay = SUSPECTED_RETRY_DELAY_MS << self.retries.min(MAX_DELAY_DOUBLINGS);
        not_before.max(now + delay.min(MAX_SUSPECTED_RETRY_DELAY_MS))
    }

    /// A task of the job ran well: whatever failed before was not the job's fault.
    pub fn ran_well(&mut self) {
        *self = FailureSuspicion::default();
    }

    /// The job fails wherever it is tried, as far as is known.
    pub fn is_suspected(&self) -> bool {
        self.failed_on.len() >= MIN_MACHINES_TO_SUSPECT
    }
}
