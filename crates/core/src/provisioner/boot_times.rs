//! How long machines take to boot, by type and zone: learned from those that did.
//!
//! Two limits are kept apart. Until [`BootTimes::expected_ms`] a booting machine counts as capacity
//! to come; after that the capacity is requested again, elsewhere if there is a choice, though the
//! machine is not given up. Only after [`BootTimes::give_up_ms`] is it released: where boots have
//! become slow, its replacement would take as long.
//!
//! Invariants: a machine that is given up did not count as capacity any more; none is given up sooner
//! than after three times the catalog's boot time, or twice the longest recent boot, whichever is
//! longer.
//!
//! (From the operators' letter: new machines came up late or never. A machine that never came up was
//! counted as capacity for three times its boot time, and what waited for it was requested nowhere
//! else.)
use crate::ids::Timestamp;
use std::collections::{BTreeMap, VecDeque};

/// Boots remembered of each type and zone.
const MAX_BOOTS_REMEMBERED: usize = 12;
/// For how long a boot is remembered.
const BOOT_KEEP_MS: u64 = 600_000;
/// Overdue machines at the same time by which boots of a type count as failing in a zone.
const OVERDUE_TO_COUNT_AS_FAILING: usize = 2;
/// Beyond the multiple of the catalog's boot time, by which a boot is expected.
const EXPECTED_MARGIN_MS: u64 = 2000;
/// Beyond the multiple of the catalog's boot time, after which a boot is given up.
const GIVE_UP_MARGIN_MS: u64 = 10_000;

/// What boot times are kept by. The order of the fields is the order of iteration.
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
    /// Number of machines whose boot is overdue.
    overdue: BTreeMap<BootLocation, usize>,
}

impl BootTimes {
    /// Records a machine that came up.
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

    /// For how many milliseconds a booting machine counts as capacity to come. `catalog_ms`: the boot
    /// time that the catalog states.
    pub(super) fn expected_ms(&self, location: &BootLocation, catalog_ms: u64) -> u64 {
        (catalog_ms * 8 / 5 + EXPECTED_MARGIN_MS).max(self.longest_ms(location) * 5 / 4)
    }

    /// After how many milliseconds a booting machine is released. `catalog_ms`: the boot time that
    /// the catalog states.
    pub(super) fn give_up_ms(&self, location: &BootLocation, catalog_ms: u64) -> u64 {
        (catalog_ms * 3 + GIVE_UP_MARGIN_MS).max(self.longest_ms(location) * 2)
    }

    /// Sets the machines that do not count as capacity any more, by where they boot.
    pub(super) fn set_overdue(&mut self, overdue: impl Iterator<Item = BootLocation>) {
        self.overdue.clear();
        for location in overdue {
            *self.overdue.entry(location).or_default() += 1;
        }
    }

    /// Whether several boots are overdue there now. It counts as any other place again once they
    /// came up or were released.
    pub(super) fn is_failing(&self, location: &BootLocation) -> bool {
        self.overdue.get(location).is_some_and(|count| *count >= OVERDUE_TO_COUNT_AS_FAILING)
    }
}

#[cfg(test)]
mod tests;
