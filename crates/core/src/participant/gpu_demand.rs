//! GPU work that coordinators have requested recently. Capacity is kept for it on machines with GPUs.
use crate::ids::Timestamp;
use crate::names::Resources;
use leaddeal_wire::user::Priority;
use std::collections::HashMap;

/// Time in ms for which a kind of GPU work is remembered after it was last requested.
const REMEMBER_MS: u64 = 300_000;

/// Resources of one task, as in `Resources`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct GpuNeed {
    /// Thousandths of processors.
    pub cpu: u64,
    /// Thousandths of GPUs.
    pub gpu: u64,
    /// Memory in MB.
    pub mem: u64,
}

#[derive(Clone, Copy, Debug)]
struct Demand {
    asked_at: Timestamp,
    priority: Priority,
}

/// The kinds of GPU work that were requested recently. Nothing may depend on the iteration order of
/// `by_need`, which is random.
#[derive(Debug, Default)]
pub(super) struct GpuDemand {
    by_need: HashMap<GpuNeed, Demand>,
}

impl GpuDemand {
    /// Records that work with this need was requested.
    pub fn note(&mut self, need: GpuNeed, priority: Priority, now: Timestamp) {
        self.by_need.insert(need, Demand { asked_at: now, priority });
    }

    /// Removes the work that was not requested within `REMEMBER_MS`.
    pub fn expire(&mut self, now: Timestamp) {
        self.by_need.retain(|_, demand| demand.asked_at + REMEMBER_MS > now);
    }

    /// Returns whether no GPU work was requested recently.
    pub fn is_empty(&self) -> bool {
        self.by_need.is_empty()
    }

    /// Returns whether any GPU work was last requested at this priority or a lower one.
    pub fn any_up_to(&self, priority: Priority) -> bool {
        self.by_need.values().any(|demand| demand.priority <= priority)
    }

    /// Returns the resources of one task of each kind.
    pub fn needs(&self) -> impl Iterator<Item = Resources> + '_ {
        self.by_need.keys().map(|&GpuNeed { cpu, gpu, mem }| Resources { cpu, gpu, mem })
    }
}
