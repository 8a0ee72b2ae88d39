//! Notices to coordinators that capacity became free.
//!
//! A coordinator that was offered too little need not ask again and again: it is notified when there
//! is something to ask for. (Found by counting: with a fleet that was booting, requests took most of
//! the time.) The coordinators with the most important shortage are notified first: when all were
//! notified at once, arrays filled new machines before replicas that had waited longer were asked for.
use super::Participant;
use crate::context::Context;
use crate::ids::{Shard, Timestamp};
use leaddeal_wire::mesh::ShardMessage;
use leaddeal_wire::user::Priority;

/// A coordinator is notified at most this often.
const NOTICE_INTERVAL_MS: u64 = 800;
/// How much earlier than the others those with the most important shortage are notified.
const TOP_PRIORITY_HEAD_START_MS: u64 = 300;

/// A coordinator's shortage.
#[derive(Clone, Copy, Debug, Default)]
struct Shortage {
    /// The highest priority for which it was offered less than it asked for since it was notified.
    priority: Option<Priority>,
    notified_at: Timestamp,
}

/// Who is short of capacity, and whether some became free.
#[derive(Debug)]
pub(super) struct CapacityNotices {
    /// By coordinator's shard.
    shortages: Vec<Shortage>,
    /// Capacity became free that not all who are short of it were notified of.
    freed: bool,
    /// When those with the most important shortage were notified; the others follow.
    top_notified_at: Option<Timestamp>,
}

impl CapacityNotices {
    /// No one of that many shards is short of anything.
    pub fn new(shards: usize) -> CapacityNotices {
        CapacityNotices {
            shortages: vec![Shortage::default(); shards],
            freed: false,
            top_notified_at: None,
        }
    }

    /// A coordinator was offered less than it asked for.
    pub fn note_shortage(&mut self, coordinator: Shard, priority: Priority) {
        if let Some(shortage) = self.shortages.get_mut(coordinator.0 as usize) {
            shortage.priority = shortage.priority.max(Some(priority));
        }
    }

    /// Capacity became free.
    pub fn note_freed(&mut self) {
        self.freed = true;
    }

    /// The coordinators to notify now, and of which priority. They count as notified.
    fn take_due(&mut self, now: Timestamp) -> Vec<(Shard, Priority)> {
        let mut due = Vec::new();
        if !self.freed {
            return due;
        }
        // None: whatever their priority.
        let only = match self.top_notified_at {
            Some(at) if now < at + TOP_PRIORITY_HEAD_START_MS => return due,
            Some(_) => None,
            None => self.shortages.iter().filter_map(|shortage| shortage.priority).max(),
        };
        for (shard, shortage) in self.shortages.iter_mut().enumerate() {
            let Some(priority) = shortage.priority else { continue };
            let chosen = only.is_none_or(|top| priority == top);
            if chosen && now >= shortage.notified_at + NOTICE_INTERVAL_MS {
                *shortage = Shortage { priority: None, notified_at: now };
                due.push((Shard(shard as u8), priority));
            }
        }
        self.top_notified_at = only.map(|_| now);
        self.freed = only.is_some();
        due
    }
}

impl Participant {
    /// Notifies the coordinators that are short of capacity, if some became free.
    pub(super) fn send_capacity_notices(&mut self, ctx: &mut Context) {
        for (coordinator, priority) in self.capacity_notices.take_due(ctx.now) {
            ctx.send(self.shard, coordinator, ShardMessage::CapacityFreed { priority });
        }
    }
}
