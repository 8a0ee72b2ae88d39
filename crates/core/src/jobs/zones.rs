//! Zones of a job: how many tasks each may take, and the one that a gang waits for.
use super::Job;
use crate::guards::{holds, Guard};
use crate::ids::ZoneIdx;

/// A gang for which no zone has anything waits for another zone after this many failed tries.
const FAILED_TRIES_PER_ZONE: u32 = 16;

impl Job {
    /// Several of its tasks need capacity in the same zone.
    fn needs_one_zone(&self) -> bool {
        self.wire.one_zone && self.pending() > 1
    }

    /// Chooses the zone that a gang waits for, from how many of its tasks each zone offered capacity
    /// for and may take. It stays where it is offered something, so that what is reserved for it
    /// there is not reserved in vain.
    pub fn choose_target_zone(&mut self, offered: &[u32], max_per_zone: &[u32]) {
        if !self.needs_one_zone() {
            self.target_zone = None;
            return;
        }
        let usable = |zone: usize| offered[zone].min(max_per_zone[zone]);
        let current = self
            .target_zone
            .map(|zone| zone.0 as usize)
            .filter(|&zone| zone < offered.len() && max_per_zone[zone] > 0);
        if current.is_some_and(|zone| usable(zone) > 0) {
            return;
        }
        let best = (0..offered.len()).max_by_key(|&zone| usable(zone));
        let next = match (best.filter(|&zone| usable(zone) > 0), current) {
            (Some(zone), _) => Some(zone),
            // Nothing anywhere: the zones in turn, but not at every failed try.
            (None, Some(zone))
                if !self.backoff.failed_tries.is_multiple_of(FAILED_TRIES_PER_ZONE) =>
            {
                Some(zone)
            }
            _ => self.zone_in_turn(max_per_zone),
        };
        self.target_zone = next.map(|zone| ZoneIdx(zone as u8));
    }

    /// The zone whose turn it is of those that may take tasks. Jobs begin with different ones.
    fn zone_in_turn(&self, max_per_zone: &[u32]) -> Option<usize> {
        let open: Vec<usize> =
            (0..max_per_zone.len()).filter(|&zone| max_per_zone[zone] > 0).collect();
        if open.is_empty() {
            return None;
        }
        let turn = (self.backoff.failed_tries / FAILED_TRIES_PER_ZONE) as usize;
        Some(open[(self.id.0 as usize + turn) % open.len()])
    }

    /// How many more tasks each zone may take, given those that may still be in one.
    pub fn max_per_zone(&self, zones: &[String]) -> Vec<u32> {
        let zones_used = (0..zones.len()).filter(|&zone| self.placed.in_zone(zone) > 0).count();
        let rooms = zones.iter().enumerate();
        rooms.map(|(zone, name)| self.room_in_zone(zone, name, zones_used)).collect()
    }

    fn room_in_zone(&self, zone: usize, name: &str, zones_used: usize) -> u32 {
        let used = if holds(Guard::ZoneCounted) { self.placed.in_zone(zone) } else { 0 };
        if self.wire.zone.as_ref().is_some_and(|wanted| wanted != name) {
            return 0;
        }
        // After a failover a task may be counted where an older attempt of it was, in another zone
        // than the rest; until that one is proven gone, no zone is the job's. (Found by the
        // simulator: both zones were given more tasks.)
        let in_several = zones_used > 1 && holds(Guard::OneZone);
        let in_another = zones_used == 1 && used == 0;
        if self.wire.one_zone && (in_several || in_another) {
            return 0;
        }
        if self.wire.spread {
            return self.wire.tasks.div_ceil(2).saturating_sub(used);
        }
        self.wire.tasks
    }
}
