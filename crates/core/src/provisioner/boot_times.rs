//! How long machines take to come up, by type and zone: learned from those that did.
//!
//! Three questions are kept apart. Until `counts_ms` a machine that boots counts as room to come;
//! after that the room is asked for again, elsewhere if there is a choice, though the machine is not
//! given up. Only after `given_up_ms` is it returned: where boots have become slow, those that are
//! asked for in its place would take as long.
//!
//! Invariants: what is given up was no room before; nobody is given up sooner than after three times
//! the catalog's time, or twice the longest boot seen lately, whichever is longer.
//!
//! (From the operators' letter: new machines came up late or never. A machine that never came up was
//! counted as room for three times its boot time, and what waited for it was asked for nowhere else.)
use crate::ids::Timestamp;
use std::collections::{BTreeMap, VecDeque};

/// Boots remembered of each type and zone, and for how long.
const REMEMBERED: usize = 12;
const LATELY_MS: u64 = 600_000;
/// Late ones at the same time by which a type is taken to be in trouble in a zone.
const TROUBLE: usize = 2;

/// A type and a zone by their names.
pub type BootLocation = (String, String);

#[derive(Debug, Default)]
pub struct BootTimes {
    /// When each came up, and how long it took.
    seen: BTreeMap<BootLocation, VecDeque<(Timestamp, u64)>>,
    late: BTreeMap<BootLocation, usize>,
}

impl BootTimes {
    pub fn came_up(&mut self, at: &BootLocation, now: Timestamp, took_ms: u64) {
        let seen = self.seen.entry(at.clone()).or_default();
        seen.retain(|s| now < s.0 + LATELY_MS);
        seen.push_back((now, took_ms));
        if seen.len() > REMEMBERED {
            seen.pop_front();
        }
    }

    fn longest(&self, at: &BootLocation) -> u64 {
        self.seen.get(at).into_iter().flatten().map(|s| s.1).max().unwrap_or(0)
    }

    /// So long a machine that boots counts as room to come; `said_ms`: the catalog's boot time.
    pub fn counts_ms(&self, at: &BootLocation, said_ms: u64) -> u64 {
        (said_ms * 8 / 5 + 2000).max(self.longest(at) * 5 / 4)
    }

    /// After so long it is returned.
    pub fn given_up_ms(&self, at: &BootLocation, said_ms: u64) -> u64 {
        (said_ms * 3 + 10_000).max(self.longest(at) * 2)
    }

    /// The machines of which none counts as room any more, by where they boot.
    pub fn set_late(&mut self, late: impl Iterator<Item = BootLocation>) {
        self.late.clear();
        for at in late {
            *self.late.entry(at).or_default() += 1;
        }
    }

    /// Several are late there now: it is tried again once they came up or were returned.
    pub fn in_trouble(&self, at: &BootLocation) -> bool {
        self.late.get(at).is_some_and(|n| *n >= TROUBLE)
    }
}

#[cfg(test)]
mod tests;
