//! The kinds of GPU work that a coordinator has, as reported in its requests for offers.
use crate::ids::Timestamp;
use crate::jobs::Job;
use leaddeal_wire::user::Priority;
use std::collections::BTreeSet;

/// Maximum number of kinds of GPU work in a request.
const MAX_GPU_WORK_KINDS: usize = 16;
/// Time between two scans of the jobs.
const GPU_WORK_REFRESH_INTERVAL_MS: u64 = 500;

/// A kind of GPU work: what a task takes, in thousandths of cores and GPUs and in MB of memory, and
/// its priority.
///
/// Kinds compare field by field, in the order of declaration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GpuWork {
    cpu: u64,
    gpu: u64,
    mem: u64,
    priority: Priority,
}

impl GpuWork {
    fn of(job: &Job) -> GpuWork {
        let need = job.shape.need;
        GpuWork { cpu: need.cpu, gpu: need.gpu, mem: need.mem, priority: job.spec.priority }
    }

    /// Returns the kind in the form of `ShardMessage::RequestOffers`.
    fn to_wire(self) -> (u64, u64, u64, Priority) {
        (self.cpu, self.gpu, self.mem, self.priority)
    }
}

/// The kinds of GPU work as of the last scan of the jobs.
#[derive(Debug, Default)]
pub(super) struct GpuWorkCache {
    refresh_at: Timestamp,
    kinds: Vec<GpuWork>,
}

impl GpuWorkCache {
    /// Returns the smallest kinds of GPU work among the jobs that are not cancelled. Participants
    /// keep services off the machines that this work needs, also before offers are requested for
    /// it. `jobs` is scanned only once per refresh interval.
    pub fn kinds<'a>(
        &mut self,
        now: Timestamp,
        jobs: impl Iterator<Item = &'a Job>,
    ) -> Vec<(u64, u64, u64, Priority)> {
        if now >= self.refresh_at {
            let live = jobs.filter(|job| !job.cancelled && job.shape.need.gpu > 0);
            let kinds: BTreeSet<GpuWork> = live.map(GpuWork::of).collect();
            self.kinds = kinds.into_iter().take(MAX_GPU_WORK_KINDS).collect();
            self.refresh_at = now + GPU_WORK_REFRESH_INTERVAL_MS;
        }
        self.kinds.iter().map(|kind| kind.to_wire()).collect()
    }
}
