//! Room made for a job by stopping others: nobody else gets it for a while.
//!
//! Invariant: `by_job` names every claim of `by_machine` once, and neither has empty lists.
use crate::ids::{JobId, MachineIdx, Timestamp};
use crate::names::Resources;
use std::collections::BTreeMap;

use super::Rank;

#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub job: JobId,
    pub need: Resources,
    pub until: Timestamp,
    /// Waits for tasks to end by themselves.
    pub patient: bool,
    /// Of a gang: whoever is to be served before it may use the room.
    pub rank: Option<Rank>,
}

impl Reservation {
    /// Whether the room is not for a job of this rank.
    pub fn bars(&self, job: JobId, rank: Option<Rank>) -> bool {
        let yields = matches!((self.rank, rank), (Some(c), Some(r)) if self.patient && r < c);
        self.job != job && !yields
    }
}

/// Found by machine and by job. (Found by a profile: as one list, searched at every look at a
/// machine, claims took half of the time of a fleet three times as large.)
#[derive(Debug, Default)]
pub(super) struct Reservations {
    by_machine: BTreeMap<MachineIdx, Vec<Reservation>>,
    by_job: BTreeMap<JobId, Vec<MachineIdx>>,
    /// No claim ends before this time.
    soonest: Timestamp,
}

impl Reservations {
    pub fn on(&self, m: MachineIdx) -> &[Reservation] {
        self.by_machine.get(&m).map_or(&[], Vec::as_slice)
    }

    pub fn count(&self, job: JobId) -> u32 {
        self.by_job.get(&job).map_or(0, |l| l.len() as u32)
    }

    pub fn add(&mut self, m: MachineIdx, c: Reservation) {
        self.soonest = self.soonest.min(c.until);
        self.by_job.entry(c.job).or_default().push(m);
        self.by_machine.entry(m).or_default().push(c);
    }

    /// Gives up one claim of the job on that machine, if there is any.
    pub fn give_up(&mut self, job: JobId, m: MachineIdx) {
        let Some(list) = self.by_machine.get_mut(&m) else { return };
        let Some(i) = list.iter().position(|c| c.job == job) else { return };
        list.swap_remove(i);
        if list.is_empty() {
            self.by_machine.remove(&m);
        }
        self.unname(job, m);
    }

    /// The job has this rank now, and its patient claims last longer where `lasts` says so.
    ///
    /// (Found on a day of our own: a gang first in line set machines aside, missed an aim, and was
    /// behind all others from then on. Its claims went on under the rank of before, so that the
    /// new first could not use those machines, and it could not either: 285 machines with GPUs
    /// stood open for minutes while 390 gangs waited.)
    pub fn prolong(
        &mut self,
        job: JobId,
        rank: Option<Rank>,
        until: Timestamp,
        lasts: impl Fn(MachineIdx) -> bool,
    ) {
        for m in self.by_job.get(&job).into_iter().flatten() {
            let list = self.by_machine.get_mut(m).into_iter().flatten();
            for c in list.filter(|c| c.job == job && c.patient) {
                c.rank = rank;
                if c.until < until && lasts(*m) {
                    c.until = until;
                }
            }
        }
    }

    /// Drops those whose time is over.
    pub fn expire(&mut self, now: Timestamp) {
        if now < self.soonest {
            return;
        }
        let mut over = Vec::new();
        let mut soonest = Timestamp::MAX;
        self.by_machine.retain(|&m, list| {
            list.retain(|c| {
                let lasts = c.until > now;
                if lasts {
                    soonest = soonest.min(c.until);
                } else {
                    over.push((c.job, m));
                }
                lasts
            });
            !list.is_empty()
        });
        self.soonest = soonest;
        for (job, m) in over {
            self.unname(job, m);
        }
    }

    fn unname(&mut self, job: JobId, m: MachineIdx) {
        if let Some(l) = self.by_job.get_mut(&job) {
            if let Some(i) = l.iter().position(|x| *x == m) {
                l.swap_remove(i);
            }
            if l.is_empty() {
                self.by_job.remove(&job);
            }
        }
    }
}

#[cfg(test)]
mod tests;
