use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;

/// Runs against a store that executes copies of deletions late: no live record is ever lost, and an
/// overwritten record has the version of its slot.
#[test]
fn late_deletions_spare_live_decisions() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut log = DecisionLog::default();
        let mut store: BTreeMap<String, u64> = BTreeMap::new();
        let mut late: Vec<Vec<String>> = Vec::new();
        let mut live: BTreeMap<u64, (String, u32)> = BTreeMap::new();
        let (mut created, mut version) = (0, 0);
        for round in 1..400u64 {
            let slot = log.take_slot(|| format!("d/0/7-{round}"));
            assert_eq!(store.get(&slot.key).copied().unwrap_or(0), slot.version, "seed {seed}");
            if rng.random_bool(0.1) {
                log.return_slot(slot);
                continue;
            }
            version += 1;
            created += u32::from(slot.version == 0);
            store.insert(slot.key.clone(), version);
            let placements = rng.random_range(0..4);
            // Sometimes the outcome of the write is learned without its revision.
            let known = rng.random_bool(0.8).then_some(version);
            log.add(round, slot.key.clone(), known, placements);
            if placements > 0 {
                live.insert(round, (slot.key, placements));
            }
            while live.len() > 40 || (!live.is_empty() && rng.random_bool(0.6)) {
                let n = rng.random_range(0..live.len());
                let (&at, _) = live.iter().nth(n).expect("one of them");
                log.end_placement(at);
                if let Some((_, left)) = live.get_mut(&at) {
                    *left -= 1;
                    if *left == 0 {
                        live.remove(&at);
                    }
                }
            }
            if rng.random_bool(0.3) {
                let keys = log.take_deletions(5);
                for key in &keys {
                    store.remove(key);
                }
                if rng.random_bool(0.5) {
                    // The deletion gets no answer, and a copy of it is executed later.
                    late.push(keys.clone());
                    log.delete_again(keys);
                }
            }
            if rng.random_bool(0.2) {
                for key in late.pop().unwrap_or_default() {
                    store.remove(&key);
                }
            }
            let needed: BTreeSet<&String> = live.values().map(|(key, _)| key).collect();
            assert_eq!(needed.len(), live.len(), "a record holds one decision");
            assert!(
                needed.iter().all(|key| store.contains_key(*key)),
                "seed {seed}: a live record was deleted"
            );
            assert_eq!(log.counts().live, live.len());
        }
        assert!(created < 250, "seed {seed}: {created} records made for 400 decisions");
    }
}

#[cfg(feature = "guards")]
#[test]
fn tests_fail_without_their_guards() {
    use crate::guards::{assert_fails_without, Guard};
    assert_fails_without(Guard::DecisionRecordKeptWhileLive, late_deletions_spare_live_decisions);
}
