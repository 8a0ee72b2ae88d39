//! Tasks for which no machine has capacity, as reported to the provisioner.
use super::Coordinator;
use crate::context::Context;
use crate::ids::{JobId, Timestamp};
use crate::jobs::Job;
use crate::quota::admission::Admitted;
use leaddeal_wire::mesh::UnmetDemand;
use leaddeal_wire::user::Priority;
use std::cmp::Reverse;
use std::collections::HashMap;

/// At most this many jobs are reported to the provisioner: the first in `DemandOrder`.
const MAX_UNMET_DEMANDS: usize = 60;

/// The order in which jobs are reported: by priority, then by age.
type DemandOrder = (Reverse<Priority>, Timestamp, JobId);

fn demand_order(job: &Job) -> DemandOrder {
    (Reverse(job.spec.priority), job.submitted_at, job.id)
}

/// Returns for how many pending tasks of the job a machine is worth launching: all, or as many as
/// its team's quota would cover.
fn launchable_tasks(ctx: &Context, admitted: &HashMap<JobId, Admitted>, job: &Job) -> u32 {
    match ctx.quota_use(job) {
        Some(_) => admitted.get(&job.id).map_or(0, |admitted| admitted.launchable),
        None => job.pending(),
    }
}

impl Coordinator {
    /// Returns the demand of tasks without a machine, in the order of `DemandOrder`; empty until
    /// the shard is loaded.
    pub fn unmet_demand(&self, ctx: &Context) -> Vec<UnmetDemand> {
        if !self.is_ready() {
            return Vec::new();
        }
        let admitted = self.admitted(ctx);
        let jobs = self.unplaced_jobs.iter().filter_map(|id| self.jobs.get(id));
        let mut unmet: Vec<&Job> = jobs
            .filter(|job| !job.cancelled && job.termination.status.is_none() && job.pending() > 0)
            .filter(|job| !job.failure_suspicion.is_suspected())
            .filter(|job| launchable_tasks(ctx, &admitted, job) > 0)
            .collect();
        // Unsorted, the jobs with the lowest identifiers were reported instead of the first in this
        // order (seen at five times the normal fleet size).
        unmet.sort_unstable_by_key(|job| demand_order(job));
        unmet.truncate(MAX_UNMET_DEMANDS);
        let demand = |job: &Job| UnmetDemand {
            job: job.id.0,
            shape: job.shape.wire.clone(),
            count: launchable_tasks(ctx, &admitted, job),
            max_per_zone: job.max_per_zone(&ctx.names.zones),
            waited_ms: ctx.now.saturating_sub(job.submitted_at),
            urgent: job.is_urgent(ctx.now),
        };
        unmet.into_iter().map(demand).collect()
    }
}
