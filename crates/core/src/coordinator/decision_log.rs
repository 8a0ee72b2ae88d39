//! Tracks the records of decisions in the store: those needed, those that may be overwritten, and
//! those to delete.
//!
//! A record whose placements have all ended is not deleted but overwritten by a later decision, in
//! a transaction conditional on the version the record is known to have. This takes one change per
//! round instead of two.
use crate::guards::{is_enforced, Guard};
use std::collections::BTreeMap;

/// Free records beyond this number are deleted when the write budget has unused capacity.
const MAX_FREE_SLOTS: usize = 24;

/// A record on which placements depend.
#[derive(Debug)]
struct LiveRecord {
    key: String,
    /// Version of the record in the store. `None`: not known, so the record can't be overwritten.
    version: Option<u64>,
    /// Number of the decision's placements whose tasks may be on machines.
    placements: u32,
}

/// The record to which a decision is written.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DecisionSlot {
    pub key: String,
    /// The version of the record before that write. 0: the record does not exist yet.
    pub version: u64,
}

/// How many decision records a shard has in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordCounts {
    /// Records of which a placement may be on a machine.
    pub live: usize,
    /// Records to overwrite or delete.
    pub spare: usize,
}

/// The records of a shard's decisions.
///
/// Invariants:
/// - a record is in exactly one collection: `live` while a placement of it may be on a machine,
///   then `free` or `to_delete`;
/// - a record in `free` has the stored version, and no transaction that could still be executed
///   writes or deletes it;
/// - a record once in `to_delete` is never written again, since it may be part of a deletion whose
///   outcome is unknown: a late copy of that deletion would delete a live decision.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    /// By the number of the decision.
    live: BTreeMap<u64, LiveRecord>,
    free: Vec<DecisionSlot>,
    to_delete: Vec<String>,
}

impl DecisionLog {
    /// Adds the record of a decision of which `placements` placements may be on machines. `version`
    /// is `None` if the version of the record is not known.
    pub fn add(&mut self, round: u64, key: String, version: Option<u64>, placements: u32) {
        self.live.insert(round, LiveRecord { key, version, placements });
        if placements == 0 {
            self.retire(round);
        }
    }

    /// Records that a placement of the decision has ended and no longer depends on the record.
    pub fn end_placement(&mut self, round: u64) {
        let Some(record) = self.live.get_mut(&round) else { return };
        record.placements = record.placements.saturating_sub(1);
        if record.placements == 0 || !is_enforced(Guard::DecisionRecordKeptWhileLive) {
            self.retire(round);
        }
    }

    /// Makes a record on which no placement depends available for overwriting or deletion.
    fn retire(&mut self, round: u64) {
        let Some(record) = self.live.remove(&round) else { return };
        match record.version {
            Some(version) => self.free.push(DecisionSlot { key: record.key, version }),
            None => self.to_delete.push(record.key),
        }
    }

    /// Takes the record to which a decision is written: a free one, or a new one with a key that
    /// was never used.
    pub fn take_slot(&mut self, new_key: impl FnOnce() -> String) -> DecisionSlot {
        self.free.pop().unwrap_or_else(|| DecisionSlot { key: new_key(), version: 0 })
    }

    /// Gives back a slot to which the decision was certainly not written, and will not be later.
    pub fn return_slot(&mut self, slot: DecisionSlot) {
        if slot.version > 0 {
            self.free.push(slot);
        }
    }

    /// Takes the keys of at most `max` records to delete.
    pub fn take_deletions(&mut self, max: usize) -> Vec<String> {
        let kept = self.to_delete.len() - self.to_delete.len().min(max);
        let mut keys = self.to_delete.split_off(kept);
        let surplus = self.surplus().min(max - keys.len());
        keys.extend(self.free.drain(..surplus).map(|slot| slot.key));
        keys
    }

    /// Queues these records for another deletion: it is not known whether the earlier one was or
    /// will be executed.
    pub fn delete_again(&mut self, keys: Vec<String>) {
        self.to_delete.extend(keys);
    }

    /// Returns how many records wait to be deleted.
    pub fn pending_deletions(&self) -> usize {
        self.to_delete.len() + self.surplus()
    }

    /// Returns how many free records exceed [`MAX_FREE_SLOTS`].
    fn surplus(&self) -> usize {
        self.free.len().saturating_sub(MAX_FREE_SLOTS)
    }

    /// Counts the records in the store.
    pub fn counts(&self) -> RecordCounts {
        RecordCounts { live: self.live.len(), spare: self.free.len() + self.to_delete.len() }
    }
}

#[cfg(test)]
mod tests;
