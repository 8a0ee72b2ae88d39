//! Gangs of several tasks that wait for room, each in one zone: they are served in order, so that
//! none holds some of what it needs while another holds the rest.
//!
//! Invariant: after `settle`, `heads` says of each group who is first in line for its machines
//! and what those in line need there; what changes the line in between makes it stale.
use super::capacity_index::Group;
use super::offer::{fit, EligibilityTable, Rank};
use crate::ids::{JobId, Timestamp, ZoneIdx};
use crate::names::Resources;
use leaddeal_wire::mesh::Shape as WireShape;
use leaddeal_wire::user::Priority;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A waiting gang that has not asked again for this long has no place in the line any more.
const STANDS_MS: u64 = 5000;

#[derive(Clone, Debug)]
struct Waiting {
    rank: Rank,
    zone: ZoneIdx,
    count: u32,
    shape: Arc<WireShape>,
    fits: EligibilityTable,
    until: Timestamp,
}

impl Waiting {
    fn could_use(&self, (kind, zone, spot): Group) -> bool {
        self.zone == zone && fit(&self.fits, kind, spot).is_some_and(|f| f.allowed)
    }
}

/// The line for the machines of a group.
#[derive(Debug, Default)]
struct Head {
    first: Option<Rank>,
    /// Each need once, with the highest priority that has it.
    needs: Vec<(Priority, Resources)>,
}

/// (Found by a profile at three times a fleet: every look at a machine went through the whole
/// line, which grows with the fleet as well.)
#[derive(Debug, Default)]
pub(super) struct GangQueue {
    waiting: BTreeMap<JobId, Waiting>,
    heads: BTreeMap<Group, Head>,
    stale: bool,
}

impl GangQueue {
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn rank(&self, job: JobId) -> Option<Rank> {
        self.waiting.get(&job).map(|w| w.rank)
    }

    /// Stands in line from now on, or still.
    pub fn stand(
        &mut self,
        now: Timestamp,
        rank: Rank,
        zone: ZoneIdx,
        count: u32,
        shape: &Arc<WireShape>,
        fits: &EligibilityTable,
    ) {
        let (shape, fits, until) = (shape.clone(), fits.clone(), now + STANDS_MS);
        self.waiting.insert(rank.3, Waiting { rank, zone, count, shape, fits, until });
        self.stale = true;
    }

    pub fn leave(&mut self, job: JobId) {
        self.stale |= self.waiting.remove(&job).is_some();
    }

    /// Drops who has not asked again, and sums the line up by group.
    pub fn settle(&mut self, now: Timestamp, groups: impl Iterator<Item = Group>) {
        let before = self.waiting.len();
        self.waiting.retain(|_, w| w.until > now);
        self.stale |= self.waiting.len() != before;
        let groups: Vec<Group> = groups.collect();
        if !self.stale && groups.len() == self.heads.len() {
            return;
        }
        self.stale = false;
        self.heads.clear();
        for g in groups {
            let mut head = Head::default();
            for w in self.waiting.values().filter(|w| w.could_use(g)) {
                head.first = Some(head.first.map_or(w.rank, |f| f.min(w.rank)));
                let need = Resources::of(&w.shape);
                match head.needs.iter_mut().find(|n| n.1 == need) {
                    Some(n) => n.0 = n.0.max(w.shape.priority),
                    None => head.needs.push((w.shape.priority, need)),
                }
            }
            self.heads.insert(g, head);
        }
    }

    /// Whether a gang that is to be served before this one may use such a machine and waits for
    /// its zone. Gangs that each held some machines, waiting for the rest, all stood still.
    pub fn behind(&self, rank: Rank, g: Group) -> bool {
        self.heads.get(&g).and_then(|h| h.first).is_some_and(|first| first < rank)
    }

    /// What gangs of at least this priority need of a machine of the group.
    pub fn needs(&self, g: Group, least: Priority) -> impl Iterator<Item = Resources> + '_ {
        let all = self.heads.get(&g).into_iter().flat_map(|h| &h.needs);
        all.filter(move |n| n.0 >= least).map(|n| n.1)
    }

    /// Tasks of those gangs, by the zone that they wait for.
    pub fn tasks(&self, least: Priority) -> BTreeMap<ZoneIdx, u32> {
        let mut by_zone = BTreeMap::new();
        for w in self.waiting.values().filter(|w| w.shape.priority >= least) {
            *by_zone.entry(w.zone).or_default() += w.count;
        }
        by_zone
    }
}
