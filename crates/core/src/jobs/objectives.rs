//! Service-level objectives from the settings, and the latest starts of jobs that meet them.
use leaddeal_wire::settings::Objective;
use leaddeal_wire::user;
use std::collections::HashMap;

/// Expected run time, in milliseconds, for each second of the user's estimate: a fifth longer than
/// the estimate.
const RUN_MS_PER_ESTIMATED_S: f64 = 1200.0;

/// Service-level objectives, by class of jobs.
#[derive(Clone, Debug, Default)]
pub struct Objectives {
    /// The time to place one more task of the same job, in milliseconds.
    placement_ms_per_task: f64,
    by_class: HashMap<String, ClassObjectives>,
}

/// The objectives of one class.
#[derive(Clone, Debug, Default)]
struct ClassObjectives {
    /// Time from submission to start, in milliseconds.
    start_within_ms: Vec<f64>,
    /// Time from submission to completion, in milliseconds.
    finish_within_ms: Vec<f64>,
    /// Time from submission to completion, in multiples of the job's own deadline.
    deadline_multiples: Vec<f64>,
}

impl Objectives {
    /// Creates the objectives from the settings and skips those of unknown kinds.
    /// `placement_ms_per_task` is the time to place one more task of the same job, in milliseconds.
    pub fn new(objectives: &[Objective], placement_ms_per_task: f64) -> Objectives {
        let mut by_class: HashMap<String, ClassObjectives> = HashMap::new();
        for objective in objectives {
            let class = by_class.entry(objective.class.clone()).or_default();
            match (objective.kind.as_str(), objective.within_s) {
                ("wait", Some(within_s)) => class.start_within_ms.push(within_s * 1000.0),
                ("finished", Some(within_s)) => class.finish_within_ms.push(within_s * 1000.0),
                ("deadline", _) => class.deadline_multiples.push(objective.times.unwrap_or(1.0)),
                _ => {}
            }
        }
        Objectives { placement_ms_per_task, by_class }
    }

    /// Returns the latest starts that meet a job's objectives, in milliseconds from its submission,
    /// in ascending order.
    pub(super) fn latest_starts_ms(&self, job: &user::Job) -> Vec<f64> {
        let none = ClassObjectives::default();
        let class = self.by_class.get(&job.class).unwrap_or(&none);
        let run_ms = job.estimate_s * RUN_MS_PER_ESTIMATED_S;
        let mut starts: Vec<f64> = class.start_within_ms.clone();
        starts.extend(class.finish_within_ms.iter().map(|within| within - run_ms));
        if let Some(deadline_s) = job.deadline_s {
            let deadline_ms = deadline_s * 1000.0;
            if class.deadline_multiples.is_empty() {
                starts.push(deadline_ms - run_ms);
            }
            let multiples = class.deadline_multiples.iter();
            starts.extend(multiples.map(|multiple| deadline_ms * multiple - run_ms));
        }
        // The last task has to start in time, so a large job is due earlier. Without this, an array
        // of 25,000 tasks was due as late as one of ten on operators' sites, and there was not
        // enough time left to place all tasks when it was served.
        let placement_ms = self.placement_ms_per_task * f64::from(job.tasks);
        for start in &mut starts {
            *start -= placement_ms;
        }
        starts.sort_by(f64::total_cmp);
        starts
    }
}
