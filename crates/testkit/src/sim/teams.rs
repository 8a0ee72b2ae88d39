//! Teams, their limits and who works with GPUs.
use super::{Plan, Sim, ZONES};
use leaddeal_wire::user::{Job, JobKind};
use rand::Rng;
use serde_json::{json, Value};

/// Which teams have limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Teams {
    /// One of two has a limit of processors.
    One,
    /// One of three has a limit of processors, one a limit of processors and one of GPUs.
    Three,
    /// The third, too, has a limit of processors and one of GPUs.
    AllLimited,
}

/// The limit of GPUs of a team that has one.
const GPU_LIMIT: f64 = 3.0;

impl Plan {
    /// Whether there are GPU machines, and work for them.
    pub(super) fn has_gpus(&self) -> bool {
        self.scale > 1 || self.teams != Teams::One
    }

    /// Whether some jobs of a small deployment need GPUs; a fleet has its own GPU machines and work.
    fn has_few_gpus(&self) -> bool {
        self.scale <= 1 && self.has_gpus()
    }

    /// The teams, as the settings have them.
    pub(super) fn teams(&self) -> Value {
        let limit = self.team_cpu_limit;
        let tight = json!({"name": "tight", "cpus_max": limit});
        let both = |name| json!({"name": name, "cpus_max": 1.5 * limit, "gpus_max": GPU_LIMIT});
        match self.teams {
            Teams::One => json!([{"name": "free"}, tight]),
            Teams::Three => json!([{"name": "free"}, tight, both("vision")]),
            Teams::AllLimited => json!([both("free"), tight, both("vision")]),
        }
    }
}

impl Sim {
    /// One GPU machine a zone; a fleet has its own among the others.
    pub(super) fn boot_gpu_machines(&mut self) {
        if !self.plan.has_few_gpus() {
            return;
        }
        for zone in ZONES {
            let name = self.next_machine_name();
            self.boot_machine(&name, "gpu", zone, false);
        }
    }

    pub(super) fn random_team(&mut self) -> &'static str {
        let tight = self.rng.random_bool(0.4);
        let vision = self.plan.teams != Teams::One && self.rng.random_bool(0.3);
        match (vision, tight) {
            (true, _) => "vision",
            (false, true) => "tight",
            (false, false) => "free",
        }
    }

    /// Some gangs and a few arrays need GPUs, too.
    pub(super) fn with_gpus(&mut self, mut job: Job) -> Job {
        if !self.plan.has_few_gpus() || job.kind == JobKind::Service {
            return job;
        }
        let chance = if job.kind == JobKind::Gang { 0.4 } else { 0.1 };
        if self.rng.random_bool(chance) {
            job.gpus = 1.0;
            let max_tasks = if job.kind == JobKind::Gang { GPU_LIMIT as u32 } else { job.tasks };
            job.tasks = job.tasks.min(max_tasks);
        }
        job
    }
}
