//! Teams and their quotas, and the jobs and machines with GPUs.
use super::{Plan, Sim, ZONES};
use leaddeal_wire::user::{Job, JobKind};
use rand::Rng;
use serde_json::{json, Value};

/// The teams and their quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TeamQuotas {
    /// Two teams, of which one has a CPU quota.
    OneOfTwo,
    /// Three teams: one without a quota, one with a CPU quota, one with a CPU and a GPU quota.
    TwoOfThree,
    /// Three teams: one with a CPU quota, two with a CPU and a GPU quota.
    AllOfThree,
}

/// GPU quota of a team that has one.
const GPU_QUOTA: f64 = 3.0;

impl Plan {
    /// Returns whether there are GPU machines and jobs that need them.
    pub(super) fn has_gpus(&self) -> bool {
        self.scale > 1 || self.teams != TeamQuotas::OneOfTwo
    }

    /// Returns whether a small deployment gets a few GPU machines and jobs. A fleet (a scale above 1) has GPU machines
    /// among its initial ones, and gangs that need them.
    fn is_small_with_gpus(&self) -> bool {
        self.scale <= 1 && self.has_gpus()
    }

    /// Returns the teams in the form of the settings.
    pub(super) fn teams(&self) -> Value {
        let cpu_quota = self.team_cpu_quota;
        let tight = json!({"name": "tight", "cpus_max": cpu_quota});
        let with_quotas =
            |name| json!({"name": name, "cpus_max": 1.5 * cpu_quota, "gpus_max": GPU_QUOTA});
        match self.teams {
            TeamQuotas::OneOfTwo => json!([{"name": "free"}, tight]),
            TeamQuotas::TwoOfThree => json!([{"name": "free"}, tight, with_quotas("vision")]),
            TeamQuotas::AllOfThree => json!([with_quotas("free"), tight, with_quotas("vision")]),
        }
    }
}

impl Sim {
    /// Boots one GPU machine in each zone of a small deployment.
    pub(super) fn boot_gpu_machines(&mut self) {
        if !self.plan.is_small_with_gpus() {
            return;
        }
        for zone in ZONES {
            let name = self.next_machine_name();
            self.boot_machine(&name, "gpu", zone, false);
        }
    }

    pub(super) fn random_team(&mut self) -> &'static str {
        let tight = self.rng.random_bool(0.4);
        let vision = self.plan.teams != TeamQuotas::OneOfTwo && self.rng.random_bool(0.3);
        match (vision, tight) {
            (true, _) => "vision",
            (false, true) => "tight",
            (false, false) => "free",
        }
    }

    /// Draws whether a job of a small deployment needs GPUs, and returns the job with them.
    pub(super) fn with_gpus(&mut self, mut job: Job) -> Job {
        if !self.plan.is_small_with_gpus() || job.kind == JobKind::Service {
            return job;
        }
        let chance = if job.kind == JobKind::Gang { 0.4 } else { 0.1 };
        if self.rng.random_bool(chance) {
            job.gpus = 1.0;
            let max_tasks = if job.kind == JobKind::Gang { GPU_QUOTA as u32 } else { job.tasks };
            job.tasks = job.tasks.min(max_tasks);
        }
        job
    }
}
