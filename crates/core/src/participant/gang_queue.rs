//! Gangs of several tasks that wait for capacity, each in one zone: they are served in order, so
//! that none holds some of what it needs while another holds the rest.
//!
//! Invariant: after `refresh`, `by_group` says of each group which gang is first in the queue for
//! its machines and what the queued gangs need there; a change of the queue in between makes it
//! stale.
use super::capacity_index::MachineGroup;
use super::eligibility::EligibilityTable;
use super::queue_rank::QueueRank;
use crate::ids::{JobId, Timestamp, ZoneIdx};
use crate::names::Resources;
use leaddeal_wire::mesh::Shape as WireShape;
use leaddeal_wire::user::Priority;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A waiting gang that has not asked again for this long loses its place in the queue.
const QUEUE_TIMEOUT_MS: u64 = 5000;

/// A gang that waits.
#[derive(Clone, Debug)]
pub(super) struct WaitingGang {
    /// Its rank, which names the job too.
    pub rank: QueueRank,
    /// The zone that it waits for.
    pub zone: ZoneIdx,
    /// How many tasks it waits with.
    pub tasks: u32,
    /// What a task of it takes.
    pub shape: Arc<WireShape>,
    /// Which machines it may have.
    pub eligibility: EligibilityTable,
}

impl WaitingGang {
    fn could_use(&self, group: MachineGroup) -> bool {
        self.zone == group.zone && self.eligibility.allows(group)
    }
}

#[derive(Clone, Debug)]
struct QueueEntry {
    gang: WaitingGang,
    expires_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct GangNeed {
    /// The highest priority of the gangs that need it.
    priority: Priority,
    need: Resources,
}

/// The queue for the machines of a group.
#[derive(Debug, Default)]
struct GroupQueue {
    first: Option<QueueRank>,
    /// Each need once.
    needs: Vec<GangNeed>,
}

impl GroupQueue {
    fn add(&mut self, gang: &WaitingGang) {
        let first = self.first.map_or(gang.rank, |first| first.min(gang.rank));
        self.first = Some(first);
        let (priority, need) = (gang.shape.priority, Resources::of(&gang.shape));
        match self.needs.iter_mut().find(|known| known.need == need) {
            Some(known) => known.priority = known.priority.max(priority),
            None => self.needs.push(GangNeed { priority, need }),
        }
    }
}

/// The queue. (Found by a profile at three times a fleet: every look at a machine went through the
/// whole queue, which grows with the fleet as well.)
#[derive(Debug, Default)]
pub(super) struct GangQueue {
    waiting: BTreeMap<JobId, QueueEntry>,
    by_group: BTreeMap<MachineGroup, GroupQueue>,
    stale: bool,
}

impl GangQueue {
    /// Whether no gang waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many gangs wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// The rank of a gang that waits.
    pub fn rank(&self, job: JobId) -> Option<QueueRank> {
        self.waiting.get(&job).map(|entry| entry.gang.rank)
    }

    /// The gang waits from now on, or still.
    pub fn enter(&mut self, gang: WaitingGang, now: Timestamp) {
        let expires_at = now + QUEUE_TIMEOUT_MS;
        self.waiting.insert(gang.rank.job, QueueEntry { gang, expires_at });
        self.stale = true;
    }

    /// The gang does not wait any more.
    pub fn remove(&mut self, job: JobId) {
        self.stale |= self.waiting.remove(&job).is_some();
    }

    /// Drops the gangs that have not asked again, and sums the queue up by group.
    pub fn refresh(&mut self, now: Timestamp, groups: impl Iterator<Item = MachineGroup>) {
        let before = self.waiting.len();
        self.waiting.retain(|_, entry| entry.expires_at > now);
        self.stale |= self.waiting.len() != before;
        let groups: Vec<MachineGroup> = groups.collect();
        if !self.stale && groups.len() == self.by_group.len() {
            return;
        }
        self.stale = false;
        self.by_group.clear();
        for group in groups {
            let mut queue = GroupQueue::default();
            let gangs = self.waiting.values().map(|entry| &entry.gang);
            for gang in gangs.filter(|gang| gang.could_use(group)) {
                queue.add(gang);
            }
            self.by_group.insert(group, queue);
        }
    }

    /// Whether a gang that is to be served before this rank may use machines of the group and waits
    /// for their zone. (When gangs each held some machines, waiting for the rest, all stood still.)
    pub fn is_behind(&self, rank: QueueRank, group: MachineGroup) -> bool {
        let first = self.by_group.get(&group).and_then(|queue| queue.first);
        first.is_some_and(|first| first < rank)
    }

    /// What gangs of at least this priority need of a machine of the group.
    pub fn needs(
        &self,
        group: MachineGroup,
        min_priority: Priority,
    ) -> impl Iterator<Item = Resources> + '_ {
        let needs = self.by_group.get(&group).into_iter().flat_map(|queue| &queue.needs);
        needs.filter(move |known| known.priority >= min_priority).map(|known| known.need)
    }

    /// Tasks of gangs of at least this priority, by the zone that they wait for.
    pub fn tasks_by_zone(&self, min_priority: Priority) -> BTreeMap<ZoneIdx, u32> {
        let mut by_zone = BTreeMap::new();
        let gangs = self.waiting.values().map(|entry| &entry.gang);
        for gang in gangs.filter(|gang| gang.shape.priority >= min_priority) {
            *by_zone.entry(gang.zone).or_default() += gang.tasks;
        }
        by_zone
    }
}
