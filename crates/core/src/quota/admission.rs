//! Which of a coordinator's pending tasks may run, decided before any offer is requested.
//!
//! The pending jobs are admitted in their order. For each job, admission says how many of its tasks
//! the team's quota admits: `now`, which the grant covers, and `after_preemption`, which it would
//! cover after preemption of the team's lower-priority work. Requests for offers, preemption, queue
//! positions, unmet demand and decisions consider only admitted tasks; the other tasks wait without
//! any cost.
//!
//! Invariant: what is admitted now and counted against the grant never exceeds the grant less the
//! usage.
use super::phase::QuotaPhase;
use leaddeal_wire::mesh::{ByPriority, QuotaAmount};
use leaddeal_wire::user::Priority;

/// A coordinator's grant of a team's quota, and its usage.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaStatus {
    /// The granted amount, including what is in use; 0 without a grant.
    pub granted: QuotaAmount,
    /// The amount that would be granted if the team's lower-priority work was preempted everywhere.
    pub granted_after_preemption: QuotaAmount,
    /// The amount in use, by priority in ascending order.
    pub used: ByPriority,
}

/// The properties of a pending job that matter for admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The priority of the job.
    pub priority: Priority,
    /// How much of the quota one task uses.
    pub amount_per_task: QuotaAmount,
    /// The number of pending tasks.
    pub tasks: u32,
    /// Whether either all of its tasks run or none, as for a gang.
    pub all_or_nothing: bool,
    /// Whether the quota that it could use is left to later jobs, since no machine had capacity for
    /// it lately.
    pub yields_quota: bool,
}

impl AdmissionRequest {
    /// Returns how many tasks start together: one, or all tasks of a gang.
    pub fn next_count(&self) -> u32 {
        if self.all_or_nothing {
            self.tasks
        } else {
            1
        }
    }
}

/// How much of its team's quota a pending job keeps from the jobs after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaClaim {
    /// What all of its tasks use.
    All,
    /// What its next task uses, or all tasks of a gang: no machine had capacity for the job lately,
    /// and it is the first in its queue. A claim of all tasks was too much: in a test under user
    /// load, such an array kept 390 of 1,200 processors for its hundreds of tasks, while the team's
    /// other coordinators had none left.
    Next,
    /// Nothing: no machine had capacity for the job lately.
    Nothing,
}

/// How many tasks of a job are admitted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Admitted {
    /// Tasks that the grant covers.
    pub now: u32,
    /// Tasks that the grant covers or would cover after preemption of the team's lower-priority
    /// work.
    pub after_preemption: u32,
    /// Tasks for which an instance may be launched: of `now`, or of `after_preemption` if the job
    /// yields its quota, after deduction of the tasks of earlier jobs.
    pub launchable: u32,
}

impl Admitted {
    /// Admits all tasks, for a job whose team has no quota.
    pub fn all(count: u32) -> Admitted {
        Admitted { now: count, after_preemption: count, launchable: count }
    }
}

impl QuotaStatus {
    /// Returns the amount in use at all priorities together.
    pub fn in_use(&self) -> QuotaAmount {
        self.used.iter().fold(QuotaAmount::default(), |sum, used| sum.plus(*used))
    }

    /// Returns the part of the grant that is not in use.
    pub fn free(&self) -> QuotaAmount {
        self.granted.minus(self.in_use())
    }
}

/// Admits the pending jobs of one team, one after the other.
#[derive(Debug)]
pub struct Admission {
    status: QuotaStatus,
    /// The amounts of the tasks admitted so far, as in [`Admitted`].
    now: QuotaAmount,
    after_preemption: QuotaAmount,
    launchable: QuotaAmount,
    phase: QuotaPhase,
}

/// Returns how many tasks of the job this amount covers; for a gang all or none.
fn covered(amount: QuotaAmount, job: &AdmissionRequest) -> u32 {
    let count = amount.fit_count(job.amount_per_task).min(u64::from(job.tasks)) as u32;
    if job.all_or_nothing && count < job.tasks {
        0
    } else {
        count
    }
}

impl Admission {
    /// Creates the admission before the first job.
    pub fn new(status: QuotaStatus) -> Admission {
        let none = QuotaAmount::default();
        Admission {
            status,
            now: none,
            after_preemption: none,
            launchable: none,
            phase: QuotaPhase::default(),
        }
    }

    /// Returns the same admission for this phase.
    pub fn in_phase(self, phase: QuotaPhase) -> Admission {
        Admission { phase, ..self }
    }

    /// Returns what would be left for this priority, less `taken`, if all lower-priority work was
    /// preempted.
    fn free_after_preemption(&self, priority: Priority, taken: QuotaAmount) -> QuotaAmount {
        let not_lesser = &self.status.used[priority as usize..];
        let before = not_lesser.iter().fold(taken, |sum, used| sum.plus(*used));
        self.status.granted_after_preemption.minus(before)
    }

    /// Admits the next job in the coordinator's order.
    pub fn admit(&mut self, job: &AdmissionRequest) -> Admitted {
        let claim = if job.yields_quota { QuotaClaim::Nothing } else { QuotaClaim::All };
        self.admit_claim(job, claim)
    }

    /// Admits the next job in the coordinator's order and keeps what it claims from later jobs.
    pub fn admit_claim(&mut self, job: &AdmissionRequest, claim: QuotaClaim) -> Admitted {
        let free = self.status.free().minus(self.now);
        let now = covered(free, job);
        let after_preemption =
            covered(self.free_after_preemption(job.priority, self.after_preemption), job).max(now);
        let mut launchable = covered(self.status.free().minus(self.launchable), job);
        if claim == QuotaClaim::Nothing {
            launchable = launchable
                .max(covered(self.free_after_preemption(job.priority, self.launchable), job));
        }
        let next = job.next_count();
        // What is free is kept for the next task or gang even if it does not suffice, since smaller
        // jobs would otherwise use it up bit by bit.
        let kept = match (claim, self.phase) {
            (QuotaClaim::Nothing, _) => 0,
            (QuotaClaim::Next, _) => next,
            (QuotaClaim::All, QuotaPhase::Reserving) => now.max(next),
            (QuotaClaim::All, QuotaPhase::Backfilling) => now,
        };
        self.now = self.now.plus(job.amount_per_task.times(kept).component_min(free));
        let kept_after_preemption = match claim {
            QuotaClaim::Nothing => 0,
            QuotaClaim::Next => after_preemption.min(next),
            QuotaClaim::All => after_preemption,
        };
        self.after_preemption =
            self.after_preemption.plus(job.amount_per_task.times(kept_after_preemption));
        self.launchable = self.launchable.plus(job.amount_per_task.times(launchable));
        debug_assert!(
            job.amount_per_task.times(now).is_within(free),
            "more is admitted than the grant covers"
        );
        Admitted { now, after_preemption, launchable }
    }
}
