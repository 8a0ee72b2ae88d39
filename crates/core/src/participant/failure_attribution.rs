//! Attribution of task failures to the machine or to the job.
//!
//! A job succeeds on a machine when a task of it completes there, or, for services and GPU work, has
//! run for a while.
//!
//! A faulty machine fails every task that it starts; a faulty job fails on every machine. A single
//! failure is consistent with both. They are distinguished by successes elsewhere:
//! - a failure of a job that has succeeded on any machine is evidence against the machine of the
//!   failure;
//! - a job that has succeeded on no machine and fails on several is at fault itself, and as long as it
//!   is, its failures are no evidence against machines;
//! - for other jobs, it takes failures of several different ones to suspect a machine.
//!
//! Invariants: a machine on which any job succeeded after the failures is not suspected; a job that
//! succeeded on any machine of this participant is not at fault. Both verdicts are computed again from
//! all evidence whenever they are needed, so that later evidence can reverse them.
//!
//! One job in 25 at the operators' sites is faulty as submitted. If failures of any two jobs are enough
//! to suspect a machine, healthy machines are quarantined for a minute like faulty ones.
use crate::ids::{JobId, MachineIdx, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Number of machines on which a job has to fail, without a success on any, to be at fault itself.
const MIN_MACHINES_TO_BLAME_JOB: usize = 3;
/// Number of different jobs, neither at fault nor known to succeed, that have to fail on a machine for it
/// to be suspected.
const MIN_UNKNOWN_JOBS_TO_SUSPECT: usize = 3;
/// Time in ms for which the evidence about a job is kept after the newest piece.
const EVIDENCE_RETENTION_MS: u64 = 180_000;
/// Maximum number of jobs whose evidence is kept. Beyond it, the job whose newest evidence is the oldest
/// is removed first.
const MAX_JOBS: usize = 20_000;

/// Evidence about one job.
#[derive(Clone, Debug, Default)]
struct JobEvidence {
    /// Whether the job succeeded on any machine.
    has_succeeded: bool,
    /// Machines on which the job failed since it last succeeded; at most `MIN_MACHINES_TO_BLAME_JOB`.
    failed_on: BTreeSet<MachineIdx>,
    last_evidence_at: Timestamp,
}

/// Evidence about the jobs that failed or succeeded recently.
#[derive(Debug, Default)]
pub(super) struct FailureAttribution {
    jobs: BTreeMap<JobId, JobEvidence>,
}

impl FailureAttribution {
    fn evidence(&mut self, job: JobId, now: Timestamp) -> &mut JobEvidence {
        let evidence = self.jobs.entry(job).or_default();
        evidence.last_evidence_at = now;
        evidence
    }

    /// Records that a task of the job failed on this machine.
    pub fn note_failure(&mut self, job: JobId, machine: MachineIdx, now: Timestamp) {
        let evidence = self.evidence(job, now);
        if evidence.failed_on.len() < MIN_MACHINES_TO_BLAME_JOB {
            evidence.failed_on.insert(machine);
        }
    }

    /// Records that a task of the job completed, or has run for a long time.
    pub fn note_success(&mut self, job: JobId, now: Timestamp) {
        let evidence = self.evidence(job, now);
        evidence.has_succeeded = true;
        evidence.failed_on.clear();
    }

    /// Returns whether the evidence shows that the job itself is at fault.
    fn is_job_at_fault(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|evidence| {
            !evidence.has_succeeded && evidence.failed_on.len() >= MIN_MACHINES_TO_BLAME_JOB
        })
    }

    /// Returns whether a machine is suspected. `failed_jobs` are the jobs of which tasks failed there
    /// since any job last succeeded there.
    pub fn suspects_machine(&self, failed_jobs: impl Iterator<Item = JobId>) -> bool {
        let mut unknown_jobs = 0;
        for job in failed_jobs.filter(|job| !self.is_job_at_fault(*job)) {
            if self.jobs.get(&job).is_some_and(|evidence| evidence.has_succeeded) {
                return true;
            }
            unknown_jobs += 1;
        }
        unknown_jobs >= MIN_UNKNOWN_JOBS_TO_SUSPECT
    }

    /// Removes evidence older than `EVIDENCE_RETENTION_MS`, and more if there are over `MAX_JOBS` jobs.
    pub fn expire(&mut self, now: Timestamp) {
        self.jobs.retain(|_, evidence| now < evidence.last_evidence_at + EVIDENCE_RETENTION_MS);
        while self.jobs.len() > MAX_JOBS {
            let oldest = self.jobs.iter().min_by_key(|(_, evidence)| evidence.last_evidence_at);
            let Some(job) = oldest.map(|(job, _)| *job) else { return };
            self.jobs.remove(&job);
        }
    }
}

#[cfg(test)]
mod tests;
