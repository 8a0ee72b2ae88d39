//! The random jobs that users submit.
use super::Sim;
use leaddeal_wire::user::{job_id, Job, JobKind, Priority};
use rand::Rng;

/// Difference between the identifiers of two successive submitted jobs.
const JOB_ID_STEP: u64 = 7;

impl Sim {
    /// Returns a job that stays queued, since the machine type that it needs is not in the catalog.
    pub(super) fn unplaceable_job() -> Job {
        Job {
            id: String::new(),
            class: "x".into(),
            team: "free".into(),
            kind: JobKind::Array,
            priority: Priority::Low,
            tasks: 3,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: "i-0".into(),
            image_gb: 1.0,
            types: Some(vec!["none".into()]),
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            estimate_s: 5.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
        }
    }

    /// Draws a new job. The order of the fields here is the order of the draws.
    pub(super) fn random_job(&mut self) -> Job {
        self.next_job += 1;
        let kind = [JobKind::Array, JobKind::Array, JobKind::Gang, JobKind::Service]
            [self.rng.random_range(0..4)];
        let tasks = self.random_task_count(kind);
        let needs_gpus = kind == JobKind::Gang && self.plan.scale > 1;
        let spread = kind == JobKind::Service;
        let job = Job {
            id: job_id(self.next_job * JOB_ID_STEP),
            class: "x".into(),
            team: self.random_team().into(),
            kind,
            priority: self.random_priority(),
            tasks,
            cpus: f64::from(self.rng.random_range(1..3)) * if needs_gpus { 4.0 } else { 1.0 },
            gpus: if needs_gpus { 2.0 } else { 0.0 },
            memory_gb: 1.0,
            image: format!("i-{}", self.rng.random_range(0..3)),
            image_gb: 1.0,
            types: None,
            zone: self.rng.random_bool(0.1).then(|| "b".to_string()),
            one_zone: !spread && self.rng.random_bool(self.plan.one_zone_share),
            spread,
            spot: kind != JobKind::Service,
            estimate_s: self.random_duration_s(),
            checkpoint_s: if self.rng.random_bool(0.3) { 3.0 } else { 0.0 },
            save_s: 1.0,
            deadline_s: None,
        };
        self.with_gpus(job)
    }

    fn random_task_count(&mut self, kind: JobKind) -> u32 {
        let max_gang_tasks = self.plan.max_gang_tasks;
        match kind {
            JobKind::Array => self.rng.random_range(1..self.plan.array_tasks_limit),
            JobKind::Gang if max_gang_tasks > 1 => self.rng.random_range(1..=max_gang_tasks),
            JobKind::Gang => 1,
            JobKind::Service => self.rng.random_range(1..4),
        }
    }

    fn random_priority(&mut self) -> Priority {
        let all = [Priority::Low, Priority::Normal, Priority::High, Priority::Production];
        all[self.rng.random_range(0..4)]
    }

    /// Draws how long a task runs, in seconds.
    fn random_duration_s(&mut self) -> f64 {
        let factor = if self.plan.long_tasks { 15.0 } else { 1.0 };
        f64::from(self.rng.random_range(1..9)) * factor
    }
}
