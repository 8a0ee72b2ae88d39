//! Decides whether a job, rather than the machines that it ran on, is the cause of its failures.
use crate::ids::{MachineIdx, Timestamp};
use std::collections::BTreeSet;

/// A job that fails on this many machines, and runs well on none, is suspected.
const MIN_MACHINES_TO_SUSPECT: usize = 3;
/// The delay before the retry of a job that is not suspected.
const RETRY_DELAY_MS: u64 = 200;
/// The base of the delay before retries of a suspected job. It is doubled for each retry, including
/// the first.
const SUSPECTED_RETRY_DELAY_MS: u64 = 1000;
/// The longest delay before the retry of a suspected job.
const MAX_SUSPECTED_RETRY_DELAY_MS: u64 = 60_000;
/// The delay is doubled at most this often, so that the shift can't overflow.
const MAX_DELAY_DOUBLINGS: u32 = 8;

/// Whether a job fails by itself, regardless of the machine.
///
/// One failure, or many on the same machine, don't make the job suspected: it is soon retried on
/// another machine. After it has failed on several machines and run well on none, it is retried
/// with exponential back-off, and on one machine at a time, until it runs well or its user cancels
/// it. One job in 25 fails at every start. Without the back-off, an array of hundreds of such tasks
/// would take image fetches, starts and store changes from other jobs until its user cancels it.
#[derive(Clone, Debug, Default)]
pub struct FailureSuspicion {
    /// Machines on which the job failed since it last ran well, up to the number that makes it
    /// suspected.
    failed_on: BTreeSet<MachineIdx>,
    /// Retries since the job became suspected, including the failure that made it so.
    retries: u32,
}

impl FailureSuspicion {
    /// Records that a task failed on this machine. Returns the time before which the job must not
    /// be retried; `not_before` is that time so far. Tasks that were started together fail
    /// together, and count as one retry.
    pub fn record_failure(
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

    /// Records that a task of the job ran well, so the job did not cause the earlier failures.
    pub fn record_good_run(&mut self) {
        *self = FailureSuspicion::default();
    }

    /// Whether the job has failed on enough machines, and run well on none, to be suspected.
    pub fn is_suspected(&self) -> bool {
        self.failed_on.len() >= MIN_MACHINES_TO_SUSPECT
    }
}
