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
//! anywhere in this part is not discredited; both verdicts are worked out anew at each piece of
//! evidence, so that a later one takes back what an earlier one suggested.
//!
//! (On the operators' sites one job in 25 is submitted with a mistake. Any two of them on a machine
//! had it shunned for a minute, and it was told from a faulty one by nothing.)
use crate::ids::{JobId, MachineIdx, Now};
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
    at: Now,
}

#[derive(Debug, Default)]
pub(super) struct Blame {
    jobs: BTreeMap<JobId, Record>,
}

impl Blame {
    fn record(&mut self, job: JobId, now: Now) -> &mut Record {
        let r = self.jobs.entry(job).or_default();
        r.at = now;
        r
    }

    /// A task of the job failed on this machine.
    pub fn failed(&mut self, job: JobId, m: MachineIdx, now: Now) {
        let r = self.record(job, now);
        if r.failed_on.len() < DISCREDIT {
            r.failed_on.insert(m);
        }
    }

    /// A task of the job completed, or has run for long.
    pub fn ran_well(&mut self, job: JobId, now: Now) {
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

    pub fn expire(&mut self, now: Now) {
        self.jobs.retain(|_, r| now < r.at + REMEMBER_MS);
        while self.jobs.len() > MOST_JOBS {
            let oldest = self.jobs.iter().min_by_key(|(_, r)| r.at).map(|(j, _)| *j);
            oldest.map(|j| self.jobs.remove(&j));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};

    /// A fleet with faulty machines and jobs with a mistake, tasks placed at random but on no machine
    /// that is suspected or that failed the same job: all faulty machines are found, and healthy ones
    /// are hardly ever shunned.
    #[test]
    fn faulty_machines_are_found_among_jobs_with_mistakes() {
        let (mut healthy_shunned, mut found, mut faulty) = (0, 0, 0);
        for seed in 0..100 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut b = Blame::default();
            let mut here: Vec<Vec<JobId>> = vec![Vec::new(); 20];
            let bad_machines = rng.random_range(0..3);
            let mistaken = |job: u64| job.is_multiple_of(8);
            let mut ever = BTreeSet::new();
            for now in 0..1500u64 {
                let job = JobId(now / 30 + rng.random_range(0..6));
                let m = rng.random_range(0..20usize);
                if b.suspects(here[m].iter().copied()) || here[m].contains(&job) {
                    continue;
                }
                if m < bad_machines || mistaken(job.0) {
                    b.failed(job, MachineIdx(m as u32), now);
                    here[m].push(job);
                } else {
                    b.ran_well(job, now);
                    here[m].clear();
                }
                ever.extend((0..20).filter(|&i| b.suspects(here[i].iter().copied())));
            }
            faulty += bad_machines;
            found += (0..bad_machines).filter(|i| ever.contains(i)).count();
            healthy_shunned += ever.iter().filter(|&&i| i >= bad_machines).count();
        }
        assert_eq!(found, faulty, "faulty machines");
        assert!(healthy_shunned <= 1, "{healthy_shunned} healthy machines of 2,000 were shunned");
    }

    #[test]
    fn a_single_failure_is_no_verdict_and_later_evidence_takes_one_back() {
        let mut b = Blame::default();
        let m = MachineIdx;
        let here = [JobId(1), JobId(2), JobId(3)];
        b.failed(JobId(1), m(0), 0);
        assert!(!b.suspects(here[..1].iter().copied()), "it fits both");
        b.failed(JobId(2), m(0), 1);
        b.failed(JobId(3), m(0), 2);
        assert!(b.suspects(here.iter().copied()), "three strangers");
        for other in [1, 2] {
            b.failed(JobId(1), m(other), 3);
        }
        assert!(!b.suspects(here.iter().copied()), "one of them fails everywhere");
        b.ran_well(JobId(2), 4);
        assert!(b.suspects(here.iter().copied()), "one of them ran well elsewhere");
        b.expire(REMEMBER_MS + 10);
        assert!(b.jobs.is_empty());
    }
}
