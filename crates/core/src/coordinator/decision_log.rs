//! Records of decisions: which are needed, which may be overwritten, which are to be deleted.
//!
//! A record whose placements are all over is not deleted but overwritten by a later decision, in a
//! transaction conditional on the version it is known to have: one change a round instead of two.
use crate::guards::{is_enforced, Guard};
use std::collections::BTreeMap;

/// Free records beyond this are deleted, if there is nothing better to be written.
const MAX_FREE_SLOTS: usize = 24;

/// A record that placements depend on.
#[derive(Debug)]
struct LiveRecord {
    key: String,
    /// Version of the record; none: not known, so it can't be overwritten.
    version: Option<u64>,
    /// Placements that may be on their machines.
    placements: u32,
}

/// The record that a decision is written to.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DecisionSlot {
    pub key: String,
    /// The version it has until then; 0: it is created.
    pub version: u64,
}

/// How many records of decisions a shard has in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RecordCounts {
    /// Needed: a placement of it may be on a machine.
    pub live: usize,
    /// To be overwritten or deleted.
    pub spare: usize,
}

/// The records of a shard's decisions.
///
/// Invariants:
/// - a record is in one place: `live` while a placement of it may be on a machine, else `free` or
///   `to_delete`;
/// - what is in `free` has the version that is kept with it, and no transaction that could still be
///   executed writes or deletes it;
/// - what went to `to_delete` was, or may be, part of a deletion whose outcome is unknown, so that it
///   is never written again: a late copy of the deletion would delete a live decision.
#[derive(Debug, Default)]
pub(super) struct DecisionLog {
    /// By number of the decision.
    live: BTreeMap<u64, LiveRecord>,
    free: Vec<DecisionSlot>,
    to_delete: Vec<String>,
}

impl DecisionLog {
    /// A decision was written, or read with an unknown version; `placements` of it may be on machines.
    pub fn open(&mut self, round: u64, key: String, version: Option<u64>, placements: u32) {
        self.live.insert(round, LiveRecord { key, version, placements });
        if placements == 0 {
            self.close(round);
        }
    }

    /// A placement of the decision is over, and does not need the record any more.
    pub fn placement_over(&mut self, round: u64) {
        let Some(record) = self.live.get_mut(&round) else { return };
        record.placements = record.placements.saturating_sub(1);
        if record.placements == 0 || !is_enforced(Guard::DecisionRecordKeptWhileLive) {
            self.close(round);
        }
    }

    /// Nothing depends on the record any more.
    fn close(&mut self, round: u64) {
        let Some(record) = self.live.remove(&round) else { return };
        match record.version {
            Some(version) => self.free.push(DecisionSlot { key: record.key, version }),
            None => self.to_delete.push(record.key),
        }
    }

    /// Takes the record to write a decision to: a free one, or one with a key that was never used.
    pub fn take_slot(&mut self, new_key: impl FnOnce() -> String) -> DecisionSlot {
        self.free.pop().unwrap_or_else(|| DecisionSlot { key: new_key(), version: 0 })
    }

    /// The decision was certainly not written to the slot, and will not be later.
    pub fn not_written(&mut self, slot: DecisionSlot) {
        if slot.version > 0 {
            self.free.push(slot);
        }
    }

    /// Takes the keys of records to be deleted, at most `max`.
    pub fn take_unneeded(&mut self, max: usize) -> Vec<String> {
        let kept = self.to_delete.len() - self.to_delete.len().min(max);
        let mut keys = self.to_delete.split_off(kept);
        let surplus = self.surplus().min(max - keys.len());
        keys.extend(self.free.drain(..surplus).map(|slot| slot.key));
        keys
    }

    /// The deletion of these may have been executed, or may yet be: they are deleted once more.
    pub fn delete_again(&mut self, keys: Vec<String>) {
        self.to_delete.extend(keys);
    }

    /// Records that wait to be deleted.
    pub fn waiting(&self) -> usize {
        self.to_delete.len() + self.surplus()
    }

    /// Free records beyond those that are kept.
    fn surplus(&self) -> usize {
        self.free.len().saturating_sub(MAX_FREE_SLOTS)
    }

    /// Records in the store.
    pub fn counts(&self) -> RecordCounts {
        RecordCounts { live: self.live.len(), spare: self.free.len() + self.to_delete.len() }
    }
}

#[cfg(test)]
mod tests;
