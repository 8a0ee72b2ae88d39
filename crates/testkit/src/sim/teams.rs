//! Teams, their limits and who works with GPUs.
use super::*;
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

/// Of a team with a limit of them.
const GPUS_MAX: f64 = 3.0;

impl Plan {
    /// GPU machines are there, and work for them.
    pub(super) fn has_gpus(&self) -> bool {
        self.scale > 1 || self.teams != Teams::One
    }

    pub(super) fn teams(&self) -> Value {
        let max = self.team_max;
        let tight = json!({"name": "tight", "cpus_max": max});
        let both = |name| json!({"name": name, "cpus_max": 1.5 * max, "gpus_max": GPUS_MAX});
        match self.teams {
            Teams::One => json!([{"name": "free"}, tight]),
            Teams::Three => json!([{"name": "free"}, tight, both("vision")]),
            Teams::AllLimited => json!([both("free"), tight, both("vision")]),
        }
    }
}

impl Sim {
    /// One a zone; a fleet has its own among the others.
    pub(super) fn boot_gpu_machines(&mut self) {
        if self.plan.scale > 1 || !self.plan.has_gpus() {
            return;
        }
        for zone in ZONES {
            let name = self.machine_name();
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
    pub(super) fn with_gpus(&mut self, mut j: Job) -> Job {
        if self.plan.scale > 1 || !self.plan.has_gpus() || j.kind == Kind::Service {
            return j;
        }
        let share = if j.kind == Kind::Gang { 0.4 } else { 0.1 };
        if self.rng.random_bool(share) {
            j.gpus = 1.0;
            let most = if j.kind == Kind::Gang { GPUS_MAX as u32 } else { j.tasks };
            j.tasks = j.tasks.min(most);
        }
        j
    }
}
