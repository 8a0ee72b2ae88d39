//! Checks the rules of gangs of several tasks: the tasks of an attempt start together or not at all, and no gang
//! completes before it has run for its full run time.
use crate::broken_rule::{BrokenRule, Rule};
use crate::worker::{job_of_task, CompletedTasks, Worker};
use leaddeal_wire::user::{Job, JobKind};
use leaddeal_wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};

/// Measurement error of a gang's run time, in milliseconds: it is sampled at each check.
const RUN_TIME_ERROR_MS: u64 = 1000;

/// Checks that gangs are scheduled together.
#[derive(Debug, Default)]
pub struct CoschedulingCheck {
    /// Attempts that have started: job and number of the attempt.
    started: BTreeSet<(String, u64)>,
    /// Gangs of which all tasks ran at the last check.
    complete_at_check: BTreeSet<String>,
    /// Time of the last check, in milliseconds.
    last_check: u64,
    /// For how many milliseconds all tasks of a job ran together, by job.
    ran_ms: BTreeMap<String, u64>,
    /// Gangs that have completed.
    finished: BTreeSet<String>,
}

impl CoschedulingCheck {
    /// Checks all gangs that run now.
    ///
    /// # Errors
    /// Returns the gang of which only some tasks started or completed, or which completed too early.
    pub fn check(
        &mut self,
        now: u64,
        jobs: &BTreeMap<String, Job>,
        workers: &BTreeMap<String, Worker>,
        done: &CompletedTasks,
    ) -> Result<(), BrokenRule> {
        for job in &self.complete_at_check {
            *self.ran_ms.entry(job.clone()).or_default() += now - self.last_check;
        }
        self.last_check = now;
        let before = std::mem::take(&mut self.complete_at_check);
        self.check_starts(&running_members(now, workers), jobs)?;
        self.check_completions(&before, jobs, done)?;
        let ended =
            before.difference(&self.complete_at_check).filter(|job| done.last(job).is_some());
        self.finished.extend(ended.cloned());
        Ok(())
    }

    /// Checks that all tasks of an attempt run when the attempt is first seen running.
    fn check_starts(
        &mut self,
        gangs: &BTreeMap<(&str, u64), usize>,
        jobs: &BTreeMap<String, Job>,
    ) -> Result<(), BrokenRule> {
        for (&(id, attempt), &running) in gangs {
            let Some(job) = jobs.get(id).filter(|job| job.kind == JobKind::Gang) else { continue };
            let is_complete = running == job.tasks as usize;
            if self.started.insert((id.into(), attempt)) && !is_complete {
                return Err(Rule::PartialGang
                    .broken(format!("{running} of {} tasks of {id} start", job.tasks)));
            }
            if is_complete {
                self.complete_at_check.insert(id.into());
            }
        }
        Ok(())
    }

    /// Checks that of a gang that has stopped running with all its tasks, either all tasks are done after the full
    /// run time, or none is.
    fn check_completions(
        &self,
        before: &BTreeSet<String>,
        jobs: &BTreeMap<String, Job>,
        done: &CompletedTasks,
    ) -> Result<(), BrokenRule> {
        for id in
            before.difference(&self.complete_at_check).filter(|id| !self.finished.contains(*id))
        {
            let Some(job) = jobs.get(id) else { continue };
            let completed = done.count_of(job);
            if completed == 0 {
                continue;
            }
            let ran_ms = self.ran_ms.get(id).copied().unwrap_or(0);
            let is_too_early = ran_ms + RUN_TIME_ERROR_MS < (job.estimate_s * 1000.0) as u64;
            if completed < job.tasks as usize || is_too_early {
                return Err(Rule::PartialGang
                    .broken(format!("{completed} tasks of {id} done after {ran_ms} ms")));
            }
        }
        Ok(())
    }
}

/// Returns the number of running tasks of each attempt of a gang, by job and number of the attempt.
fn running_members(now: u64, workers: &BTreeMap<String, Worker>) -> BTreeMap<(&str, u64), usize> {
    let mut gangs: BTreeMap<(&str, u64), usize> = BTreeMap::new();
    for worker in workers.values().filter(|w| !w.gone && w.has_lease(now)) {
        for ((name, attempt), task) in worker.tasks.iter().filter(|(_, task)| task.gang) {
            if task.state == TaskState::Running {
                *gangs.entry((job_of_task(name), *attempt)).or_default() += 1;
            }
        }
    }
    gangs
}
