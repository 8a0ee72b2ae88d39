//! The kinds of GPU work that a coordinator has, as its requests for offers tell them.
use crate::ids::Timestamp;
use crate::jobs::Job;
use leaddeal_wire::user::Priority;
use std::collections::BTreeSet;

/// A request names at most this many kinds of GPU work.
const MAX_GPU_WORK_KINDS: usize = 16;
/// Time between two walks over the jobs.
const GPU_WORK_REFRESH_INTERVAL_MS: u64 = 500;

/// What a task of GPU work takes, in thousandths of processors and GPUs and MB, and its priority.
///
/// Kinds are ordered by the fields in their order here.
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

    /// As `ShardMessage::RequestOffers` has it.
    fn to_wire(self) -> (u64, u64, u64, Priority) {
        (self.cpu, self.gpu, self.mem, self.priority)
    }
}

/// The kinds of GPU work as of the last walk over the jobs.
#[derive(Debug, Default)]
pub(super) struct GpuWorkCache {
    refresh_at: Timestamp,
    kinds: Vec<GpuWork>,
}

impl GpuWorkCache {
    /// The least kinds of GPU work among the jobs that are not cancelled, so that participants keep
    /// services from taking the machines it needs before it is requested itself. `jobs` is looked at
    /// only once in a refresh interval.
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
