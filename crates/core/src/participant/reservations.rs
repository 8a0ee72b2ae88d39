//! Capacity of a machine that is kept for a job: tasks were stopped for it, or are to end by
//! themselves.
//!
//! Invariant: `by_job` names every reservation of `by_machine` once, and neither has empty lists.
use super::queue_rank::QueueRank;
use crate::ids::{JobId, MachineIdx, Timestamp};
use crate::names::Resources;
use std::collections::BTreeMap;

/// Capacity for one task of a job.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// The job.
    pub job: JobId,
    /// What the task takes.
    pub need: Resources,
    /// When it ends, unless it is extended.
    pub expires_at: Timestamp,
    /// Nothing was stopped for it: it waits for tasks to end by themselves.
    pub waiting: bool,
    /// The rank of a gang: while it is waiting, gangs that are served before it may use the
    /// capacity.
    pub rank: Option<QueueRank>,
}

impl Reservation {
    /// Whether the capacity may not be used by a job of this rank.
    pub fn blocks(&self, job: JobId, rank: Option<QueueRank>) -> bool {
        let served_before = matches!((self.rank, rank), (Some(own), Some(other)) if other < own);
        self.job != job && !(self.waiting && served_before)
    }
}

/// A participant's reservations, by machine and by job. (Found by a profile: as one list, searched
/// at every look at a machine, reservations took half of the time of a fleet three times as large.)
#[derive(Debug, Default)]
pub(super) struct Reservations {
    by_machine: BTreeMap<MachineIdx, Vec<Reservation>>,
    by_job: BTreeMap<JobId, Vec<MachineIdx>>,
    /// No reservation ends before this time.
    next_expiry: Timestamp,
}

impl Reservations {
    /// The reservations on a machine.
    pub fn on(&self, machine: MachineIdx) -> &[Reservation] {
        self.by_machine.get(&machine).map_or(&[], Vec::as_slice)
    }

    /// How many reservations a job has.
    pub fn count(&self, job: JobId) -> u32 {
        self.by_job.get(&job).map_or(0, |machines| machines.len() as u32)
    }

    /// Adds a reservation.
    pub fn add(&mut self, machine: MachineIdx, reservation: Reservation) {
        self.next_expiry = self.next_expiry.min(reservation.expires_at);
        self.by_job.entry(reservation.job).or_default().push(machine);
        self.by_machine.entry(machine).or_default().push(reservation);
    }

    /// Ends one reservation of the job on that machine, if there is any.
    pub fn remove_one(&mut self, job: JobId, machine: MachineIdx) {
        let Some(reservations) = self.by_machine.get_mut(&machine) else { return };
        let Some(position) = reservations.iter().position(|r| r.job == job) else { return };
        reservations.swap_remove(position);
        if reservations.is_empty() {
            self.by_machine.remove(&machine);
        }
        self.remove_from_job(job, machine);
    }

    /// Gives the job's waiting reservations its present rank, and lets those on machines that
    /// `may_extend` allows last until `expires_at`.
    ///
    /// (Found in a run of a whole day: a gang first in the queue reserved machines, missed an
    /// objective, and was behind all others from then on. Its reservations kept their old rank, so
    /// that the new first could not use those machines, and it could not either: 285 machines with
    /// GPUs stood open for minutes while 390 gangs waited.)
    pub fn extend_waiting(
        &mut self,
        job: JobId,
        rank: Option<QueueRank>,
        expires_at: Timestamp,
        may_extend: impl Fn(MachineIdx) -> bool,
    ) {
        for machine in self.by_job.get(&job).into_iter().flatten() {
            let reservations = self.by_machine.get_mut(machine).into_iter().flatten();
            for reservation in reservations.filter(|r| r.job == job && r.waiting) {
                reservation.rank = rank;
                if reservation.expires_at < expires_at && may_extend(*machine) {
                    reservation.expires_at = expires_at;
                }
            }
        }
    }

    /// Drops the reservations that have ended.
    pub fn expire(&mut self, now: Timestamp) {
        if now < self.next_expiry {
            return;
        }
        let mut expired = Vec::new();
        let mut next_expiry = Timestamp::MAX;
        self.by_machine.retain(|&machine, reservations| {
            reservations.retain(|reservation| {
                let lasts = reservation.expires_at > now;
                if lasts {
                    next_expiry = next_expiry.min(reservation.expires_at);
                } else {
                    expired.push((reservation.job, machine));
                }
                lasts
            });
            !reservations.is_empty()
        });
        self.next_expiry = next_expiry;
        for (job, machine) in expired {
            self.remove_from_job(job, machine);
        }
    }

    fn remove_from_job(&mut self, job: JobId, machine: MachineIdx) {
        if let Some(machines) = self.by_job.get_mut(&job) {
            if let Some(position) = machines.iter().position(|known| *known == machine) {
                machines.swap_remove(position);
            }
            if machines.is_empty() {
                self.by_job.remove(&job);
            }
        }
    }
}

#[cfg(test)]
mod tests;
