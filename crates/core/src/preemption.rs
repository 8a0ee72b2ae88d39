//! Selection of the tasks that are preempted to free capacity for work of a higher priority.
use crate::names::Resources;
use leaddeal_wire::user::Priority;

/// A task, or group of tasks, that can be preempted as one.
#[derive(Clone, Debug)]
pub struct Candidate<K> {
    /// Identifies the candidate for the caller.
    pub key: K,
    /// Priority of the candidate; only work of a higher priority preempts it.
    pub priority: Priority,
    /// Resources that are freed when the candidate is stopped.
    pub need: Resources,
    /// Work lost by stopping the candidate, in thousandths of core-seconds (GPUs are weighted by the
    /// caller).
    pub loss: u64,
}

/// Returns candidates of a priority below `priority` whose resources, added to `free`, fit `need` at
/// least once, and the loss of stopping them, plus 1 for each. Candidates are taken by lowest
/// priority, then by least loss, and those that turn out not to be needed are left out.
/// Returns `None` if stopping all candidates of a lower priority does not free enough.
pub fn choose_victims<K: Clone>(
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
    remove_unneeded(&mut chosen, freed, need);
    let loss = chosen.iter().map(|victim| victim.loss + 1).sum();
    Some((chosen.into_iter().map(|victim| victim.key).collect(), loss))
}

/// Removes the victims that are not needed to fit `need`, considered in the order in which they were
/// chosen. `freed` is what is free once all of `chosen` are stopped.
fn remove_unneeded<K>(chosen: &mut Vec<Candidate<K>>, mut freed: Resources, need: Resources) {
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
