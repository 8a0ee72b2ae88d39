//! How long machines take to boot, by type and zone, learned from recent boots.
//!
//! There are two separate limits. Until [`BootTimes::expected_ms`] a booting machine counts as
//! expected capacity. After that its capacity is requested again, elsewhere if there is a choice, but
//! the machine may still come up. Only after [`BootTimes::give_up_ms`] is it released: where boots
//! have become slow, a replacement would take just as long.
//!
//! Invariants: a machine that is given up has stopped counting as expected capacity before. No
//! machine is given up sooner than after three times the catalog's boot time, or twice the longest
//! recent boot, whichever is longer.
//!
//! With a single limit, a machine that never came up counted as capacity for three times its boot
//! time, and the tasks that waited for it got no instances elsewhere.
use crate::ids::Timestamp;
use std::collections::{BTreeMap, VecDeque};

/// Number of boots that are remembered for each type and zone.
const MAX_BOOTS_REMEMBERED: usize = 12;
/// For how long a boot is remembered.
const BOOT_KEEP_MS: u64 = 600_000;
/// With this many machines overdue at the same time, boots of a type count as failing in a zone.
const OVERDUE_TO_COUNT_AS_FAILING: usize = 2;
/// Time added to a multiple of the catalog's boot time, by which a boot is expected to end.
const EXPECTED_MARGIN_MS: u64 = 2000;
/// Time added to a multiple of the catalog's boot time, after which a boot is given up.
const GIVE_UP_MARGIN_MS: u64 = 10_000;

/// Machine type and zone that boot times are grouped by. The order of the fields determines the
/// order of iteration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct BootLocation {
    pub(super) type_name: String,
    pub(super) zone: String,
}

#[derive(Clone, Copy, Debug)]
struct Boot {
    ended_at: Timestamp,
    took_ms: u64,
}

/// Recent boot times, and where boots fail at present.
#[derive(Debug, Default)]
pub(super) struct BootTimes {
    recent: BTreeMap<BootLocation, VecDeque<Boot>>,
    /// Number of machines whose boot is overdue; entries are at least 1.
    overdue: BTreeMap<BootLocation, usize>,
}

impl BootTimes {
    /// Records a boot that took `took_ms` milliseconds and ended at `now`.
    pub(super) fn on_boot(&mut self, location: &BootLocation, now: Timestamp, took_ms: u64) {
        let recent = self.recent.entry(location.clone()).or_default();
        recent.retain(|boot| now < boot.ended_at + BOOT_KEEP_MS);
        recent.push_back(Boot { ended_at: now, took_ms });
        if recent.len() > MAX_BOOTS_REMEMBERED {
            recent.pop_front();
        }
    }

    fn longest_ms(&self, location: &BootLocation) -> u64 {
        let recent = self.recent.get(location).into_iter().flatten();
        recent.map(|boot| boot.took_ms).max().unwrap_or(0)
    }

    /// Returns for how many milliseconds a booting machine counts as expected capacity. `catalog_ms`
    /// is the boot time that the catalog states.
    pub(super) fn expected_ms(&self, location: &BootLocation, catalog_ms: u64) -> u64 {
        (catalog_ms * 8 / 5 + EXPECTED_MARGIN_MS).max(self.longest_ms(location) * 5 / 4)
    }

    /// Returns after how many milliseconds a booting machine is given up and released. `catalog_ms`
    /// is the boot time that the catalog states.
    pub(super) fn give_up_ms(&self, location: &BootLocation, catalog_ms: u64) -> u64 {
        (catalog_ms * 3 + GIVE_UP_MARGIN_MS).max(self.longest_ms(location) * 2)
    }

    /// Replaces the overdue boots, with one location for each overdue machine.
    pub(super) fn set_overdue(&mut self, overdue: impl Iterator<Item = BootLocation>) {
        self.overdue.clear();
        for location in overdue {
            *self.overdue.entry(location).or_default() += 1;
        }
    }

    /// Returns whether boots fail at this location: whether several are overdue now. This ends once
    /// the overdue machines came up or were released.
    pub(super) fn is_failing(&self, location: &BootLocation) -> bool {
        self.overdue.get(location).is_some_and(|count| *count >= OVERDUE_TO_COUNT_AS_FAILING)
    }
}

#[cfg(test)]
mod tests;
