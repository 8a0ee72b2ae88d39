//! Quotas: what coordinators take of teams' limits, and what they are granted.
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// Processors and GPUs that count against a team's limit. All arithmetic saturates.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize_tuple, Deserialize_tuple,
)]
pub struct QuotaAmount {
    /// Processors, in thousandths.
    pub cpu: u64,
    /// GPUs, in thousandths.
    pub gpu: u64,
}

impl QuotaAmount {
    /// The sum.
    pub fn plus(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpu: self.cpu.saturating_add(other.cpu),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// The difference; 0 where it would be negative.
    pub fn minus(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpu: self.cpu.saturating_sub(other.cpu),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// The lesser of each.
    pub fn least(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.min(other.cpu), gpu: self.gpu.min(other.gpu) }
    }

    /// The greater of each.
    pub fn most(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.max(other.cpu), gpu: self.gpu.max(other.gpu) }
    }

    /// The amount of `count` tasks of this amount.
    pub fn times(self, count: u32) -> QuotaAmount {
        let count = u64::from(count);
        QuotaAmount { cpu: self.cpu.saturating_mul(count), gpu: self.gpu.saturating_mul(count) }
    }

    /// Whether neither is more than in `limit`.
    pub fn within(self, limit: QuotaAmount) -> bool {
        self.cpu <= limit.cpu && self.gpu <= limit.gpu
    }

    /// How many times `task` fits in; [`u64::MAX`] if it is nothing.
    pub fn fits(self, task: QuotaAmount) -> u64 {
        let times = |room: u64, need: u64| room.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu, task.cpu).min(times(self.gpu, task.gpu))
    }
}

/// Number of values of [`crate::user::Priority`].
pub const PRIORITIES: usize = 4;

/// An amount for each priority, the least first.
pub type ByPriority = [QuotaAmount; PRIORITIES];

/// What a coordinator's tasks take of a team's limit, and what more they want.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct TeamUsage {
    /// The team's place in the settings.
    pub team: u8,
    /// Taken by tasks that run or are decided.
    pub used: ByPriority,
    /// Wanted by tasks that wait.
    pub wanted: ByPriority,
    /// Wanted by tasks that found no machine lately; not counted in `wanted`.
    pub unplaceable: ByPriority,
    /// Of each priority the first of those that wait, in the coordinator's order.
    pub first: [Option<FirstInQueue>; PRIORITIES],
}

/// The next to run: a task, or a gang as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct FirstInQueue {
    /// What it takes.
    pub need: QuotaAmount,
    /// How long it has waited, in milliseconds.
    pub waited_ms: u64,
}

impl TeamUsage {
    /// No usage of this team.
    pub fn of(team: u8) -> TeamUsage {
        let none = ByPriority::default();
        TeamUsage { team, used: none, wanted: none, unplaceable: none, first: [None; PRIORITIES] }
    }

    /// The sum of `used`.
    pub fn in_use(&self) -> QuotaAmount {
        self.used.iter().fold(QuotaAmount::default(), |sum, used| sum.plus(*used))
    }
}

/// A coordinator's part of a team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct TeamGrant {
    /// The team's place in the settings.
    pub team: u8,
    /// What the coordinator's tasks may take in all.
    pub may: QuotaAmount,
    /// What they would take if work of lower priority of the team were preempted everywhere.
    pub due: QuotaAmount,
}
