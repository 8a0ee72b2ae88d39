//! Measures the share of the jobs that are served: by class, by team, and among the largest jobs of each class. A
//! run fails if less than half of any of these groups is served.
use leaddeal_wire::user::{Job, JobKind};
use std::collections::{BTreeMap, BTreeSet};

/// Time within which the largest jobs have to start, in milliseconds after their submission.
pub const LARGEST_START_MS: u64 = 240_000;

/// A job that its user has submitted and not cancelled. Times are in milliseconds.
#[derive(Debug)]
struct WantedJob {
    class: &'static str,
    team: String,
    tasks: u32,
    submitted_at: u64,
    /// When its first task started; `None` if none has.
    started_at: Option<u64>,
    /// Numbers of the tasks that started.
    started_tasks: BTreeSet<u32>,
}

impl WantedJob {
    /// Returns whether each of its tasks has started at least once.
    fn is_served(&self) -> bool {
        self.started_tasks.len() as u32 == self.tasks
    }

    /// Returns whether its first task started within [`LARGEST_START_MS`].
    fn started_in_time(&self) -> bool {
        self.started_at.is_some_and(|at| at <= self.submitted_at + LARGEST_START_MS)
    }
}

/// All jobs that their users have submitted and not cancelled.
#[derive(Debug, Default)]
pub struct Served {
    jobs: BTreeMap<String, WantedJob>,
}

/// Share of a group of jobs that is served.
#[derive(Debug)]
pub struct Share {
    /// Name of the group.
    pub who: String,
    /// Number of its jobs that are served.
    pub served: usize,
    /// Number of its jobs.
    pub of: usize,
}

impl Share {
    /// Returns whether less than half of the group is served.
    pub fn under_half(&self) -> bool {
        self.served * 2 < self.of
    }

    fn count(&mut self, is_served: bool) {
        self.served += usize::from(is_served);
        self.of += 1;
    }
}

impl Served {
    /// Records the submission of a job.
    pub fn submitted(&mut self, job: &Job, now: u64) {
        let class = match job.kind {
            JobKind::Array => "array",
            JobKind::Gang => "gang",
            JobKind::Service => "service",
        };
        let wanted = WantedJob {
            class,
            team: job.team.clone(),
            tasks: job.tasks,
            submitted_at: now,
            started_at: None,
            started_tasks: BTreeSet::new(),
        };
        self.jobs.insert(job.id.clone(), wanted);
    }

    /// Removes a job whose user has cancelled it: it no longer counts.
    pub fn cancelled(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Records the start of a task, named `JOB/NUMBER`.
    pub fn started(&mut self, task: &str, now: u64) {
        let Some((job, number)) = task.split_once('/') else { return };
        if let (Some(job), Ok(number)) = (self.jobs.get_mut(job), number.parse()) {
            job.started_at.get_or_insert(now);
            job.started_tasks.insert(number);
        }
    }

    /// Returns the shares of the jobs that these teams submitted up to the time `until`, in the order of the groups'
    /// names: of each class, each team and the largest tenth of each class, and the share of those largest jobs that
    /// started in time.
    pub fn shares(&self, until: u64, teams: &BTreeSet<&str>) -> Vec<Share> {
        let mut groups: BTreeMap<String, Share> = BTreeMap::new();
        let mut add = |who: String, is_served: bool| {
            let empty = Share { who: who.clone(), served: 0, of: 0 };
            groups.entry(who).or_insert(empty).count(is_served);
        };
        let mut classes: BTreeMap<&str, Vec<&WantedJob>> = BTreeMap::new();
        let counts =
            |job: &&WantedJob| job.submitted_at <= until && teams.contains(job.team.as_str());
        for job in self.jobs.values().filter(counts) {
            add(format!("class {}", job.class), job.is_served());
            add(format!("team {}", job.team), job.is_served());
            classes.entry(job.class).or_default().push(job);
        }
        for (class, mut jobs) in classes {
            jobs.sort_by_key(|job| std::cmp::Reverse(job.tasks));
            for job in jobs.iter().take(jobs.len().div_ceil(10)) {
                add(format!("largest {class}"), job.is_served());
                add(format!("largest {class} begun"), job.started_in_time());
            }
        }
        groups.into_values().collect()
    }
}

#[cfg(test)]
mod tests;
