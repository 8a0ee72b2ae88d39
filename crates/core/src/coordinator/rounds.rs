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
            if r.live == 0 {
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
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    use std::collections::BTreeSet;

    /// Against a store that executes deletions late: no live record is ever lost, and what is
    /// written over has the version that it was said to have.
    #[test]
    fn no_late_deletion_takes_a_live_decision() {
        for seed in 0..200 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut rounds = Rounds::default();
            let mut store: BTreeMap<String, u64> = BTreeMap::new();
            let mut late: Vec<Vec<String>> = Vec::new();
            let mut live: BTreeMap<u64, (String, u32)> = BTreeMap::new();
            let (mut created, mut version) = (0, 0);
            for round in 1..400u64 {
                let r = rounds.record(|| format!("d/0/7-{round}"));
                assert_eq!(store.get(&r.key).copied().unwrap_or(0), r.version, "seed {seed}");
                if rng.random_bool(0.1) {
                    rounds.not_written(r);
                    continue;
                }
                version += 1;
                created += u32::from(r.version == 0);
                store.insert(r.key.clone(), version);
                let picks = rng.random_range(0..4);
                // Its outcome was learned without its revision, now and then.
                let known = rng.random_bool(0.8).then_some(version);
                rounds.open(round, r.key.clone(), known, picks);
                if picks > 0 {
                    live.insert(round, (r.key, picks));
                }
                while live.len() > 40 || (!live.is_empty() && rng.random_bool(0.6)) {
                    let n = rng.random_range(0..live.len());
                    let (&at, _) = live.iter().nth(n).expect("one of them");
                    rounds.one_less(at);
                    if let Some(l) = live.get_mut(&at) {
                        l.1 -= 1;
                        if l.1 == 0 {
                            live.remove(&at);
                        }
                    }
                }
                if rng.random_bool(0.3) {
                    let keys = rounds.take_unneeded(5);
                    for k in &keys {
                        store.remove(k);
                    }
                    if rng.random_bool(0.5) {
                        // No answer: a copy of it comes later.
                        late.push(keys.clone());
                        rounds.delete_again(keys);
                    }
                }
                if rng.random_bool(0.2) {
                    for k in late.pop().unwrap_or_default() {
                        store.remove(&k);
                    }
                }
                let needed: BTreeSet<&String> = live.values().map(|l| &l.0).collect();
                assert_eq!(needed.len(), live.len(), "a record holds one decision");
                assert!(needed.iter().all(|k| store.contains_key(*k)), "seed {seed}: lost");
                assert_eq!(rounds.count().0, live.len());
            }
            assert!(created < 250, "seed {seed}: {created} records made for 400 decisions");
        }
    }
}
