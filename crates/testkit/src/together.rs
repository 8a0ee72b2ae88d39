//! The rules of gangs of several tasks: all of an attempt's tasks start at the same time or none does, and
//! no gang completes that did not run for as long as it has to.
use crate::worker::{Done, Worker};
use leaddeal_wire::user::{Job, Kind};
use leaddeal_wire::worker::TaskState;
use std::collections::{BTreeMap, BTreeSet};

/// Between two looks.
const ROUGHLY_MS: u64 = 1000;

#[derive(Debug, Default)]
pub struct Together {
    started: BTreeSet<(String, u64)>,
    /// Which ran whole at the last look.
    whole: BTreeSet<String>,
    looked: u64,
    ran: BTreeMap<String, u64>,
    complete: BTreeSet<String>,
}

impl Together {
    pub fn check(
        &mut self,
        now: u64,
        jobs: &BTreeMap<String, Job>,
        workers: &BTreeMap<String, Worker>,
        done: &Done,
    ) -> Result<(), String> {
        for job in &self.whole {
            *self.ran.entry(job.clone()).or_default() += now - self.looked;
        }
        self.looked = now;
        let mut gangs: BTreeMap<(&str, u64), usize> = BTreeMap::new();
        for w in workers.values().filter(|w| !w.gone && now <= w.granted + w.lease_ms) {
            for ((task, attempt), t) in w.tasks.iter().filter(|(_, t)| t.gang) {
                if t.state == TaskState::Running {
                    let job = task.split('/').next().unwrap_or_default();
                    *gangs.entry((job, *attempt)).or_default() += 1;
                }
            }
        }
        let before = std::mem::take(&mut self.whole);
        for ((job, attempt), running) in gangs {
            let Some(j) = jobs.get(job).filter(|j| j.kind == Kind::Gang) else { continue };
            if self.started.insert((job.into(), attempt)) && running != j.tasks as usize {
                return Err(format!("half_gang: {running} of {} tasks of {job} start", j.tasks));
            }
            if running == j.tasks as usize {
                self.whole.insert(job.into());
            }
        }
        for job in before.difference(&self.whole).filter(|job| !self.complete.contains(*job)) {
            let Some(j) = jobs.get(job) else { continue };
            let has = (0..j.tasks).filter(|t| done.contains(&format!("{job}/{t}"))).count();
            if has == 0 {
                continue;
            }
            let ran = self.ran.get(job).copied().unwrap_or(0);
            if has < j.tasks as usize || ran + ROUGHLY_MS < (j.estimate_s * 1000.0) as u64 {
                return Err(format!("half_gang: {has} tasks of {job} done after {ran} ms"));
            }
        }
        let over = before.difference(&self.whole).filter(|job| done.last(job).is_some());
        self.complete.extend(over.cloned());
        Ok(())
    }
}
