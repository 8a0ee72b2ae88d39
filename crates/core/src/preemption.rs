//! Whom to stop so that more important work finds room.
use crate::names::Resources;
use leaddeal_wire::user::Priority;

/// A task that could be stopped.
#[derive(Clone, Debug)]
pub struct Candidate<K> {
    pub key: K,
    pub priority: Priority,
    pub need: Resources,
    /// Work lost by stopping it, in thousandths of core-seconds or the like.
    pub loss: u64,
}

/// The cheapest set of less important tasks whose room, added to `free`, lets `need` in at
/// least once. Least important first, then the least loss.
pub fn victims<K: Clone>(
    free: Resources,
    need: Resources,
    priority: Priority,
    mut tasks: Vec<Candidate<K>>,
) -> Option<(Vec<K>, u64)> {
    tasks.retain(|c| c.priority < priority);
    tasks.sort_by_key(|c| (c.priority, c.loss));
    let mut room = free;
    let mut chosen: Vec<Candidate<K>> = Vec::new();
    for c in tasks {
        if room.fits(need) >= 1 {
            break;
        }
        room.add(c.need, 1);
        chosen.push(c);
    }
    if room.fits(need) < 1 {
        return None;
    }
    // Drop those that turned out not to be needed.
    let mut i = 0;
    while i < chosen.len() {
        let mut r = room;
        r.sub(chosen[i].need, 1);
        if r.fits(need) >= 1 {
            room = r;
            chosen.remove(i);
        } else {
            i += 1;
        }
    }
    let loss = chosen.iter().map(|c| c.loss + 1).sum();
    Some((chosen.into_iter().map(|c| c.key).collect(), loss))
}

#[cfg(test)]
mod tests;
