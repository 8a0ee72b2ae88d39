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

/// Jobs that are reported to the provisioner, the most important ones.
const MAX_UNMET_DEMANDS: usize = 60;

/// The order in which jobs are reported: by priority, then by age.
type DemandOrder = (Reverse<Priority>, Timestamp, JobId);

fn demand_order(job: &Job) -> DemandOrder {
    (Reverse(job.wire.priority), job.created, job.id)
}

/// How many tasks of the job are worth a machine.
fn worth(ctx: &Context, admitted: &HashMap<JobId, Admitted>, job: &Job) -> u32 {
    match ctx.team_use(job) {
        Some(_) => admitted.get(&job.id).map_or(0, |admitted| admitted.worth),
        None => job.pending(),
    }
}

impl Coordinator {
    /// Tasks without a machine, the most important jobs first; none before the shard is loaded.
    pub fn unmet_demand(&self, ctx: &Context) -> Vec<UnmetDemand> {
        if !self.ready() {
            return Vec::new();
        }
        let admitted = self.admitted(ctx);
        let jobs = self.unplaced_jobs.iter().filter_map(|id| self.jobs.get(id));
        let mut lacking: Vec<&Job> = jobs
            .filter(|job| !job.cancelled && job.termination.status.is_none() && job.pending() > 0)
            .filter(|job| !job.failure_suspicion.is_suspected())
            .filter(|job| worth(ctx, &admitted, job) > 0)
            .collect();
        // (Found at five times a fleet: the first by their names were reported, not the first in turn.)
        lacking.sort_unstable_by_key(|job| demand_order(job));
        lacking.truncate(MAX_UNMET_DEMANDS);
        let demand = |job: &Job| UnmetDemand {
            job: job.id.0,
            shape: job.shape.wire.clone(),
            count: worth(ctx, &admitted, job),
            max_per_zone: job.max_per_zone(&ctx.names.zones),
            waited_ms: ctx.now.saturating_sub(job.created),
            urgent: job.is_urgent(ctx.now),
        };
        lacking.into_iter().map(demand).collect()
    }
}
