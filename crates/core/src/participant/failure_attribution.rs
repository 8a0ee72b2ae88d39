//! Who is at fault when a task fails: its machine, or its job.
//!
//! A faulty machine fails every task that it starts; a job with a mistake fails on every machine.
//! A single failure fits both. What tells them apart is who succeeds elsewhere:
//! - a job that has run well somewhere and fails here is evidence against the machine;
//! - a job that has run well nowhere and fails on several machines is at fault itself, and while it
//!   is, its failures are no evidence against machines;
//! - of jobs that did neither yet, it takes several different ones to suspect a machine.
//!
//! Invariants: a machine on which something ran well since is not suspected; a job that ran well
//! anywhere in this participant is not at fault; both verdicts are worked out anew at each piece of
//! evidence, so that a later one takes back what an earlier one suggested.
//!
//! (On the operators' sites one job in 25 is submitted with a mistake. Any two of them on a machine
//! had it quarantined for a minute, and nothing told it from a faulty one.)
use crate::ids::{JobId, MachineIdx, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A job that fails on this many machines and runs well on none is at fault itself.
const MIN_MACHINES_TO_BLAME_JOB: usize = 3;
/// Failures of this many different jobs of which nothing else is known make a machine suspected.
const MIN_UNKNOWN_JOBS_TO_SUSPECT: usize = 3;
/// How long evidence is kept after the newest of a job.
const EVIDENCE_RETENTION_MS: u64 = 180_000;
/// Jobs of which evidence is kept, at most: the one without news for longest is dropped first.
const MAX_JOBS: usize = 20_000;

#[derive(Clone, Debug, Default)]
struct JobEvidence {
    ran_well: bool,
    /// Machines that it failed on since it last ran well, as many as matter.
    failed_on: BTreeSet<MachineIdx>,
    newest_at: Timestamp,
}

/// What is known of jobs that failed or ran well recently.
#[derive(Debug, Default)]
pub(super) struct FailureAttribution {
    jobs: BTreeMap<JobId, JobEvidence>,
}

impl FailureAttribution {
    fn evidence(&mut self, job: JobId, now: Timestamp) -> &mut JobEvidence {
        let evidence = self.jobs.entry(job).or_default();
        evidence.newest_at = now;
        evidence
    }

    /// A task of the job failed on this machine.
    pub fn note_failure(&mut self, job: JobId, machine: MachineIdx, now: Timestamp) {
        let evidence = self.evidence(job, now);
        if evidence.failed_on.len() < MIN_MACHINES_TO_BLAME_JOB {
            evidence.failed_on.insert(machine);
        }
    }

    /// A task of the job completed, or has run for a long time.
    pub fn note_success(&mut self, job: JobId, now: Timestamp) {
        let evidence = self.evidence(job, now);
        evidence.ran_well = true;
        evidence.failed_on.clear();
    }

    /// Whether the job is at fault itself, as far as is known.
    fn is_job_at_fault(&self, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|evidence| {
            !evidence.ran_well && evidence.failed_on.len() >= MIN_MACHINES_TO_BLAME_JOB
        })
    }

    /// Whether a machine is suspected, given the jobs of which tasks failed there since anything ran
    /// well there.
    pub fn suspects_machine(&self, failed_jobs: impl Iterator<Item = JobId>) -> bool {
        let mut unknown_jobs = 0;
        for job in failed_jobs.filter(|job| !self.is_job_at_fault(*job)) {
            if self.jobs.get(&job).is_some_and(|evidence| evidence.ran_well) {
                return true;
            }
            unknown_jobs += 1;
        }
        unknown_jobs >= MIN_UNKNOWN_JOBS_TO_SUSPECT
    }

    /// Drops old evidence.
    pub fn expire(&mut self, now: Timestamp) {
        self.jobs.retain(|_, evidence| now < evidence.newest_at + EVIDENCE_RETENTION_MS);
        while self.jobs.len() > MAX_JOBS {
            let oldest = self.jobs.iter().min_by_key(|(_, evidence)| evidence.newest_at);
            let Some(job) = oldest.map(|(job, _)| *job) else { return };
            self.jobs.remove(&job);
        }
    }
}

#[cfg(test)]
mod tests;
