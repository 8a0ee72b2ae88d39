//! Notices to coordinators that capacity was freed.
//!
//! A coordinator that was offered less than it asked for need not poll: it is notified when capacity
//! is freed. With polling, requests took most of the processing time while a fleet was booting.
//! Coordinators with a shortage at the highest priority are notified first: when all were notified at
//! once, arrays filled new machines before capacity was requested for replicas that had waited longer.
use super::Participant;
use crate::context::Context;
use crate::ids::{Shard, Timestamp};
use leaddeal_wire::mesh::ShardMessage;
use leaddeal_wire::user::Priority;

/// Minimum time in ms between two notices to the same coordinator.
const NOTICE_INTERVAL_MS: u64 = 800;
/// Time in ms by which coordinators with a shortage at the highest priority are notified before the
/// other coordinators.
const TOP_PRIORITY_HEAD_START_MS: u64 = 300;

/// The shortage of one coordinator.
#[derive(Clone, Copy, Debug, Default)]
struct Shortage {
    /// Highest priority of a request that got less than it asked for since the last notice; `None` if
    /// all got enough.
    priority: Option<Priority>,
    /// When the coordinator was last notified; 0 if never.
    notified_at: Timestamp,
}

/// Which coordinators are short of capacity, and whether capacity was freed.
#[derive(Debug)]
pub(super) struct CapacityNotices {
    /// Indexed by the coordinator's shard.
    shortages: Vec<Shortage>,
    /// Whether capacity was freed of which not all coordinators with a shortage were notified yet.
    has_freed_capacity: bool,
    /// When the coordinators with a shortage at the highest priority were notified; `None` unless the
    /// others are still to be notified.
    top_notified_at: Option<Timestamp>,
}

impl CapacityNotices {
    /// Creates the state for `shards` coordinators, none of which is short of capacity.
    pub fn new(shards: usize) -> CapacityNotices {
        CapacityNotices {
            shortages: vec![Shortage::default(); shards],
            has_freed_capacity: false,
            top_notified_at: None,
        }
    }

    /// Records that a request of this priority was offered less than it asked for.
    pub fn note_shortage(&mut self, coordinator: Shard, priority: Priority) {
        if let Some(shortage) = self.shortages.get_mut(coordinator.0 as usize) {
            shortage.priority = shortage.priority.max(Some(priority));
        }
    }

    /// Records that capacity was freed.
    pub fn note_freed(&mut self) {
        self.has_freed_capacity = true;
    }

    /// Returns the coordinators to notify now, each with the priority of its shortage, and marks them as
    /// notified.
    fn take_due(&mut self, now: Timestamp) -> Vec<(Shard, Priority)> {
        let mut due = Vec::new();
        if !self.has_freed_capacity {
            return due;
        }
        // The only priority to notify in this step; `None`: all priorities.
        let only_priority = match self.top_notified_at {
            Some(at) if now < at + TOP_PRIORITY_HEAD_START_MS => return due,
            Some(_) => None,
            None => self.shortages.iter().filter_map(|shortage| shortage.priority).max(),
        };
        for (shard, shortage) in self.shortages.iter_mut().enumerate() {
            let Some(priority) = shortage.priority else { continue };
            let is_chosen = only_priority.is_none_or(|top| priority == top);
            if is_chosen && now >= shortage.notified_at + NOTICE_INTERVAL_MS {
                *shortage = Shortage { priority: None, notified_at: now };
                due.push((Shard(shard as u8), priority));
            }
        }
        self.top_notified_at = only_priority.map(|_| now);
        self.has_freed_capacity = only_priority.is_some();
        due
    }
}

impl Participant {
    /// Notifies the coordinators that are short of capacity, if capacity was freed.
    pub(super) fn send_capacity_notices(&mut self, ctx: &mut Context) {
        for (coordinator, priority) in self.capacity_notices.take_due(ctx.now) {
            ctx.send(self.shard, coordinator, ShardMessage::CapacityFreed { priority });
        }
    }
}
