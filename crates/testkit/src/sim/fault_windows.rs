//! Faults with a duration. Several windows of the same kind may overlap.
use crate::script::CopiedKind;
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::BTreeMap;

/// A fault that lasts until the time `until`.
struct FaultWindow {
    /// A share in percent, a delay in milliseconds, or 1, depending on the kind of fault.
    strength: u64,
    until: u64,
}

/// The windows of one kind of fault.
#[derive(Default)]
pub(super) struct FaultWindows(Vec<FaultWindow>);

impl FaultWindows {
    /// Adds a window that lasts until the time `until`.
    pub(super) fn add(&mut self, strength: u64, until: u64) {
        self.0.push(FaultWindow { strength, until });
    }

    /// Returns the largest strength of the windows that are still open; `None` if there are none.
    pub(super) fn strongest(&mut self, now: u64) -> Option<u64> {
        self.0.retain(|window| now < window.until);
        self.0.iter().map(|window| window.strength).max()
    }

    /// Draws whether a message is affected, for kinds of faults whose strength is a share in percent.
    pub(super) fn draw(&mut self, now: u64, rng: &mut SmallRng) -> bool {
        self.strongest(now).is_some_and(|percent| draw_percent(percent as u32, rng))
    }
}

/// Returns `true` with a probability of `percent`; values above 100 count as 100.
pub(super) fn draw_percent(percent: u32, rng: &mut SmallRng) -> bool {
    rng.random_ratio(percent.min(100), 100)
}

/// All faults with a duration, except those of single controllers and machines.
#[derive(Default)]
pub(super) struct ActiveWindows {
    /// Percentage of the calls that the store refuses.
    pub(super) flaky_store: FaultWindows,
    /// The store ends all watches.
    pub(super) no_watches: FaultWindows,
    /// Percentage of the messages and requests, by kind, of which a copy arrives later.
    pub(super) late_copies: BTreeMap<CopiedKind, FaultWindows>,
    /// Percentage of the transactions that get no answer and are executed late.
    pub(super) late_writes: FaultWindows,
    /// Percentage of the transactions that are executed at once and whose answers are lost.
    pub(super) lost_store_answers: FaultWindows,
    /// Percentage of the heartbeats of which a copy arrives later.
    pub(super) late_heartbeat_copies: FaultWindows,
    /// Milliseconds by which commands are delayed.
    pub(super) delayed_commands: FaultWindows,
    /// Milliseconds by which answers of the store are delayed.
    pub(super) slow_store: FaultWindows,
    /// Percentage of the messages between controllers that are lost.
    pub(super) lost_peer_messages: FaultWindows,
    /// New instances boot fast.
    pub(super) fast_boots: FaultWindows,
    /// When the partition of a pair of controllers ends, by their indices in ascending order.
    partitioned_pairs: BTreeMap<(usize, usize), u64>,
    partitioned_zones: Vec<ZonePartition>,
}

/// A zone that is partitioned from the others. `node` is the controller inside; `None` if all are outside.
struct ZonePartition {
    zone: &'static str,
    node: Option<usize>,
    until: u64,
}

impl ActiveWindows {
    /// Partitions two controllers from each other until the time `until`.
    pub(super) fn partition_pair(&mut self, (one, other): (usize, usize), until: u64) {
        let pair = (one.min(other), one.max(other));
        extend(self.partitioned_pairs.entry(pair).or_default(), until);
    }

    /// Returns whether two controllers are partitioned from each other.
    pub(super) fn is_pair_partitioned(&self, one: usize, other: usize, now: u64) -> bool {
        let pair = (one.min(other), one.max(other));
        self.partitioned_pairs.get(&pair).is_some_and(|&until| now < until)
    }

    /// Partitions a zone, with a controller inside or none, until the time `until`.
    pub(super) fn partition_zone(&mut self, zone: &'static str, node: Option<usize>, until: u64) {
        self.partitioned_zones.push(ZonePartition { zone, node, until });
    }

    /// Returns for how many milliseconds messages between a zone's machines and a controller are still held back; 0
    /// if no partition separates them.
    pub(super) fn zone_partition_ms(&self, zone: &str, node: usize, now: u64) -> u64 {
        let separates = |p: &&ZonePartition| (p.zone == zone) != (p.node == Some(node));
        let partitions = self.partitioned_zones.iter().filter(separates);
        partitions.map(|p| p.until.saturating_sub(now)).max().unwrap_or(0)
    }
}

/// Extends a fault until `new_until`, or keeps its end if that is later.
pub(super) fn extend(until: &mut u64, new_until: u64) {
    *until = new_until.max(*until);
}
