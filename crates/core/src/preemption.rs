//! Which tasks are stopped so that more important work finds capacity.
use crate::names::Resources;
use leaddeal_wire::user::Priority;

/// A task that could be stopped.
#[derive(Clone, Debug)]
pub struct Candidate<K> {
    /// Names the task.
    pub key: K,
    /// Only work of a higher priority stops it.
    pub priority: Priority,
    /// What it takes.
    pub need: Resources,
    /// Work lost by stopping it, in thousandths of core-seconds or the like.
    pub loss: u64,
}

/// The cheapest set of less important tasks whose resources, added to `free`, let `need` in at
/// least once, and what is lost by stopping them (at least one each). Lowest priority first, then
/// the least loss. None: stopping all of lower priority would not suffice.
pub fn victims<K: Clone>(
    free: Resources,
    need: Resources,
    priority: Priority,
    mut candidates: Vec<Candidate<K>>,
) -> Option<(Vec<K>, u64)> {
    candidates.retain(|candidate| candidate.priority < priority);
    candidates.sort_by_key(|candidate| (candidate.priority, candidate.loss));
    let mut freed = free;
    let mut chosen = Vec::new();
    for candidate in candidates {
        if freed.fit_count(need) >= 1 {
            break;
        }
        freed.add(candidate.need, 1);
        chosen.push(candidate);
    }
    if freed.fit_count(need) < 1 {
        return None;
    }
    spare_unneeded(&mut chosen, freed, need);
    let loss = chosen.iter().map(|victim| victim.loss + 1).sum();
    Some((chosen.into_iter().map(|victim| victim.key).collect(), loss))
}

/// Drops those that turned out not to be needed, in the order in which they were chosen. `freed`:
/// what is free once all are stopped.
fn spare_unneeded<K>(chosen: &mut Vec<Candidate<K>>, mut freed: Resources, need: Resources) {
    chosen.retain(|victim| {
        let mut without = freed;
        without.sub(victim.need, 1);
        let unneeded = without.fit_count(need) >= 1;
        if unneeded {
            freed = without;
        }
        !unneeded
    });
}

#[cfg(test)]
mod tests;
