//! Which of a coordinator's pending tasks may run, before any offer is requested.
//!
//! The pending jobs are admitted in their order; of each is said how many of its tasks the team's
//! limit lets in: `now`, which the grant covers, and `in_turn`, which it would cover once lesser work
//! of the team was preempted. All that requests offers, preempts, takes a queue position, counts as
//! unmet demand or decides goes by it; the rest waits without cost.
//!
//! Invariant: what is let in now and counts is never more than the grant less what is used.
use super::phase::LimitPhase;
use leaddeal_wire::mesh::{ByPriority, QuotaAmount};
use leaddeal_wire::user::Priority;

/// What a coordinator's tasks may take of a team's limit, and what they take.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaStatus {
    /// What the grant covers in all; nothing if there is none.
    pub may: QuotaAmount,
    /// What it would cover if lesser work of the team was preempted everywhere.
    pub due: QuotaAmount,
    /// By priority, the least first.
    pub used: ByPriority,
}

/// A pending job as the limit sees it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Priority of the job.
    pub priority: Priority,
    /// What a task takes.
    pub task: QuotaAmount,
    /// How many tasks want to run.
    pub count: u32,
    /// All of its tasks run or none: a gang.
    pub all_or_nothing: bool,
    /// What it could take is left to those after it, since it has found no machine lately.
    pub yields_quota: bool,
}

impl AdmissionRequest {
    /// How many tasks run next: one, or the gang as a whole.
    pub fn next_count(&self) -> u32 {
        if self.all_or_nothing {
            self.count
        } else {
            1
        }
    }
}

/// What a pending job keeps of its team's limit from those after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaClaim {
    /// All that its tasks take.
    All,
    /// What its next task takes, or the gang as a whole: it has found no machine lately, and is the
    /// first of its queue. (Found on the users' bench: such an array kept what its hundreds of tasks
    /// take, 390 of 1,200 processors, while the team's other coordinators had none left.)
    Next,
    /// Nothing: it has found no machine lately.
    Nothing,
}

/// How many tasks of a job may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Admitted {
    /// The grant covers them.
    pub now: u32,
    /// Those and the ones for which lesser work of the team would be preempted.
    pub in_turn: u32,
    /// Worth a machine: of `now`, or of `in_turn` if the job yields its quota, less all that comes
    /// before it.
    pub worth: u32,
}

impl Admitted {
    /// All tasks of a job whose team has no limit.
    pub fn all(count: u32) -> Admitted {
        Admitted { now: count, in_turn: count, worth: count }
    }
}

impl QuotaStatus {
    /// What is used at all priorities.
    pub fn in_use(&self) -> QuotaAmount {
        self.used.iter().fold(QuotaAmount::default(), |sum, used| sum.plus(*used))
    }

    /// What the grant still covers.
    pub fn free(&self) -> QuotaAmount {
        self.may.minus(self.in_use())
    }
}

/// Admission of the pending jobs of one team, one after the other.
#[derive(Debug)]
pub struct Admission {
    status: QuotaStatus,
    /// Let in so far: now, in turn, and worth a machine.
    now: QuotaAmount,
    in_turn: QuotaAmount,
    worth: QuotaAmount,
    phase: LimitPhase,
}

/// How many tasks of the job this amount covers; of a gang all or none.
fn covered(amount: QuotaAmount, job: &AdmissionRequest) -> u32 {
    let count = amount.fit_count(job.task).min(u64::from(job.count)) as u32;
    if job.all_or_nothing && count < job.count {
        0
    } else {
        count
    }
}

impl Admission {
    /// Admission before the first job.
    pub fn new(status: QuotaStatus) -> Admission {
        let none = QuotaAmount::default();
        Admission { status, now: none, in_turn: none, worth: none, phase: LimitPhase::default() }
    }

    /// The same in this phase.
    pub fn in_phase(self, phase: LimitPhase) -> Admission {
        Admission { phase, ..self }
    }

    /// What would be left to this priority, less what is taken, if all lesser work was preempted.
    fn free_in_turn(&self, priority: Priority, taken: QuotaAmount) -> QuotaAmount {
        let not_lesser = &self.status.used[priority as usize..];
        let before = not_lesser.iter().fold(taken, |sum, used| sum.plus(*used));
        self.status.due.minus(before)
    }

    /// Admits the next job in the coordinator's order.
    pub fn admit(&mut self, job: &AdmissionRequest) -> Admitted {
        let claim = if job.yields_quota { QuotaClaim::Nothing } else { QuotaClaim::All };
        self.admit_claim(job, claim)
    }

    /// Admits the next job in the coordinator's order, which keeps what it claims.
    pub fn admit_claim(&mut self, job: &AdmissionRequest, claim: QuotaClaim) -> Admitted {
        let free = self.status.free().minus(self.now);
        let now = covered(free, job);
        let in_turn = covered(self.free_in_turn(job.priority, self.in_turn), job).max(now);
        let mut worth = covered(self.status.free().minus(self.worth), job);
        if claim == QuotaClaim::Nothing {
            worth = worth.max(covered(self.free_in_turn(job.priority, self.worth), job));
        }
        let next = job.next_count();
        // What the next task or gang lacks is kept for it, or smaller work would take it bit by bit.
        let kept = match (claim, self.phase) {
            (QuotaClaim::Nothing, _) => 0,
            (QuotaClaim::Next, _) => next,
            (QuotaClaim::All, LimitPhase::Keeping) => now.max(next),
            (QuotaClaim::All, LimitPhase::Filling) => now,
        };
        self.now = self.now.plus(job.task.times(kept).component_min(free));
        let in_turn_kept = match claim {
            QuotaClaim::Nothing => 0,
            QuotaClaim::Next => in_turn.min(next),
            QuotaClaim::All => in_turn,
        };
        self.in_turn = self.in_turn.plus(job.task.times(in_turn_kept));
        self.worth = self.worth.plus(job.task.times(worth));
        debug_assert!(job.task.times(now).is_within(free), "more is let in than the grant covers");
        Admitted { now, in_turn, worth }
    }
}
