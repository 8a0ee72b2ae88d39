//! The rules of gangs of several tasks: all of an attempt's tasks start at the same time or none does, and
//! no gang completes that did not run for as long as it has to.
use crate::broken_rule::{BrokenRule, Rule};
use crate::worker::{job_of_task, CompletedTasks, Worker};
use leaddeal_wire::user::{Job, JobKind};
use leaddeal_wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};

/// A gang's run time is known up to this many milliseconds.
const RUN_TIME_ERROR_MS: u64 = 1000;

/// Checks that gangs are scheduled together.
#[derive(Debug, Default)]
pub struct CoschedulingCheck {
    /// Jobs and their attempts that have started.
    started: BTreeSet<(String, u64)>,
    /// Jobs that ran whole at the last check.
    whole: BTreeSet<String>,
    last_check: u64,
    /// For how many milliseconds each job ran whole.
    ran_ms: BTreeMap<String, u64>,
    complete: BTreeSet<String>,
}

impl CoschedulingCheck {
    /// Checks all gangs as they run now.
    ///
    /// # Errors
    /// The gang of which some tasks started or completed without the others, or too early.
    pub fn check(
        &mut self,
        now: u64,
        jobs: &BTreeMap<String, Job>,
        workers: &BTreeMap<String, Worker>,
        done: &CompletedTasks,
    ) -> Result<(), BrokenRule> {
        for job in &self.whole {
            *self.ran_ms.entry(job.clone()).or_default() += now - self.last_check;
        }
        self.last_check = now;
        let before = std::mem::take(&mut self.whole);
        self.check_starts(&running_members(now, workers), jobs)?;
        self.check_completions(&before, jobs, done)?;
        let ended = before.difference(&self.whole).filter(|job| done.last(job).is_some());
        self.complete.extend(ended.cloned());
        Ok(())
    }

    /// All tasks of an attempt run when it is first seen to run.
    fn check_starts(
        &mut self,
        gangs: &BTreeMap<(&str, u64), usize>,
        jobs: &BTreeMap<String, Job>,
    ) -> Result<(), BrokenRule> {
        for (&(id, attempt), &running) in gangs {
            let Some(job) = jobs.get(id).filter(|job| job.kind == JobKind::Gang) else { continue };
            let is_whole = running == job.tasks as usize;
            if self.started.insert((id.into(), attempt)) && !is_whole {
                return Err(Rule::HalfGang
                    .broken(format!("{running} of {} tasks of {id} start", job.tasks)));
            }
            if is_whole {
                self.whole.insert(id.into());
            }
        }
        Ok(())
    }

    /// Of a gang that runs whole no more, all tasks are done after their time, or none is.
    fn check_completions(
        &self,
        before: &BTreeSet<String>,
        jobs: &BTreeMap<String, Job>,
        done: &CompletedTasks,
    ) -> Result<(), BrokenRule> {
        for id in before.difference(&self.whole).filter(|id| !self.complete.contains(*id)) {
            let Some(job) = jobs.get(id) else { continue };
            let completed = done.count_of(job);
            if completed == 0 {
                continue;
            }
            let ran_ms = self.ran_ms.get(id).copied().unwrap_or(0);
            let is_too_early = ran_ms + RUN_TIME_ERROR_MS < (job.estimate_s * 1000.0) as u64;
            if completed < job.tasks as usize || is_too_early {
                return Err(Rule::HalfGang
                    .broken(format!("{completed} tasks of {id} done after {ran_ms} ms")));
            }
        }
        Ok(())
    }
}

/// How many tasks run of each attempt of a gang, by its job.
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
