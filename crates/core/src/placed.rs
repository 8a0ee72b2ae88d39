//! The tasks of a job that are or may be on machines.
//!
//! Invariant: `in_zone` and `running` are the sums over `by_task`; only this file changes a
//! placement's zone or phase. (They were summed up at every question of a user and twice a round,
//! which grew with the job.)
use crate::ids::{Attempt, MachineIdx, Shard, Timestamp, ZoneIdx};
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::TaskState;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub struct Placement {
    pub attempt: Attempt,
    pub machine: MachineIdx,
    /// The participant that the machine belongs to.
    pub participant: Shard,
    pub incarnation: u64,
    pub zone: ZoneIdx,
    pub phase: TaskPhase,
    /// Number of the decision that holds it.
    pub round: u64,
    pub placed_at: Timestamp,
    /// When `Place` was last sent.
    pub sent_at: Timestamp,
    /// Grace and the time at which `Stop` was last sent.
    pub stop: Option<(f64, Timestamp)>,
    /// From a decision of an older epoch, and not seen on its machine yet.
    pub adopted: bool,
    /// Team with a limit, and what the task takes of it.
    pub team: Option<(u8, u64, u64)>,
}

/// MachineSummary to users as running.
fn runs(p: TaskPhase) -> bool {
    matches!(p, TaskPhase::On(TaskState::Running | TaskState::Saving))
}

#[derive(Clone, Debug, Default)]
pub struct Placed {
    by_task: BTreeMap<u32, Placement>,
    in_zone: Vec<u32>,
    running: u32,
}

impl Placed {
    pub fn len(&self) -> u32 {
        self.by_task.len() as u32
    }

    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    pub fn get(&self, task: u32) -> Option<&Placement> {
        self.by_task.get(&task)
    }

    pub fn values(&self) -> impl Iterator<Item = &Placement> {
        self.by_task.values()
    }

    /// To send and stop; phase and zone stay.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut Placement)> {
        self.by_task.iter_mut().map(|(t, p)| (*t, p))
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.by_task.iter().map(|(t, p)| (*t, p))
    }

    /// Wants one of them stopped.
    pub fn stop(&mut self, task: u32, grace_s: f64) {
        if let Some(p) = self.by_task.get_mut(&task).filter(|p| p.stop.is_none()) {
            p.stop = Some((grace_s, 0));
        }
    }

    /// Wants all of them stopped; those that are to stop already keep their grace.
    pub fn stop_rest(&mut self, grace_s: f64) {
        for p in self.by_task.values_mut().filter(|p| p.stop.is_none()) {
            p.stop = Some((grace_s, 0));
        }
    }

    /// How many are to stop.
    pub fn stopping(&self) -> usize {
        self.values().filter(|p| p.stop.is_some()).count()
    }

    pub fn stop_all(&mut self) {
        for p in self.by_task.values_mut() {
            p.stop = Some((0.0, 0));
        }
    }

    pub fn insert(&mut self, task: u32, p: Placement) -> Option<Placement> {
        let old = self.remove(task);
        let z = p.zone.0 as usize;
        if z >= self.in_zone.len() {
            self.in_zone.resize(z + 1, 0);
        }
        self.in_zone[z] += 1;
        self.running += u32::from(runs(p.phase));
        self.by_task.insert(task, p);
        old
    }

    pub fn remove(&mut self, task: u32) -> Option<Placement> {
        let p = self.by_task.remove(&task)?;
        self.in_zone[p.zone.0 as usize] -= 1;
        self.running -= u32::from(runs(p.phase));
        Some(p)
    }

    pub fn set_phase(&mut self, task: u32, phase: TaskPhase) {
        if let Some(p) = self.by_task.get_mut(&task) {
            self.running -= u32::from(runs(p.phase));
            self.running += u32::from(runs(phase));
            p.phase = phase;
            p.adopted &= phase == TaskPhase::Decided;
        }
    }

    /// How many may still be in the zone.
    pub fn in_zone(&self, z: usize) -> u32 {
        self.in_zone.get(z).copied().unwrap_or(0)
    }

    pub fn running(&self) -> u32 {
        debug_assert!(self.sums_hold());
        self.running
    }

    fn sums_hold(&self) -> bool {
        let running = self.values().filter(|p| runs(p.phase)).count();
        let zone = |z| self.values().filter(|p| p.zone.0 as usize == z).count();
        self.running as usize == running
            && (0..self.in_zone.len()).all(|z| self.in_zone[z] as usize == zone(z))
    }
}
