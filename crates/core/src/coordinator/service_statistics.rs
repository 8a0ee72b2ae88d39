//! Which jobs have begun, for the operators' log: by class, by team, and the largest that waits.
//!
//! Counted over the jobs of one shard since it was loaded: how many were submitted, how many have
//! begun, and the longest that one of these waited. A day on which less than half of a class or a
//! team has begun counts as failed: this is where it shows first.
use super::Coordinator;
use crate::ids::Timestamp;
use crate::jobs::Job;
use std::collections::BTreeMap;

/// Classes and teams that are counted apart; all others are counted together.
const MAX_GROUPS: usize = 60;
/// The group of all others.
const OTHER_GROUPS: &str = "others";

/// Jobs of one class or one team.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCounts {
    submitted: u64,
    begun: u64,
    /// The longest that one of them waited for its first start.
    longest_wait_ms: u64,
}

/// Counts of jobs by class and by team.
#[derive(Debug, Default)]
pub(super) struct ServiceStatistics {
    /// By `class.NAME` and `team.NAME`.
    groups: BTreeMap<String, GroupCounts>,
}

impl ServiceStatistics {
    /// A job was submitted, or was loaded with the shard.
    pub(super) fn record_submission(&mut self, job: &Job) {
        self.update(job, |counts| counts.submitted += 1);
    }

    /// A job had begun when the shard was loaded; how long it waited is not known here.
    pub(super) fn record_earlier_start(&mut self, job: &Job) {
        self.update(job, |counts| counts.begun += 1);
    }

    /// The first task of a job runs.
    pub(super) fn record_start(&mut self, job: &Job, now: Timestamp) {
        let wait_ms = now.saturating_sub(job.submitted_at);
        self.update(job, |counts| {
            counts.begun += 1;
            counts.longest_wait_ms = counts.longest_wait_ms.max(wait_ms);
        });
    }

    /// Changes the counts of the job's class and of its team.
    fn update(&mut self, job: &Job, change: impl Fn(&mut GroupCounts)) {
        for (kind, name) in [("class", &job.spec.class), ("team", &job.spec.team)] {
            change(self.group(format!("{kind}.{name}")));
        }
    }

    fn group(&mut self, key: String) -> &mut GroupCounts {
        let apart = self.groups.contains_key(&key) || self.groups.len() < MAX_GROUPS;
        let key = if apart { key } else { OTHER_GROUPS.to_string() };
        self.groups.entry(key).or_default()
    }
}

impl Coordinator {
    /// For the operators' log: groups as `class.x=begun/submitted/longest wait in seconds`, and the
    /// largest of all jobs that have not begun, with how long it has waited.
    pub fn service_figures(&self, now: Timestamp) -> String {
        let groups = self.service_statistics.groups.iter().map(|(group, counts)| {
            let longest_wait_s = counts.longest_wait_ms.div_ceil(1000);
            format!("{group}={}/{}/{longest_wait_s}", counts.begun, counts.submitted)
        });
        let mut words: Vec<String> = groups.collect();
        let waiting = self
            .unplaced_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.first_started_at.is_none());
        if let Some(job) = waiting.max_by_key(|job| job.spec.tasks) {
            let (id, tasks) = (&job.spec.id, job.spec.tasks);
            let waited_s = now.saturating_sub(job.submitted_at) / 1000;
            words.push(format!("largest_waiting={id} tasks={tasks} for_s={waited_s}"));
        }
        format!("shard={} {}", self.shard.0, words.join(" "))
    }
}
