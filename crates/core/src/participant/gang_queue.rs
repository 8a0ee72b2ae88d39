//! The queue of gangs of several tasks that wait for capacity, each in one zone. Gangs are served in
//! order, so that they do not deadlock with each holding a part of the capacity that another needs.
//!
//! Invariant: after `refresh`, `by_group` holds for each group the rank of the first gang in the queue
//! for its machines and what the queued gangs need there. A later change of the queue sets `is_stale`.
use super::capacity_index::MachineGroup;
use super::eligibility::EligibilityTable;
use super::queue_rank::QueueRank;
use crate::ids::{JobId, Timestamp, ZoneIdx};
use crate::names::Resources;
use leaddeal_wire::mesh::Shape as WireShape;
use leaddeal_wire::user::Priority;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Time in ms after which a waiting gang that has not sent another request is removed from the queue.
const QUEUE_TIMEOUT_MS: u64 = 5000;

/// A gang in the queue.
#[derive(Clone, Debug)]
pub(super) struct WaitingGang {
    /// Rank in the queue; it contains the job.
    pub rank: QueueRank,
    /// Zone in which the gang waits for capacity.
    pub zone: ZoneIdx,
    /// Number of tasks that the gang requests.
    pub tasks: u32,
    /// Priority and resources of each task.
    pub shape: Arc<WireShape>,
    /// Types of machines that the gang may use.
    pub eligibility: EligibilityTable,
}

impl WaitingGang {
    fn can_use(&self, group: MachineGroup) -> bool {
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
    /// Highest priority among the gangs with this need.
    priority: Priority,
    need: Resources,
}

/// A summary of the queue for the machines of one group.
#[derive(Debug, Default)]
struct GroupQueue {
    /// Rank of the gang that is served first; `None` if no gang waits for these machines.
    first_rank: Option<QueueRank>,
    /// Different needs of the waiting gangs, each once.
    needs: Vec<GangNeed>,
}

impl GroupQueue {
    fn add(&mut self, gang: &WaitingGang) {
        let first_rank = self.first_rank.map_or(gang.rank, |first| first.min(gang.rank));
        self.first_rank = Some(first_rank);
        let (priority, need) = (gang.shape.priority, Resources::of(&gang.shape));
        match self.needs.iter_mut().find(|known| known.need == need) {
            Some(known) => known.priority = known.priority.max(priority),
            None => self.needs.push(GangNeed { priority, need }),
        }
    }
}

/// The waiting gangs, and a summary by machine group. Without the summary, each evaluation of a machine
/// searches the whole queue, which grows with the fleet as the number of machines does.
#[derive(Debug, Default)]
pub(super) struct GangQueue {
    waiting: BTreeMap<JobId, QueueEntry>,
    by_group: BTreeMap<MachineGroup, GroupQueue>,
    is_stale: bool,
}

impl GangQueue {
    /// Returns whether no gang waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting gangs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the rank of a job's gang; `None` if it is not in the queue.
    pub fn rank(&self, job: JobId) -> Option<QueueRank> {
        self.waiting.get(&job).map(|entry| entry.gang.rank)
    }

    /// Adds a gang to the queue, or renews its entry.
    pub fn enter(&mut self, gang: WaitingGang, now: Timestamp) {
        let expires_at = now + QUEUE_TIMEOUT_MS;
        self.waiting.insert(gang.rank.job, QueueEntry { gang, expires_at });
        self.is_stale = true;
    }

    /// Removes a job's gang from the queue.
    pub fn remove(&mut self, job: JobId) {
        self.is_stale |= self.waiting.remove(&job).is_some();
    }

    /// Removes the gangs whose entries have expired, and brings the summary of each group up to date.
    pub fn refresh(&mut self, now: Timestamp, groups: impl Iterator<Item = MachineGroup>) {
        let before = self.waiting.len();
        self.waiting.retain(|_, entry| entry.expires_at > now);
        self.is_stale |= self.waiting.len() != before;
        let groups: Vec<MachineGroup> = groups.collect();
        if !self.is_stale && groups.len() == self.by_group.len() {
            return;
        }
        self.is_stale = false;
        self.by_group.clear();
        for group in groups {
            let mut queue = GroupQueue::default();
            let gangs = self.waiting.values().map(|entry| &entry.gang);
            for gang in gangs.filter(|gang| gang.can_use(group)) {
                queue.add(gang);
            }
            self.by_group.insert(group, queue);
        }
    }

    /// Returns whether a gang that is served before this rank may use machines of the group and waits
    /// for their zone. Gangs behind it get none of them: when several gangs each hold some machines
    /// and wait for the rest, none can start.
    pub fn has_gang_ahead(&self, rank: QueueRank, group: MachineGroup) -> bool {
        let first = self.by_group.get(&group).and_then(|queue| queue.first_rank);
        first.is_some_and(|first| first < rank)
    }

    /// Returns what a task of each waiting gang of at least this priority needs, for the gangs that can
    /// use machines of the group.
    pub fn needs(
        &self,
        group: MachineGroup,
        min_priority: Priority,
    ) -> impl Iterator<Item = Resources> + '_ {
        let needs = self.by_group.get(&group).into_iter().flat_map(|queue| &queue.needs);
        needs.filter(move |known| known.priority >= min_priority).map(|known| known.need)
    }

    /// Returns the number of tasks of waiting gangs of at least this priority, by zone.
    pub fn tasks_by_zone(&self, min_priority: Priority) -> BTreeMap<ZoneIdx, u32> {
        let mut by_zone = BTreeMap::new();
        let gangs = self.waiting.values().map(|entry| &entry.gang);
        for gang in gangs.filter(|gang| gang.shape.priority >= min_priority) {
            *by_zone.entry(gang.zone).or_default() += gang.tasks;
        }
        by_zone
    }
}
