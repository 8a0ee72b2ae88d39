//! Which of a coordinator's pending tasks may run, before any room is asked for.
//!
//! One walk over the pending jobs in their order says of each how many of its tasks the team's limit
//! lets in: `now`, which the grant covers, and `in_turn`, which it would cover once lesser work of
//! the team had given way. All that asks for, makes room for, stands in line for, tells as lacking or
//! decides goes by it; the rest waits without cost.
//!
//! Invariant: what is let in now and counts is never more than the grant less what is used.
use leaddeal_wire::mesh::{ByPriority, QuotaAmount};
use leaddeal_wire::user::Priority;

/// What a coordinator's tasks may take of a team's limit, and what they take.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaStatus {
    /// What the grant covers in all; nothing: there is none.
    pub may: QuotaAmount,
    /// What it would, in the team's order.
    pub due: QuotaAmount,
    /// By priority, the least first.
    pub used: ByPriority,
}

/// A pending job as the limit sees it.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    pub priority: Priority,
    /// What a task takes.
    pub task: QuotaAmount,
    pub count: u32,
    /// All of its tasks or none: a gang.
    pub whole: bool,
    /// Found no machine lately: what it could take is left to those after it.
    pub unplaceable: bool,
}

/// How many tasks of a job may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Admitted {
    pub now: u32,
    /// Those and the ones for which lesser work of the team would give way.
    pub in_turn: u32,
    /// Worth a machine: of `now`, or of `in_turn` if it found none, less all that comes before it.
    pub worth: u32,
}

impl Admitted {
    pub fn all(count: u32) -> Admitted {
        Admitted { now: count, in_turn: count, worth: count }
    }
}

impl QuotaStatus {
    pub fn in_use(&self) -> QuotaAmount {
        self.used.iter().fold(QuotaAmount::default(), |sum, u| sum.plus(*u))
    }

    /// What the grant still covers.
    pub fn free(&self) -> QuotaAmount {
        self.may.minus(self.in_use())
    }
}

/// The walk, for one team.
#[derive(Debug)]
pub struct Admission {
    standing: QuotaStatus,
    /// Let in so far: now, in turn, and worth a machine.
    now: QuotaAmount,
    in_turn: QuotaAmount,
    worth: QuotaAmount,
}

impl Admission {
    pub fn new(standing: QuotaStatus) -> Admission {
        let none = QuotaAmount::default();
        Admission { standing, now: none, in_turn: none, worth: none }
    }

    /// What the team's order still leaves to this priority.
    fn free_in_turn(&self, priority: Priority, taken: QuotaAmount) -> QuotaAmount {
        let before = &self.standing.used[priority as usize..];
        let before = before.iter().fold(taken, |sum, u| sum.plus(*u));
        self.standing.due.minus(before)
    }

    /// The next in the coordinator's order.
    pub fn admit(&mut self, job: &AdmissionRequest) -> Admitted {
        let free = self.standing.free().minus(self.now);
        let fits = |left: QuotaAmount| {
            let n = left.fits(job.task).min(u64::from(job.count)) as u32;
            if job.whole && n < job.count {
                0
            } else {
                n
            }
        };
        let now = fits(free);
        let in_turn = fits(self.free_in_turn(job.priority, self.in_turn)).max(now);
        let mut worth = fits(self.standing.free().minus(self.worth));
        if job.unplaceable {
            worth = worth.max(fits(self.free_in_turn(job.priority, self.worth)));
        }
        if !job.unplaceable {
            // What the next task or gang lacks is kept for it, or smaller work would take it bit by
            // bit.
            let kept = if job.whole { job.count } else { now.max(1) };
            self.now = self.now.plus(job.task.times(kept).least(free));
            self.in_turn = self.in_turn.plus(job.task.times(in_turn));
        }
        self.worth = self.worth.plus(job.task.times(worth));
        debug_assert!(job.task.times(now).within(free), "more is let in than the grant covers");
        Admitted { now, in_turn, worth }
    }
}
