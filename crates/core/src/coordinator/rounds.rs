//! Records of decisions: which are needed, which may be written over, which are to be deleted.
//!
//! A record whose picks are all over is not deleted but written over by a later decision, in a
//! transaction conditional on the version it is known to have: one change a round instead of two.
//!
//! Invariants:
//! - a record is in one place: `live` while a pick of it may be on a machine, else `free` or `over`;
//! - what is in `free` has the version that is kept with it, and no transaction that could still
//!   be executed writes or deletes it;
//! - what went to `over` was, or may be, part of a deletion whose outcome is unknown, so that it
//!   is never written again: a late copy of the deletion would take a live decision with it.
use crate::guards::{holds, Guard};
use std::collections::BTreeMap;

/// Spare records beyond this are deleted, if there is nothing better to be written.
const SPARE: usize = 24;

#[derive(Debug)]
struct Round {
    key: String,
    /// Version of the record; none: not known, so it can't be written over.
    version: Option<u64>,
    /// Picks that may be on their machines.
    live: u32,
}

/// What the next decision is written to.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    pub key: String,
    /// The version it has until then; 0: it is created.
    pub version: u64,
}

#[derive(Debug, Default)]
pub struct Rounds {
    live: BTreeMap<u64, Round>,
    free: Vec<Record>,
    over: Vec<String>,
}

impl Rounds {
    pub fn open(&mut self, round: u64, key: String, version: Option<u64>, live: u32) {
        self.live.insert(round, Round { key, version, live });
        if live == 0 {
            self.close(round);
        }
    }

    /// A pick of it is over, and its record is not needed for it any more.
    pub fn one_less(&mut self, round: u64) {
        if let Some(r) = self.live.get_mut(&round) {
            r.live = r.live.saturating_sub(1);
            if r.live == 0 || !holds(Guard::RecordLive) {
                self.close(round);
            }
        }
    }

    fn close(&mut self, round: u64) {
        let Some(r) = self.live.remove(&round) else { return };
        match r.version {
            Some(version) => self.free.push(Record { key: r.key, version }),
            None => self.over.push(r.key),
        }
    }

    /// What to write a decision to; `fresh` names a record that was never there.
    pub fn record(&mut self, fresh: impl FnOnce() -> String) -> Record {
        self.free.pop().unwrap_or_else(|| Record { key: fresh(), version: 0 })
    }

    /// The decision was certainly not written, now or later.
    pub fn not_written(&mut self, r: Record) {
        if r.version > 0 {
            self.free.push(r);
        }
    }

    /// Records to be deleted, at most so many.
    pub fn take_unneeded(&mut self, most: usize) -> Vec<String> {
        let mut keys = self.over.split_off(self.over.len() - self.over.len().min(most));
        let spare = self.free.len().saturating_sub(SPARE).min(most - keys.len());
        keys.extend(self.free.drain(..spare).map(|r| r.key));
        keys
    }

    /// Their deletion may have been executed, or may yet be.
    pub fn delete_again(&mut self, keys: Vec<String>) {
        self.over.extend(keys);
    }

    pub fn waiting(&self) -> usize {
        self.over.len() + self.free.len().saturating_sub(SPARE)
    }

    /// Records in the store: needed, and spare or to be deleted.
    pub fn count(&self) -> (usize, usize) {
        (self.live.len(), self.free.len() + self.over.len())
    }
}

#[cfg(test)]
mod tests;
