//! The placements of a job: its tasks that are, or may be, on machines.
use crate::ids::{Attempt, Epoch, MachineIdx, Shard, Timestamp, ZoneIdx};
use crate::stored::QuotaUse;
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::TaskState;
use std::collections::BTreeMap;

/// A request to stop a task, which is repeated until the task has ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingStop {
    /// Seconds that the task gets to save its progress.
    pub grace_s: f64,
    /// When the `Stop` message was last sent; 0: never.
    pub sent_at: Timestamp,
}

impl PendingStop {
    /// Returns a stop that has not been sent yet.
    pub fn new(grace_s: f64) -> PendingStop {
        PendingStop { grace_s, sent_at: 0 }
    }
}

/// A task that is, or may be, on a machine.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The attempt of the task.
    pub attempt: Attempt,
    /// The machine.
    pub machine: MachineIdx,
    /// The participant that the machine belongs to.
    pub participant: Shard,
    /// The only incarnation of the machine's worker in which the task may start.
    pub incarnation: u64,
    /// The machine's zone.
    pub zone: ZoneIdx,
    /// The last known phase of the task.
    pub phase: TaskPhase,
    /// Number of the round whose decision contains the placement.
    pub round: u64,
    /// When this owner of the shard learned that the decision is durable.
    pub placed_at: Timestamp,
    /// When the `Place` message was last sent; 0: never by this owner of the shard.
    pub sent_at: Timestamp,
    /// Epoch of the participant's owner that it was last sent to; 0: none.
    pub sent_to: Epoch,
    /// Epoch of the participant's owner that last reported the attempt; 0: none, or the owner has asked
    /// for the `Place` message since.
    pub reported_by: Epoch,
    /// No report has arrived since the `Place` message was last sent.
    pub awaits_report: bool,
    /// The pending stop. `None`: the task is not to stop.
    pub stop: Option<PendingStop>,
    /// The placement comes from a decision of an older epoch, and the task was not yet seen on its
    /// machine.
    pub adopted: bool,
    /// What the task uses of its team's quota. `None`: the team has no quota.
    pub quota: Option<QuotaUse>,
}

impl Placement {
    /// Returns whether users see the task as running.
    fn is_running(&self) -> bool {
        matches!(self.phase, TaskPhase::On(TaskState::Running | TaskState::Saving))
    }

    /// Returns whether nothing has to be sent to the participant's present owner: it has reported the
    /// attempt, in a phase that does not change before the attempt ends. The change to another phase is
    /// reported only once, so a report of it that is lost is requested by another `Place` message.
    pub fn is_settled(&self, owner_epoch: Epoch) -> bool {
        let will_change = match self.phase {
            TaskPhase::Decided | TaskPhase::On(TaskState::Fetching | TaskState::Waiting) => true,
            TaskPhase::On(TaskState::Running | TaskState::Saving | TaskState::Exited)
            | TaskPhase::Exited(..)
            | TaskPhase::Gone => false,
        };
        self.reported_by == owner_epoch && !will_change
    }

    /// Records that a `Place` message is being sent to the participant's owner with that epoch.
    pub fn record_sent(&mut self, owner_epoch: Epoch, now: Timestamp) {
        self.sent_at = now;
        self.sent_to = owner_epoch;
        self.awaits_report = true;
    }

    /// Records a report of the attempt by the participant's owner with that epoch. An owner answers each
    /// `Place` message with a report and also reports each new phase. It repeats a report that tells
    /// nothing new for as long as it has received no `Place` message, which is therefore due again.
    fn record_report(&mut self, owner_epoch: Epoch, phase: TaskPhase) {
        let is_repeated =
            self.reported_by == owner_epoch && self.phase == phase && !self.awaits_report;
        self.reported_by = if is_repeated { Epoch(0) } else { owner_epoch };
        self.awaits_report = false;
    }

    /// Requests that the task stops. If it is to stop already, its grace period does not change.
    fn stop_unless_stopping(&mut self, grace_s: f64) {
        self.stop.get_or_insert(PendingStop::new(grace_s));
    }
}

/// The placements of a job, by task.
///
/// Invariant: `in_zone` and `running` are the sums over `by_task`. Only this module changes the zone
/// or the phase of a placement. The sums are maintained because computing them at every user request
/// and twice in each round took time in proportion to the size of the job.
#[derive(Clone, Debug, Default)]
pub struct Placements {
    by_task: BTreeMap<u32, Placement>,
    /// Number of placements by zone number, up to the highest zone that ever had one.
    in_zone: Vec<u32>,
    /// Number of tasks that users see as running.
    running: u32,
}

impl Placements {
    /// Returns how many tasks are, or may be, on machines.
    pub fn len(&self) -> u32 {
        self.by_task.len() as u32
    }

    /// Returns whether there are no placements.
    pub fn is_empty(&self) -> bool {
        self.by_task.is_empty()
    }

    /// Returns the placement of a task; `None` if it has none.
    pub fn get(&self, task: u32) -> Option<&Placement> {
        self.by_task.get(&task)
    }

    /// Returns all placements, ordered by task.
    pub fn values(&self) -> impl Iterator<Item = &Placement> {
        self.by_task.values()
    }

    /// Returns all tasks with their placements, ordered by task, to record what was sent and stopped.
    /// Zone and phase must not be changed through this: see [`Placements::record_report`].
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut Placement)> {
        self.by_task.iter_mut().map(|(task, placement)| (*task, placement))
    }

    /// Returns all tasks with their placements, ordered by task.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &Placement)> {
        self.by_task.iter().map(|(task, placement)| (*task, placement))
    }

    /// Requests that a task stops. If it is to stop already, its grace period does not change.
    pub fn stop(&mut self, task: u32, grace_s: f64) {
        if let Some(placement) = self.by_task.get_mut(&task) {
            placement.stop_unless_stopping(grace_s);
        }
    }

    /// Requests that all tasks stop. Tasks that are to stop already keep their grace period.
    pub fn stop_all(&mut self, grace_s: f64) {
        for placement in self.by_task.values_mut() {
            placement.stop_unless_stopping(grace_s);
        }
    }

    /// Requests that all tasks stop without a grace period, also those that were granted one.
    pub fn kill_all(&mut self) {
        for placement in self.by_task.values_mut() {
            placement.stop = Some(PendingStop::new(0.0));
        }
    }

    /// Returns how many tasks are to stop.
    pub fn stopping_count(&self) -> usize {
        self.values().filter(|placement| placement.stop.is_some()).count()
    }

    /// Adds the placement of a task, and returns the placement that it replaces.
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

    /// Records the phase of a task as the participant's owner with that epoch has reported it. Does
    /// nothing if the task is not placed.
    pub fn record_report(&mut self, task: u32, owner_epoch: Epoch, phase: TaskPhase) {
        let Some(placement) = self.by_task.get_mut(&task) else { return };
        placement.record_report(owner_epoch, phase);
        self.running -= u32::from(placement.is_running());
        placement.phase = phase;
        placement.adopted &= phase == TaskPhase::Decided;
        self.running += u32::from(placement.is_running());
    }

    /// Returns how many tasks are, or may be, in a zone.
    pub fn in_zone(&self, zone: usize) -> u32 {
        self.in_zone.get(zone).copied().unwrap_or(0)
    }

    /// Returns how many tasks users see as running.
    pub fn running_count(&self) -> u32 {
        debug_assert!(self.sums_hold());
        self.running
    }

    /// Returns whether the invariant of this type holds.
    fn sums_hold(&self) -> bool {
        let running = self.values().filter(|placement| placement.is_running()).count();
        let zone = |zone| self.values().filter(|p| p.zone.0 as usize == zone).count();
        self.running as usize == running
            && (0..self.in_zone.len()).all(|z| self.in_zone[z] as usize == zone(z))
    }
}
