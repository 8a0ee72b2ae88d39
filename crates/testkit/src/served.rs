//! Which share of the jobs is served: by class, by team, and the largest jobs of each class. A day fails if
//! less than half of any of them is served.
use leaddeal_wire::user::{Job, JobKind};
use std::collections::{BTreeMap, BTreeSet};

/// Within this time the largest jobs have to start.
pub const LARGEST_START_MS: u64 = 240_000;

/// A job that its user wants. Times are in milliseconds.
#[derive(Debug)]
struct WantedJob {
    class: &'static str,
    team: String,
    tasks: u32,
    submitted_at: u64,
    /// When its first task started.
    started_at: Option<u64>,
    /// Numbers of the tasks that started.
    started_tasks: BTreeSet<u32>,
}

impl WantedJob {
    /// Every task of it was started once.
    fn is_served(&self) -> bool {
        self.started_tasks.len() as u32 == self.tasks
    }

    /// It started in time for a large job.
    fn started_in_time(&self) -> bool {
        self.started_at.is_some_and(|at| at <= self.submitted_at + LARGEST_START_MS)
    }
}

/// All jobs that their users want.
#[derive(Debug, Default)]
pub struct Served {
    jobs: BTreeMap<String, WantedJob>,
}

/// The share of a group of jobs that is served.
#[derive(Debug)]
pub struct Share {
    /// The group.
    pub who: String,
    /// How many of its jobs are served.
    pub served: usize,
    /// How many jobs there are.
    pub of: usize,
}

impl Share {
    /// Less than half of the group is served.
    pub fn under_half(&self) -> bool {
        self.served * 2 < self.of
    }

    fn count(&mut self, is_served: bool) {
        self.served += usize::from(is_served);
        self.of += 1;
    }
}

impl Served {
    /// A user wants this job from now on.
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

    /// Its user does not want the job any more, so that it counts no more.
    pub fn cancelled(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// A task started.
    pub fn started(&mut self, task: &str, now: u64) {
        let Some((job, number)) = task.split_once('/') else { return };
        if let (Some(job), Ok(number)) = (self.jobs.get_mut(job), number.parse()) {
            job.started_at.get_or_insert(now);
            job.started_tasks.insert(number);
        }
    }

    /// Of these teams' jobs that were submitted until then: each class, each team, the largest tenth of each
    /// class, and how many of the largest started in time. By the names of the groups.
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
