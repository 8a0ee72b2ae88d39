//! Zones of a job: how many of its tasks each zone may run, and the zone in which a gang waits.
use super::Job;
use crate::guards::{is_enforced, Guard};
use crate::ids::ZoneIdx;

/// A gang that is offered nothing in any zone waits for another zone after this many failed
/// retries.
const FAILED_RETRIES_PER_ZONE: u32 = 16;

impl Job {
    /// Whether several tasks of the job need capacity in the same zone.
    fn needs_one_zone(&self) -> bool {
        self.spec.one_zone && self.pending() > 1
    }

    /// Chooses the zone in which a gang waits. By zone, `offered` is the number of tasks that
    /// capacity was offered for, and `max_per_zone` the number of tasks that the zone may run. The
    /// zone stays the same while it offers something, so that the reservations in it are not
    /// wasted.
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
            // No zone offers anything: the zones take turns, but not at every failed retry.
            (None, Some(zone))
                if !self.backoff.failed_retries.is_multiple_of(FAILED_RETRIES_PER_ZONE) =>
            {
                Some(zone)
            }
            _ => self.next_zone(max_per_zone),
        };
        self.target_zone = next.map(|zone| ZoneIdx(zone as u8));
    }

    /// Returns the zone whose turn it is, of the zones that may run tasks. Jobs begin with
    /// different zones.
    fn next_zone(&self, max_per_zone: &[u32]) -> Option<usize> {
        let open: Vec<usize> =
            (0..max_per_zone.len()).filter(|&zone| max_per_zone[zone] > 0).collect();
        if open.is_empty() {
            return None;
        }
        let turn = (self.backoff.failed_retries / FAILED_RETRIES_PER_ZONE) as usize;
        Some(open[(self.id.0 as usize + turn) % open.len()])
    }

    /// Returns how many more tasks of the job each zone may run, given the tasks that may still be
    /// in a zone.
    pub fn max_per_zone(&self, zones: &[String]) -> Vec<u32> {
        let zones_used = (0..zones.len()).filter(|&zone| self.placed.in_zone(zone) > 0).count();
        let indexed = zones.iter().enumerate();
        indexed.map(|(zone, name)| self.max_in_zone(zone, name, zones_used)).collect()
    }

    fn max_in_zone(&self, zone: usize, name: &str, zones_used: usize) -> u32 {
        let used = if is_enforced(Guard::PossibleTasksCountedInZone) {
            self.placed.in_zone(zone)
        } else {
            0
        };
        if self.spec.zone.as_ref().is_some_and(|wanted| wanted != name) {
            return 0;
        }
        // After a failover a task may be counted in the zone of an older attempt, apart from the
        // other tasks. Until that attempt is proven gone, neither zone gets more tasks. Without
        // this, both zones got more tasks (seen in the simulator).
        let in_several = zones_used > 1 && is_enforced(Guard::NoTasksWhileInTwoZones);
        let in_another = zones_used == 1 && used == 0;
        if self.spec.one_zone && (in_several || in_another) {
            return 0;
        }
        if self.spec.spread {
            return self.spec.tasks.div_ceil(2).saturating_sub(used);
        }
        self.spec.tasks
    }
}
