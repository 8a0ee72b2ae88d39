//! How many jobs have started, for the operators' log: by class and by team, with the largest job
//! that has not started.
//!
//! The counts cover the jobs of one shard since it was loaded: submitted jobs, started jobs, and
//! the longest time that one of these waited for its start. A day counts as failed if less than
//! half of the jobs of a class or team have started; these statistics show it first.
use super::Coordinator;
use crate::ids::Timestamp;
use crate::jobs::Job;
use std::collections::BTreeMap;

/// Number of classes and teams that are counted separately; all others are counted together.
const MAX_GROUPS: usize = 60;
/// The group in which all other classes and teams are counted.
const OTHER_GROUPS: &str = "others";

/// Counts of the jobs of one class or one team.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCounts {
    submitted: u64,
    started: u64,
    /// The longest time that one of the started jobs waited for its first start.
    longest_wait_ms: u64,
}

/// Counts of jobs by class and by team.
#[derive(Debug, Default)]
pub(super) struct ServiceStatistics {
    /// By `class.NAME` and `team.NAME`.
    groups: BTreeMap<String, GroupCounts>,
}

impl ServiceStatistics {
    /// Counts a job that was submitted or was loaded with the shard.
    pub(super) fn record_submission(&mut self, job: &Job) {
        self.update(job, |counts| counts.submitted += 1);
    }

    /// Counts a job that had started before the shard was loaded; how long it waited is not known.
    pub(super) fn record_earlier_start(&mut self, job: &Job) {
        self.update(job, |counts| counts.started += 1);
    }

    /// Counts a job whose first task has started.
    pub(super) fn record_start(&mut self, job: &Job, now: Timestamp) {
        let wait_ms = now.saturating_sub(job.submitted_at);
        self.update(job, |counts| {
            counts.started += 1;
            counts.longest_wait_ms = counts.longest_wait_ms.max(wait_ms);
        });
    }

    /// Applies a change to the counts of the job's class and to those of its team.
    fn update(&mut self, job: &Job, change: impl Fn(&mut GroupCounts)) {
        for (kind, name) in [("class", &job.spec.class), ("team", &job.spec.team)] {
            change(self.group(format!("{kind}.{name}")));
        }
    }

    fn group(&mut self, key: String) -> &mut GroupCounts {
        let is_separate = self.groups.contains_key(&key) || self.groups.len() < MAX_GROUPS;
        let key = if is_separate { key } else { OTHER_GROUPS.to_string() };
        self.groups.entry(key).or_default()
    }
}

impl Coordinator {
    /// Returns the log details of all groups, as `class.NAME=STARTED/SUBMITTED/LONGEST_WAIT_S`, and
    /// the largest job that has not started, with the time it has waited.
    pub fn service_statistics(&self, now: Timestamp) -> String {
        let groups = self.service_statistics.groups.iter().map(|(group, counts)| {
            let longest_wait_s = counts.longest_wait_ms.div_ceil(1000);
            format!("{group}={}/{}/{longest_wait_s}", counts.started, counts.submitted)
        });
        let mut details: Vec<String> = groups.collect();
        let waiting = self
            .unplaced_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.first_started_at.is_none());
        if let Some(job) = waiting.max_by_key(|job| job.spec.tasks) {
            let (id, tasks) = (&job.spec.id, job.spec.tasks);
            let waited_s = now.saturating_sub(job.submitted_at) / 1000;
            details.push(format!("largest_waiting={id} tasks={tasks} for_s={waited_s}"));
        }
        format!("shard={} {}", self.shard.0, details.join(" "))
    }
}
