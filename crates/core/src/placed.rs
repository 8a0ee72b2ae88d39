//! The tasks of a job that are or may be on machines.
use crate::ids::{Attempt, MachineIdx, Shard, Timestamp, ZoneIdx};
use crate::stored::QuotaUse;
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::TaskState;
use std::collections::BTreeMap;

/// A task is to stop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingStop {
    /// Seconds that the task gets to save its progress.
    pub grace_s: f64,
    /// When `Stop` was last sent; 0: not yet.
    pub sent_at: Timestamp,
}

impl PendingStop {
    /// A stop that was not sent yet.
    pub fn new(grace_s: f64) -> PendingStop {
        PendingStop { grace_s, sent_at: 0 }
    }
}

/// A task that is or may be on a machine.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The start of the task that this is.
    pub attempt: Attempt,
    /// The machine.
    pub machine: MachineIdx,
    /// The participant that the machine belongs to.
    pub participant: Shard,
    /// The incarnation of the machine's worker in which alone the task may start.
    pub incarnation: u64,
    /// The machine's zone.
    pub zone: ZoneIdx,
    /// What was last seen of the task.
    pub phase: TaskPhase,
    /// Number of the decision that holds it.
    pub round: u64,
    /// When this owner of the shard learned that the decision is durable.
    pub placed_at: Timestamp,
    /// When `Place` was last sent; 0: not by this owner of the shard.
    pub sent_at: Timestamp,
    /// None: the task is not to stop.
    pub stop: Option<PendingStop>,
    /// From a decision of an older epoch, and not seen on its machine yet.
    pub adopted: bool,
    /// What the task takes of its team's quota; none: the team has no limit.
    pub quota: Option<QuotaUse>,
}

impl Placement {
    /// Whether users are shown the task as running.
    fn is_running(&self) -> bool {
        matches!(self.phase, TaskPhase::On(TaskState::Running | TaskState::Saving))
    }

    /// Wants the task stopped; one that is to stop already keeps its grace.
    fn stop_unless_stopping(&mut self, grace_s: f64) {
        self.stop.get_or_insert(PendingStop::new(grace_s));
    }
}

/// The placements of a job, by task.
///
/// Invariant: `in_zone` and `running` are the sums over `by_task`; only this module changes a
/// placement's zone or phase. (They were summed up at every question of a user and twice a round,
/// which grew with the job.)
#[derive(Clone, Debug, Default)]
pub struct Placed {
    by_task: BTreeMap<u32, Placement>,
    /// By zone, as far as a placement was in one.
    in_zone: Vec<u32>,
    running: u32,
}

impl Placed {
    /// How many tasks are or may be on machines.
    pub fn len(&self) -> u32 {
        self.by_task.len() as u32
    }

    /// Whether no task is or may be on a machine.
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// The placement of a task.
    pub fn get(&self, task: u32) -> Option<&Placement> {
        self.by_task.get(&task)
    }

    /// All placements, in the order of the tasks.
    pub fn values(&self) -> impl Iterator<Item = &Placement> {
        self.by_task.values()
    }

    /// All tasks with their placements, in order, to send and stop them. Zone and phase must not be
    /// changed through this: see `set_phase`.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut Placement)> {
        self.by_task.iter_mut().map(|(task, placement)| (*task, placement))
    }

    /// All tasks with their placements, in order.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.by_task.iter().map(|(task, placement)| (*task, placement))
    }

    /// Wants one task stopped; one that is to stop already keeps its grace.
    pub fn stop(&mut self, task: u32, grace_s: f64) {
        if let Some(placement) = self.by_task.get_mut(&task) {
            placement.stop_unless_stopping(grace_s);
        }
    }

    /// Wants all tasks stopped; those that are to stop already keep their grace.
    pub fn stop_rest(&mut self, grace_s: f64) {
        for placement in self.by_task.values_mut() {
            placement.stop_unless_stopping(grace_s);
        }
    }

    /// Wants all tasks stopped at once, also those that were given a grace.
    pub fn stop_all(&mut self) {
        for placement in self.by_task.values_mut() {
            placement.stop = Some(PendingStop::new(0.0));
        }
    }

    /// How many tasks are to stop.
    pub fn stopping(&self) -> usize {
        self.values().filter(|placement| placement.stop.is_some()).count()
    }

    /// Places a task; returns the placement that it had before.
    pub fn insert(&mut self, task: u32, placement: Placement) -> Option<Placement> {
        let old = self.remove(task);
        let zone = placement.zone.0 as usize;
        if zone >= self.in_zone.len() {
            self.in_zone.resize(zone + 1, 0);
        }
        self.in_zone[zone] += 1;
        self.running += u32::from(placement.is_running());
        self.by_task.insert(task, placement);
        old
    }

    /// Removes and returns the placement of a task.
    pub fn remove(&mut self, task: u32) -> Option<Placement> {
        let placement = self.by_task.remove(&task)?;
        self.in_zone[placement.zone.0 as usize] -= 1;
        self.running -= u32::from(placement.is_running());
        Some(placement)
    }

    /// Records what was seen of a task; nothing, if it is not placed.
    pub fn set_phase(&mut self, task: u32, phase: TaskPhase) {
        let Some(placement) = self.by_task.get_mut(&task) else { return };
        self.running -= u32::from(placement.is_running());
        placement.phase = phase;
        placement.adopted &= phase == TaskPhase::Decided;
        self.running += u32::from(placement.is_running());
    }

    /// How many tasks are or may be in a zone.
    pub fn in_zone(&self, zone: usize) -> u32 {
        self.in_zone.get(zone).copied().unwrap_or(0)
    }

    /// How many tasks users are shown as running.
    pub fn running(&self) -> u32 {
        debug_assert!(self.sums_hold());
        self.running
    }

    /// The invariant of this type.
    fn sums_hold(&self) -> bool {
        let running = self.values().filter(|placement| placement.is_running()).count();
        let zone = |zone| self.values().filter(|p| p.zone.0 as usize == zone).count();
        self.running as usize == running
            && (0..self.in_zone.len()).all(|z| self.in_zone[z] as usize == zone(z))
    }
}
