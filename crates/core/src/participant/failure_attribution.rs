//! Who is at fault when a task fails: its machine, or its job.
//!
//! A faulty machine fails every task that it starts; a job with a mistake fails on every machine.
//! A single failure fits both. What tells them apart is who succeeds elsewhere:
//! - a job that has run well somewhere and fails here speaks against the machine;
//! - a job that has run well nowhere and fails on several machines speaks against itself, and for
//!   as long as it does its failures say nothing of machines;
//! - of jobs that did neither yet, it takes several different ones to speak against a machine.
//!
//! Invariants: a machine on which something ran well since is not suspected; a job that ran well
//! anywhere in this participant is not discredited; both verdicts are worked out anew at each piece of
//! evidence, so that a later one takes back what an earlier one suggested.
//!
//! (On the operators' sites one job in 25 is submitted with a mistake. Any two of them on a machine
//! had it shunned for a minute, and it was told from a faulty one by nothing.)
use crate::ids::{JobId, MachineIdx, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A job that fails on so many machines and runs well on none is at fault itself.
const DISCREDIT: usize = 3;
/// So many different jobs of which nothing else is known speak against a machine.
const STRANGERS: usize = 3;
/// Failures and good runs are remembered for so long.
const REMEMBER_MS: u64 = 180_000;
/// Jobs of which something is remembered: the oldest make way.
const MOST_JOBS: usize = 4000;

#[derive(Clone, Debug, Default)]
struct Record {
    ran_well: bool,
    failed_on: BTreeSet<MachineIdx>,
    at: Timestamp,
}

#[derive(Debug, Default)]
pub(super) struct FailureAttribution {
    jobs: BTreeMap<JobId, Record>,
}

impl FailureAttribution {
    fn record(&mut self, job: JobId, now: Timestamp) -> &mut Record {
        let r = self.jobs.entry(job).or_default();
        r.at = now;
        r
    }

    /// A task of the job failed on this machine.
    pub fn failed(&mut self, job: JobId, m: MachineIdx, now: Timestamp) {
        let r = self.record(job, now);
        if r.failed_on.len() < DISCREDIT {
            r.failed_on.insert(m);
        }
    }

    /// A task of the job completed, or has run for long.
    pub fn ran_well(&mut self, job: JobId, now: Timestamp) {
        let r = self.record(job, now);
        r.ran_well = true;
        r.failed_on.clear();
    }

    /// The job is at fault itself, as far as is known.
    fn discredited(&self, job: JobId) -> bool {
        let r = self.jobs.get(&job);
        r.is_some_and(|r| !r.ran_well && r.failed_on.len() >= DISCREDIT)
    }

    /// Whether the machine is suspected on which tasks of these jobs failed since anything ran well
    /// there.
    pub fn suspects(&self, failed_here: impl Iterator<Item = JobId>) -> bool {
        let mut strangers = 0;
        for job in failed_here.filter(|j| !self.discredited(*j)) {
            if self.jobs.get(&job).is_some_and(|r| r.ran_well) {
                return true;
            }
            strangers += 1;
        }
        strangers >= STRANGERS
    }

    pub fn expire(&mut self, now: Timestamp) {
        self.jobs.retain(|_, r| now < r.at + REMEMBER_MS);
        while self.jobs.len() > MOST_JOBS {
            let oldest = self.jobs.iter().min_by_key(|(_, r)| r.at).map(|(j, _)| *j);
            oldest.map(|j| self.jobs.remove(&j));
        }
    }
}

#[cfg(test)]
mod tests;
