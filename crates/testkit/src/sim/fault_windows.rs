//! Faults that last for a while. Of each kind several may overlap.
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::BTreeMap;

/// A fault that lasts until then.
struct FaultWindow {
    /// A share in hundredths, a delay in milliseconds, or 1, as the kind of fault has it.
    strength: u64,
    until: u64,
}

/// The windows of one kind of fault.
#[derive(Default)]
pub(super) struct FaultWindows(Vec<FaultWindow>);

impl FaultWindows {
    /// Adds a window that lasts until then.
    pub(super) fn add(&mut self, strength: u64, until: u64) {
        self.0.push(FaultWindow { strength, until });
    }

    /// The strength of the strongest window that lasts, if there is any.
    pub(super) fn strongest(&mut self, now: u64) -> Option<u64> {
        self.0.retain(|window| now < window.until);
        self.0.iter().map(|window| window.strength).max()
    }

    /// Draws whether a message is affected, where the strength is a share in hundredths.
    pub(super) fn draw(&mut self, now: u64, rng: &mut SmallRng) -> bool {
        self.strongest(now).is_some_and(|percent| draw_percent(percent as u32, rng))
    }
}

/// Draws with a chance in hundredths; above 100 counts as 100.
pub(super) fn draw_percent(percent: u32, rng: &mut SmallRng) -> bool {
    rng.random_ratio(percent.min(100), 100)
}

/// All faults that last for a while, other than the partitions of single controllers and machines.
#[derive(Default)]
pub(super) struct ActiveWindows {
    /// Percent of the calls that the state service refuses.
    pub(super) flaky_store: FaultWindows,
    /// The state service ends watches.
    pub(super) no_watches: FaultWindows,
    /// Percent of the transactions that get no answer and are carried out late.
    pub(super) late_writes: FaultWindows,
    /// Percent of the transactions that get no answer and are carried out at once.
    pub(super) lost_store_answers: FaultWindows,
    /// Percent of the heartbeats of which a copy arrives again.
    pub(super) late_heartbeat_copies: FaultWindows,
    /// Milliseconds by which commands are delayed.
    pub(super) delayed_commands: FaultWindows,
    /// Milliseconds by which answers of the state service are delayed.
    pub(super) slow_store: FaultWindows,
    /// New instances are up soon.
    pub(super) fast_boots: FaultWindows,
    /// Until when pairs of controllers are partitioned from each other.
    partitioned_pairs: BTreeMap<(usize, usize), u64>,
    partitioned_zones: Vec<ZonePartition>,
}

/// A zone that is partitioned from the others, with a controller inside or none.
struct ZonePartition {
    zone: &'static str,
    node: Option<usize>,
    until: u64,
}

impl ActiveWindows {
    /// Partitions two controllers from each other until then.
    pub(super) fn partition_pair(&mut self, (one, other): (usize, usize), until: u64) {
        let pair = (one.min(other), one.max(other));
        extend(self.partitioned_pairs.entry(pair).or_default(), until);
    }

    /// Whether two controllers are partitioned from each other.
    pub(super) fn is_pair_partitioned(&self, one: usize, other: usize, now: u64) -> bool {
        let pair = (one.min(other), one.max(other));
        self.partitioned_pairs.get(&pair).is_some_and(|&until| now < until)
    }

    /// Partitions a zone, with a controller inside or none, until then.
    pub(super) fn partition_zone(&mut self, zone: &'static str, node: Option<usize>, until: u64) {
        self.partitioned_zones.push(ZonePartition { zone, node, until });
    }

    /// For how many milliseconds what goes between a zone's machines and a controller is held back.
    pub(super) fn zone_partition_ms(&self, zone: &str, node: usize, now: u64) -> u64 {
        let separates = |p: &&ZonePartition| (p.zone == zone) != (p.node == Some(node));
        let partitions = self.partitioned_zones.iter().filter(separates);
        partitions.map(|p| p.until.saturating_sub(now)).max().unwrap_or(0)
    }
}

/// Extends a fault until `other`; one that lasts longer already ends no sooner for it.
pub(super) fn extend(until: &mut u64, other: u64) {
    *until = other.max(*until);
}
