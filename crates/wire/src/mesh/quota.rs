//! Quotas: what coordinators use of the teams' quotas, and what they are granted.
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// Processors and GPUs that count against a team's quota. All arithmetic saturates.
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
    /// Returns the sum.
    pub fn plus(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpu: self.cpu.saturating_add(other.cpu),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns the difference, with 0 where it would be negative.
    pub fn minus(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount {
            cpu: self.cpu.saturating_sub(other.cpu),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Returns the smaller value of each resource.
    pub fn component_min(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.min(other.cpu), gpu: self.gpu.min(other.gpu) }
    }

    /// Returns the larger value of each resource.
    pub fn component_max(self, other: QuotaAmount) -> QuotaAmount {
        QuotaAmount { cpu: self.cpu.max(other.cpu), gpu: self.gpu.max(other.gpu) }
    }

    /// Returns the amount for `count` tasks that need this amount each.
    pub fn times(self, count: u32) -> QuotaAmount {
        let count = u64::from(count);
        QuotaAmount { cpu: self.cpu.saturating_mul(count), gpu: self.gpu.saturating_mul(count) }
    }

    /// Returns whether no resource exceeds that of `limit`.
    pub fn is_within(self, limit: QuotaAmount) -> bool {
        self.cpu <= limit.cpu && self.gpu <= limit.gpu
    }

    /// Returns how many times `task` fits into this amount; [`u64::MAX`] if it needs nothing.
    pub fn fit_count(self, task: QuotaAmount) -> u64 {
        let times = |free: u64, need: u64| free.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu, task.cpu).min(times(self.gpu, task.gpu))
    }
}

/// Number of values of [`crate::user::Priority`].
pub const PRIORITIES: usize = 4;

/// An amount for each priority, in ascending order of priority.
pub type ByPriority = [QuotaAmount; PRIORITIES];

/// What a coordinator's tasks use of a team's quota, and what more they need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct TeamUsage {
    /// Index of the team in the settings.
    pub team: u8,
    /// Used by tasks that are running or decided.
    pub used: ByPriority,
    /// Needed by pending tasks.
    pub wanted: ByPriority,
    /// Needed by pending tasks that found no machine lately; not included in `wanted`.
    pub unplaceable: ByPriority,
    /// The first pending task or gang of each priority, in the coordinator's order.
    pub first: [Option<FirstInQueue>; PRIORITIES],
}

/// The next task to run, or the next gang as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct FirstInQueue {
    /// What the task or gang needs.
    pub need: QuotaAmount,
    /// How long it has been pending, in milliseconds.
    pub waited_ms: u64,
}

impl TeamUsage {
    /// Returns a report without any usage by this team.
    pub fn of(team: u8) -> TeamUsage {
        let none = ByPriority::default();
        TeamUsage { team, used: none, wanted: none, unplaceable: none, first: [None; PRIORITIES] }
    }

    /// Returns the sum of `used` over all priorities.
    pub fn in_use(&self) -> QuotaAmount {
        self.used.iter().fold(QuotaAmount::default(), |sum, used| sum.plus(*used))
    }
}

/// A coordinator's part of a team's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct TeamGrant {
    /// Index of the team in the settings.
    pub team: u8,
    /// What the coordinator's tasks may use in total.
    pub granted: QuotaAmount,
    /// What they could use in total if tasks of lower priority of the team were preempted at all
    /// coordinators.
    pub granted_after_preemption: QuotaAmount,
}
