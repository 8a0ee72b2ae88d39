//! GPU work that coordinators have asked for recently: capacity is kept for it on machines with GPUs.
use crate::ids::Timestamp;
use crate::names::Resources;
use leaddeal_wire::user::Priority;
use std::collections::HashMap;

/// How long a kind of GPU work is remembered after it was last asked for.
const REMEMBER_MS: u64 = 300_000;

/// What a task takes, as in `Resources`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct GpuNeed {
    /// Thousandths of cores.
    pub cpu: u64,
    /// Thousandths of GPUs.
    pub gpu: u64,
    /// MB.
    pub mem: u64,
}

#[derive(Clone, Copy, Debug)]
struct Demand {
    asked_at: Timestamp,
    priority: Priority,
}

/// The kinds of GPU work asked for recently. Nothing may depend on their order, which is random.
#[derive(Debug, Default)]
pub(super) struct GpuDemand {
    by_need: HashMap<GpuNeed, Demand>,
}

impl GpuDemand {
    /// It was asked for.
    pub fn note(&mut self, need: GpuNeed, priority: Priority, now: Timestamp) {
        self.by_need.insert(need, Demand { asked_at: now, priority });
    }

    /// Drops what was not asked for recently.
    pub fn expire(&mut self, now: Timestamp) {
        self.by_need.retain(|_, demand| demand.asked_at + REMEMBER_MS > now);
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.by_need.is_empty()
    }

    /// Whether any is of this priority or a lower one.
    pub fn any_up_to(&self, priority: Priority) -> bool {
        self.by_need.values().any(|demand| demand.priority <= priority)
    }

    /// What tasks of each kind take.
    pub fn needs(&self) -> impl Iterator<Item = Resources> + '_ {
        self.by_need.keys().map(|&GpuNeed { cpu, gpu, mem }| Resources { cpu, gpu, mem })
    }
}
